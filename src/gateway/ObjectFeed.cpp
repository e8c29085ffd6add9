#include "gateway/ObjectFeed.h"

#include "http/AnswerTimer.h"
#include "http/JsonSlices.h"
#include "kernel/Log.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::size_t MostAnswerBytes = std::size_t{64} * 1024 * 1024;
constexpr int Good = 200;
constexpr int HistoryGone = 410;
// Well within any store's history, so that the watch can go on from the first page.
constexpr kernel::Duration LongestListing = 8s;

// Reading a large answer, taking it in and putting it away are several turns of the event loop,
// with others between them.
asio::awaitable<void> letOthersRun()
{
    co_await asio::post(asio::use_awaitable);
}

const kernel::Log &log()
{
    static const kernel::Log Log("feed");
    return Log;
}

} // namespace

kernel::Duration watchWait(const FeedPace &pace, kernel::Duration latency, kernel::Duration age)
{
    constexpr kernel::Duration Shortest = 200ms;
    kernel::Duration wait = pace.wait;
    if (pace.confirmWithin > 0s) {
        wait = std::min<kernel::Duration>(wait, pace.confirmWithin / 2 - latency);
        // After a change and its pause, less is left. Without this, all boxes refused keys for half
        // a second after each change that came late in their watches.
        wait = std::min<kernel::Duration>(wait, pace.confirmWithin - age - latency);
    }
    if (pace.giveUpWithin > 0s) {
        wait = std::min<kernel::Duration>(wait, pace.giveUpWithin - answerWait(pace, latency));
    }
    return std::max<kernel::Duration>(wait, Shortest);
}

kernel::Duration answerWait(const FeedPace &pace, kernel::Duration latency)
{
    constexpr int Spread = 3; ///< Answers may take this many times the last one's time.
    return std::clamp<kernel::Duration>(latency * Spread, pace.answer, pace.longestAnswer);
}

kernel::Duration pageWait(const FeedPace &pace, int failures, bool listed)
{
    constexpr int MostDoublings = 3;
    const kernel::Duration longest = pace.answer * (1 << std::clamp(failures, 0, MostDoublings));
    if (!listed || pace.giveUpWithin == 0s) {
        return longest;
    }
    const kernel::Duration look = std::max<kernel::Duration>(pace.answer, pace.giveUpWithin / 2);
    return std::min<kernel::Duration>(longest, look);
}

ObjectFeed::ObjectFeed(services::Context &context, const store::ObjectFormat &format,
                       std::string kind, FeedPace pace, FeedHooks hooks)
    : context_(context)
    , format_(format)
    , kind_(std::move(kind))
    , pace_(pace)
    , hooks_(std::move(hooks))
    , backoff_(pace.firstPause, pace.longestPause)
    , loop_(std::make_unique<services::Repeat>(context.io, [this] { return round(); }))
{
}

bool ObjectFeed::behind() const
{
    return taking_ || (connection_ && connection_->heard().waiting == http::Arrived::Bytes);
}

kernel::Duration ObjectFeed::answerAge() const
{
    return connection_ ? connection_->rested().value_or(0s) : kernel::Duration::zero();
}

void ObjectFeed::hurry()
{
    if (failing_) {
        loop_->hurry();
    }
}

asio::awaitable<kernel::Duration> ObjectFeed::round()
{
    bool good = false;
    changed_ = false;
    if (at_ && !failing_) {
        good = co_await watch();
    } else {
        good = co_await list();
    }
    taking_ = false;
    if (good) {
        backoff_.succeed();
        co_return changed_ ? pace_.afterChange : kernel::Duration::zero();
    }
    co_return backoff_.fail(context_.random);
}

void ObjectFeed::noteFailure(const std::string &what)
{
    lastFailure_ = context_.now();
    context_.counters.add("store_failures", {{"kind", kind_}});
    connection_.reset();
    if (!failing_) {
        failing_ = true;
        log().event("store-lost", {{"kind", kind_}, {"why", what}}, "The store is lost.");
    }
}

void ObjectFeed::noteAnswer()
{
    if (failing_) {
        failing_ = false;
        log().event("store-back", {{"kind", kind_}}, "The store answers again.");
    }
}

asio::awaitable<tl::expected<http::Answer, std::string>> ObjectFeed::ask(std::string target,
                                                                         kernel::Duration longest)
{
    taking_ = false;
    if (connection_ && !(connection_->reusable() && connection_->quiet())) {
        connection_.reset();
    }
    if (!connection_) {
        auto connected = co_await http::KeptConnection::connect(
                context_.io, context_.settings.platform, context_.settings.connectTimeout);
        if (!connected) {
            co_return tl::unexpected(connected.error().message);
        }
        connection_ = *connected;
        if (connection_->connectedLate()) {
            context_.counters.add("late_looks", {{"wait", "connect"}});
        }
    }
    context_.counters.add("store_calls", {{"kind", kind_}});
    const http::KeptConnection::Ptr connection = connection_;
    // A standstill of this process is no loss of the store.
    http::AnswerTimer timer(context_.io, context_.counters, "store");
    timer.start(
            longest, [connection] { return connection->heard(); },
            [connection] { connection->close(); });
    http::Request request("GET", std::move(target),
                          http::Fields().with("Host", kernel::text(context_.settings.platform)));
    connection->send(std::move(request));
    auto head = co_await connection->readHead();
    if (!head) {
        co_return tl::unexpected(head.error().message);
    }
    auto body = co_await connection->readAll(MostAnswerBytes);
    timer.stop();
    if (!body) {
        co_return tl::unexpected(body.error().message);
    }
    taking_ = true;
    http::Answer answer(head->status, {}, std::move(*body));
    co_return answer;
}

void ObjectFeed::confirm(kernel::Instant asOf)
{
    confirmedAsOf_ = asOf;
    hooks_.confirmed(asOf);
}

asio::awaitable<json> ObjectFeed::readBody(const std::string &body)
{
    http::JsonSlices slices(body);
    while (slices.readSlice()) {
        context_.counters.add("store_answer_slices", {{"kind", kind_}});
        co_await letOthersRun();
    }
    co_return slices.take();
}

asio::awaitable<bool> ObjectFeed::list()
{
    const kernel::Instant now = context_.now();
    const bool begun = listing_ && !listing_->objects.empty();
    if (!begun || now - listing_->begun > LongestListing) {
        listing_ = Listing{now, 0, {}};
    }
    bool more = true;
    while (more) {
        const auto &objects = listing_->objects;
        const std::string after = objects.empty() ? std::string() : objects.back().name;
        std::string target = format_.listTarget(kind_, after);
        const kernel::Instant asked = context_.now();
        const kernel::Duration longest = pageWait(pace_, backoff_.failures(), at_.has_value());
        const auto answer = co_await ask(std::move(target), longest);
        if (!answer || answer->status != Good) {
            noteFailure(answer ? "status " + std::to_string(answer->status) : answer.error());
            co_return false;
        }
        latency_ = context_.now() - asked;
        json body = co_await readBody(answer->body);
        auto page = format_.readPage(std::move(body));
        if (!page) {
            listing_.reset();
            noteFailure("the list can't be read, " + page.error());
            co_return false;
        }
        more = takePage(std::move(*page));
    }
    noteAnswer();
    Listing listing = std::move(*listing_);
    listing_.reset();
    at_ = listing.at;
    co_await letOthersRun();
    hooks_.replaced(listing.objects);
    confirm(listing.begun);
    co_await letOthersRun();
    co_return true;
}

// Changes between two pages come with the watch, which goes on from the first page.
bool ObjectFeed::takePage(store::ObjectPage page)
{
    if (listing_->objects.empty()) {
        listing_->at = page.at;
    }
    const bool more = page.more && !page.objects.empty();
    std::ranges::move(page.objects, std::back_inserter(listing_->objects));
    return more;
}

asio::awaitable<bool> ObjectFeed::watch()
{
    const kernel::Instant asked = context_.now();
    const kernel::Duration age = confirmedAsOf_ ? asked - *confirmedAsOf_ : kernel::Duration();
    const kernel::Duration wait = watchWait(pace_, latency_, age);
    std::string target = format_.watchTarget(kind_, *at_, wait);
    const auto answer = co_await ask(std::move(target), wait + answerWait(pace_, latency_));
    if (answer && answer->status == HistoryGone) {
        log().info("The store has forgotten its history of '" + kind_ + "'; the list is read.");
        at_.reset();
        co_return true;
    }
    if (!answer || answer->status != Good) {
        noteFailure(answer ? "status " + std::to_string(answer->status) : answer.error());
        co_return false;
    }
    json body = co_await readBody(answer->body);
    auto changes = format_.readChanges(std::move(body));
    if (!changes) {
        noteFailure("the changes can't be read, " + changes.error());
        at_.reset();
        co_return false;
    }
    noteAnswer();
    if (changes->objects.empty()) {
        latency_ = std::max<kernel::Duration>(context_.now() - asked - wait, 0s);
    }
    at_ = std::max(*at_, changes->at);
    changed_ = !changes->objects.empty();
    if (changed_) {
        co_await letOthersRun();
        hooks_.changed(changes->objects);
    }
    confirm(asked);
    if (changed_) {
        co_await letOthersRun();
    }
    co_return true;
}

} // namespace limereel::gateway
