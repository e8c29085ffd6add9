#include "gateway/FeedConnection.h"

#include "http/AnswerTimer.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxAnswerBytes = std::size_t{64} * 1024 * 1024;

} // namespace

void FeedConnection::close()
{
    if (connection_) {
        connection_->close();
    }
    connection_.reset();
}

bool FeedConnection::unread() const
{
    return connection_ && connection_->heard().waiting == http::Arrived::Bytes;
}

kernel::Duration FeedConnection::rested() const
{
    return connection_ ? connection_->rested().value_or(0s) : kernel::Duration::zero();
}

asio::awaitable<tl::expected<void, std::string>> FeedConnection::open(kernel::Endpoint where,
                                                                      kernel::Duration timeout)
{
    const bool usable = connection_ && connection_->reusable() && connection_->quiet();
    if (usable && where_ == where) {
        co_return tl::expected<void, std::string>();
    }
    connection_.reset();
    auto connected = co_await http::KeptConnection::connect(context_.io, where, timeout);
    if (!connected) {
        co_return tl::unexpected(connected.error().message);
    }
    connection_ = *connected;
    where_ = where;
    if (connection_->connectedLate()) {
        context_.counters.add("late_looks", {{"wait", "connect"}});
    }
    co_return tl::expected<void, std::string>();
}

asio::awaitable<tl::expected<http::Answer, std::string>> FeedConnection::ask(http::Request request,
                                                                             AnswerWait wait)
{
    const http::KeptConnection::Ptr connection = connection_;
    if (!connection) {
        co_return tl::unexpected<std::string>("the connection was closed");
    }
    // The timer doesn't count a stall of this process as a failure of the other side.
    http::AnswerTimer timer(context_.io, context_.counters, wait_);
    const kernel::Instant latest = context_.now() + wait.whole;
    const auto waitFor = [&](kernel::Duration timeout) {
        const kernel::Duration left = std::max<kernel::Duration>(latest - context_.now(), 0s);
        timer.start(
                std::min(timeout, left), [connection] { return connection->heard(); },
                [connection] { connection->close(); });
    };
    waitFor(wait.first);
    connection->send(std::move(request));
    auto head = co_await connection->readHead();
    if (!head) {
        co_return tl::unexpected(head.error().message);
    }
    http::Answer answer(head->status, {}, {});
    while (true) {
        // Waits on for a slow answer, because a repeated call would start it from the beginning.
        waitFor(wait.silence);
        auto part = co_await connection->readPart();
        if (!part) {
            co_return tl::unexpected(part.error().message);
        }
        if (part->end) {
            co_return answer;
        }
        answer.body += part->bytes;
        if (answer.body.size() > MaxAnswerBytes) {
            connection->close();
            co_return tl::unexpected<std::string>("the answer is too long");
        }
    }
}

} // namespace limereel::gateway
