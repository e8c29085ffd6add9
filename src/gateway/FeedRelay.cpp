#include "gateway/FeedRelay.h"

#include "store/RelayOrder.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr int Good = 200;
constexpr int BadAsk = 400;
constexpr int UnknownPath = 404;
constexpr int Full = 503;
// Upper limit of the hold time that an ask may request.
constexpr kernel::Duration MaxHold = 5s;

/** Releases the bytes reserved for an answer when it ends, also on failure. */
class ReservedBytes
{
public:
    ReservedBytes(std::shared_ptr<store::AnswerBudget> room, std::size_t bytes)
        : room_(std::move(room))
        , bytes_(bytes)
    {
    }
    ~ReservedBytes() { room_->giveBack(bytes_); }
    ReservedBytes(const ReservedBytes &) = delete;
    ReservedBytes &operator=(const ReservedBytes &) = delete;

private:
    std::shared_ptr<store::AnswerBudget> room_;
    std::size_t bytes_;
};

// What the envelope adds to a request of a caller that is sent through this box.
constexpr std::uint32_t DetourMarginBytes = 4096;

} // namespace

FeedRelay::FeedRelay(services::Context &context, FleetView &fleetView)
    : context_(context)
    , fleetView_(fleetView)
    , keys_(peer::peerKeysFrom(context.settings.peerKeys))
    , room_(std::make_shared<store::AnswerBudget>(context.settings.gateway.linkMbps))
{
}

void FeedRelay::start()
{
    server_ = std::make_unique<http::Server>(context_.io, limits(),
                                             [this](http::Request request, http::Reply &reply) {
                                                 return handle(std::move(request), reply);
                                             });
    server_->setBudget(context_.requestBytes);
    fleetView_.onConfiguration([this](const forward::Snapshot &) {
        if (server_) {
            server_->setLimits(limits());
        }
    });
    server_->listen(context_.settings.peer);
}

void FeedRelay::stop()
{
    server_.reset();
}

http::ServerLimits FeedRelay::limits() const
{
    const forward::SnapshotPtr &snapshot = fleetView_.snapshot();
    const forward::CallerLimits callers = snapshot ? snapshot->limits() : forward::CallerLimits();
    http::ServerLimits limits;
    limits.headBytes = 4096;
    limits.bodyBytes = callers.headBytes + callers.bodyBytes + DetourMarginBytes;
    // Two for each box of a hall; callers' and servers' connections use the other descriptors.
    limits.connections = context_.settings.gateway.descriptors / 8;
    limits.idleTimeout = 30s;
    return limits;
}

std::optional<peer::FeedAsk> FeedRelay::read(const http::Request &request) const
{
    const std::string &body = request.body;
    const std::span sealed(reinterpret_cast<const std::uint8_t *>(body.data()), body.size());
    const auto payload = peer::open(sealed, keys_);
    return payload ? peer::decodeFeedAsk(*payload) : std::nullopt;
}

http::Answer FeedRelay::write(const ObjectFeed &feed, const peer::FeedAsk &ask,
                              kernel::Instant question)
{
    const peer::EncodedAnswer answer =
            feed.record().encodedAnswer(ask, question, fleetView_.largestRelayed());
    const char *result = answer.news ? "news" : "nothing-new";
    context_.counters.add("relay_answers",
                          {{"kind", ask.kind}, {"result", answer.lost ? "lost" : result}});
    const peer::Bytes sealed = peer::seal(answer.bytes, keys_.front());
    return http::Answer(Good, http::Fields(), std::string(sealed.begin(), sealed.end()));
}

asio::awaitable<void> FeedRelay::waitForNews(ObjectFeed &feed, const peer::FeedAsk &ask)
{
    const kernel::Duration hold =
            std::min<kernel::Duration>(std::chrono::milliseconds(ask.holdMs), MaxHold);
    if (hold == 0s || feed.record().answersAtOnce(ask)) {
        co_return;
    }
    asio::steady_timer timer(context_.io);
    timer.expires_after(hold);
    const ObjectFeed::NewsWaiter waiting(feed, timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> FeedRelay::handle(http::Request request, http::Reply &reply)
{
    if (request.path() == FeedPath) {
        co_await answerAsk(std::move(request), reply);
        co_return;
    }
    const auto other = otherPaths_.find(std::string(request.path()));
    if (other == otherPaths_.end()) {
        http::Answer unknown(UnknownPath);
        co_await reply.send(std::move(unknown));
        co_return;
    }
    co_await other->second(std::move(request), reply);
}

asio::awaitable<void> FeedRelay::answerAsk(http::Request request, http::Reply &reply)
{
    const kernel::Instant question = context_.now();
    const auto ask = read(request);
    ObjectFeed *const feed = ask ? fleetView_.feed(ask->kind) : nullptr;
    if (feed == nullptr) {
        context_.counters.add("relay_refusals");
        http::Answer bad(BadAsk);
        co_await reply.send(std::move(bad));
        co_return;
    }
    feed->noteAsked();
    co_await waitForNews(*feed, *ask);
    http::Answer answer = write(*feed, *ask, question);
    const std::size_t bytes = answer.body.size();
    if (!room_->take(bytes)) {
        context_.counters.add("relay_full");
        http::Answer full(Full);
        co_await reply.send(std::move(full));
        co_return;
    }
    const ReservedBytes held(room_, bytes);
    co_await reply.send(std::move(answer));
}

} // namespace limereel::gateway
