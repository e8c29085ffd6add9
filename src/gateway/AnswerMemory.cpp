#include "gateway/AnswerMemory.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
// How soon a wait notices that its run was stopped.
constexpr kernel::Duration LookInterval = 100ms;

// A timer in the list of those that wait.
class Listed
{
public:
    Listed(std::shared_ptr<AnswerStock> stock, asio::steady_timer &timer)
        : stock_(std::move(stock))
        , timer_(timer)
    {
        stock_->waiting.insert(&timer_);
    }
    ~Listed() { stock_->waiting.erase(&timer_); }
    Listed(const Listed &) = delete;
    Listed &operator=(const Listed &) = delete;

private:
    std::shared_ptr<AnswerStock> stock_;
    asio::steady_timer &timer_;
};

} // namespace

void AnswerStock::wakeAll()
{
    for (asio::steady_timer *timer : waiting) {
        timer->cancel();
    }
}

HeldAnswer::HeldAnswer(RunState &run)
    : run_(run)
    , stock_(run.context.kernel.find<AnswerMemory>(AnswerMemory::Name).stock())
    , answer_(stock_->ledger.begin())
{
}

HeldAnswer::~HeldAnswer()
{
    const std::size_t before = stock_->ledger.charged();
    stock_->ledger.end(answer_);
    if (stock_->ledger.charged() < before) {
        stock_->wakeAll();
    }
}

asio::awaitable<void> HeldAnswer::hold(std::size_t bytes)
{
    if (stock_->ledger.mayHold(answer_, bytes)) {
        co_return;
    }
    run_.context.counters.add("answers_waited");
    asio::steady_timer timer(run_.context.io);
    const Listed listed(stock_, timer);
    while (!run_.stopped() && !stock_->ledger.mayHold(answer_, bytes)) {
        timer.expires_after(LookInterval);
        co_await timer.async_wait(Quiet);
    }
}

asio::awaitable<tl::expected<http::Body, http::CallFailure>>
HeldAnswer::readAll(http::KeptConnection::Ptr connection)
{
    http::Body all;
    while (true) {
        auto part = co_await connection->readPart();
        if (!part) {
            co_return tl::unexpected(part.error());
        }
        if (part->end) {
            all.end = *part->end;
            co_return all;
        }
        all.bytes += part->bytes;
        if (all.bytes.size() > http::MaxBodyBytes) {
            connection->close();
            co_return tl::unexpected(
                    http::CallFailure{outcome::FailurePoint::AnswerBegun, false,
                                      http::tooLong(http::AnswerBound::Body, http::MaxBodyBytes),
                                      http::AnswerBound::Body});
        }
        co_await hold(all.bytes.size());
    }
}

} // namespace limereel::gateway
