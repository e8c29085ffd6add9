#include "gateway/StoreClient.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

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

} // namespace limereel::gateway
