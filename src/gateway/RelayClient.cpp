#include "gateway/RelayClient.h"

#include "gateway/FeedRelay.h"
#include "store/FeedPace.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr int Good = 200;

} // namespace

asio::awaitable<std::optional<peer::FeedAnswer>>
RelayClient::ask(kernel::Endpoint where, peer::FeedAsk ask, kernel::Duration timeout)
{
    const kernel::Instant asked = context_.now();
    const auto opened = co_await connection_.open(where, std::min(timeout, store::RelayAnswer));
    if (!opened) {
        co_return std::nullopt;
    }
    context_.counters.add("relay_asks", {{"kind", ask.kind}});
    const peer::Bytes sealed = peer::seal(peer::encode(ask), keys_.front());
    http::Request request("POST", FeedPath, http::Fields().with("Host", kernel::text(where)),
                          std::string(sealed.begin(), sealed.end()));
    // The time to connect is part of it.
    const kernel::Duration left =
            std::max<kernel::Duration>(timeout - (context_.now() - asked), 0s);
    const auto answer = co_await connection_.ask(std::move(request), {left, left, left});
    if (!answer || answer->status != Good) {
        co_return std::nullopt;
    }
    const std::string &body = answer->body;
    const std::span bytes(reinterpret_cast<const std::uint8_t *>(body.data()), body.size());
    const auto payload = peer::open(bytes, keys_);
    co_return payload ? peer::decodeFeedAnswer(*payload) : std::nullopt;
}

} // namespace limereel::gateway
