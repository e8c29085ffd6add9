#include "gateway/StoreClient.h"

#include "http/JsonRepair.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr int Good = 200;
constexpr kernel::Duration ConnectTimeout = 1s;

} // namespace

asio::awaitable<tl::expected<http::Answer, std::string>> StoreClient::ask(http::Request request,
                                                                          AnswerWait wait)
{
    const kernel::Endpoint where = context_.settings.platform;
    const auto opened = co_await connection_.open(
            where, std::min<kernel::Duration>(ConnectTimeout, wait.whole));
    if (!opened) {
        co_return tl::unexpected(opened.error());
    }
    request.fields.add("Host", kernel::text(where));
    if (!request.body.empty()) {
        request.fields.add("Content-Type", "application/json");
    }
    context_.counters.add("store_calls", {{"kind", kind_}});
    auto answer = co_await connection_.ask(std::move(request), wait);
    co_return answer;
}

asio::awaitable<tl::expected<store::ObjectPage, PageError>>
StoreClient::readPage(const store::ObjectFormat &format, std::string after, AnswerWait wait)
{
    http::Request request("GET", format.listTarget(kind_, after));
    const auto answer = co_await ask(std::move(request), wait);
    if (!answer) {
        co_return tl::unexpected(PageError{store::PageFault::Failed, answer.error()});
    }
    if (answer->status != Good) {
        co_return tl::unexpected(
                PageError{store::pageFault(answer->status), std::to_string(answer->status)});
    }
    auto page = format.readPage(http::parseStored(answer->body));
    if (!page) {
        co_return tl::unexpected(PageError{store::PageFault::Failed, page.error()});
    }
    co_return std::move(*page);
}

} // namespace limereel::gateway
