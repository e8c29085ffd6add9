#include "gateway/ObjectFeed.h"

#include "gateway/KeptObjects.h"
#include "kernel/Log.h"
#include "store/ListWait.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using nlohmann::json;
using store::FeedStep;

namespace {

constexpr int Good = 200;
constexpr int HistoryGone = 410;
// Two heartbeats. The list's confirmation stays valid long enough for a whole watch after it.
constexpr kernel::Duration RelayDiscoveryTime = 2s;
constexpr kernel::Duration RelayDiscoveryPoll = 100ms;
// More than one page of the store.
constexpr std::size_t LongList = 500;

const kernel::Log &log()
{
    static const kernel::Log Log("feed");
    return Log;
}

} // namespace

ObjectFeed::ObjectFeed(services::Context &context, const store::ObjectFormat &format,
                       std::string kind, const FeedPaces &paces, FeedSources &sources,
                       FeedHooks hooks, std::string onlyName)
    : context_(context)
    , format_(format)
    , kind_(std::move(kind))
    , onlyName_(std::move(onlyName))
    , paces_(paces)
    , sources_(sources)
    , hooks_(std::move(hooks))
    , book_(paces.sources)
    , storeConnection_(context, "store")
    , relayClient_(context)
    , json_(context, kind_)
    , began_(context.now())
    , loop_(std::make_unique<services::PeriodicTask>(context.io, [this] { return round(); }))
{
}

bool ObjectFeed::hasUnprocessed() const
{
    return processing_ || storeConnection_.unread() || relayClient_.unread();
}

void ObjectFeed::retryNow()
{
    if (failing_) {
        loop_->hurry();
    }
}

bool ObjectFeed::storeFailing() const
{
    return book_.storeFailures() > 0 && record_.storeFailedAt() >= record_.confirmedAsOf();
}

// The pauses of a relay are short already.
void ObjectFeed::noteStoreHeard()
{
    if (!readsStoreDirectly()) {
        book_.endStorePause();
    }
}

// A box that becomes a relay stops waiting for another relay's answer.
void ObjectFeed::noteAsked()
{
    const kernel::Instant now = context_.now();
    book_.noteAsked(now);
    if (askingRelay_ && book_.relaying(sources_.relays(), sources_.self(), now)
        && nextStep().kind == FeedStep::Kind::Store) {
        abandoned_ = true;
        relayClient_.close();
    }
}

FeedStep ObjectFeed::nextStep() const
{
    const kernel::Instant now = context_.now();
    if (tooLarge_ && book_.storeFailures() == 0) {
        return book_.storeStep(now);
    }
    const FeedStep pause{.kind = FeedStep::Kind::Pause, .pause = RelayDiscoveryPoll};
    if (awaitingRelays()) {
        return pause;
    }
    const FeedStep step = book_.next(sources_.relays(), sources_.self(), now, hooks_.storeAllowed(),
                                     searchUntil());
    return step.kind == FeedStep::Kind::Store && leavesListToRelays() ? pause : step;
}

asio::awaitable<kernel::Duration> ObjectFeed::round()
{
    const FeedStep step = nextStep();
    switch (step.kind) {
    case FeedStep::Kind::Store:
        co_return co_await storeRound(step.relaying);
    case FeedStep::Kind::Relay:
        co_await relayRound(step);
        co_return kernel::Duration::zero();
    case FeedStep::Kind::Pause:
        break;
    }
    if (!awaitingRelays() && !leavesListToRelays()) {
        noteLost("no-source");
    }
    co_return step.pause;
}

// A box that has just read its first list knows few other boxes yet. It waits about as long as a
// watch for heartbeats that name relays; otherwise each of 295 boxes that start together would
// watch the store once or twice unnecessarily.
bool ObjectFeed::awaitingRelays() const
{
    if (!at_) {
        return sources_.relays().empty() && context_.now() - began_ < paces_.awaitRelays;
    }
    return !failing_ && sources_.relays().empty()
           && context_.now() - listedFirst_ < RelayDiscoveryTime;
}

bool ObjectFeed::leavesListToRelays() const
{
    store::ListNeed need;
    need.known = at_.has_value();
    need.relaysKnown = !sources_.relays().empty();
    need.readsStoreDirectly = readsStoreDirectly();
    if (listing_ && !listing_->objects.empty()) {
        need.firstPage = listing_->begun;
    }
    if (record_.objects() >= LongList) {
        need.historyLost = historyLost_;
    }
    return store::leavesListToRelays(need, context_.now());
}

asio::awaitable<kernel::Duration> ObjectFeed::storeRound(bool relaying)
{
    relaying_ = relaying;
    noteSource(relaying ? "store-for-hall" : "store");
    bool good = false;
    changed_ = false;
    if (mayWatch()) {
        good = co_await watch();
    } else {
        good = co_await list();
    }
    processing_ = false;
    if (!good) {
        co_return kernel::Duration::zero();
    }
    book_.noteStoreAnswered();
    heardFromStore_ = true;
    const store::FeedPace &pace = relaying_ ? paces_.relaying : paces_.alone;
    co_return changed_ ? pace.afterChange : kernel::Duration::zero();
}

bool ObjectFeed::mayWatch() const
{
    const bool listDue = partial_ && context_.now() >= partial_->listAgainAt;
    return (at_ || partial_) && !failing_ && !tooLarge_ && !historyLost_ && !listDue;
}

void ObjectFeed::noteFailure(const std::string &what)
{
    const bool spare = !tooLarge_ && !readsStoreDirectly();
    book_.noteStoreFailed(spare, context_.now(), context_.random);
    record_.noteStoreFailure(context_.now());
    heardFromStore_ = false;
    context_.counters.add("store_failures", {{"kind", kind_}});
    storeConnection_.close();
    // A first failure that comes quickly, such as a refusal, may be the only one, so the boxes that
    // ask this one don't have to switch to another source yet.
    const auto confirmed = record_.confirmedAsOf();
    const bool recent = confirmed && context_.now() - *confirmed < paces_.maxRelayedAge / 2;
    if (book_.storeFailures() > 1 || !recent) {
        noteLost(what);
    }
    failing_ = true;
}

bool ObjectFeed::readsStoreDirectly() const
{
    return store::SourceSelector::readsStoreDirectly(sources_.relays(), sources_.self());
}

void ObjectFeed::noteLost(const std::string &why)
{
    record_.setLost(true);
    notifyWaiters();
    if (!failing_) {
        failing_ = true;
        log().event("store-lost",
                    {{"kind", kind_},
                     {"why", why},
                     {"call", lastCall_.what},
                     {"after", kernel::shortName(lastCall_.after)},
                     {"read", lastCall_.read}},
                    "The feed has lost contact with the store.");
    }
}

void ObjectFeed::noteAnswer()
{
    record_.setLost(partial_.has_value());
    if (failing_) {
        failing_ = false;
        log().event("store-back", {{"kind", kind_}}, "The store answers again.");
    }
}

void ObjectFeed::noteSource(const std::string &source)
{
    if (source == source_) {
        return;
    }
    context_.counters.add("feed_sources", {{"kind", kind_}});
    log().event("source", {{"kind", kind_}, {"from", source_}, {"to", source}},
                "The feed has a new source.");
    source_ = source;
}

void ObjectFeed::notifyWaiters()
{
    for (asio::steady_timer *const timer : *waiting_) {
        timer->cancel();
    }
}

asio::awaitable<tl::expected<http::Answer, std::string>> ObjectFeed::askStore(std::string target,
                                                                              AnswerWait wait)
{
    processing_ = false;
    const kernel::Endpoint &where = context_.settings.platform;
    const auto opened = co_await storeConnection_.open(where, context_.settings.connectTimeout);
    if (!opened) {
        co_return tl::unexpected(opened.error());
    }
    context_.counters.add("store_calls", {{"kind", kind_}});
    http::Request request("GET", std::move(target),
                          http::Fields().with("Host", kernel::text(where)));
    auto answer = co_await storeConnection_.ask(std::move(request), wait);
    processing_ = answer.has_value();
    reportedAt_ = context_.now() - storeConnection_.rested();
    co_return answer;
}

void ObjectFeed::confirm(kernel::Instant asOf)
{
    noteKnown(asOf);
    record_.confirm(asOf);
    hooks_.confirmed(asOf);
}

void ObjectFeed::noteKnown(kernel::Instant asOf)
{
    knownAsOf_ = std::max(asOf, knownAsOf_.value_or(asOf));
}

// Other feeds are told by hooks_.confirmed that this one has heard from the store.
void ObjectFeed::noteStoreAnswer()
{
    book_.noteStoreAnswered();
    heardFromStore_ = true;
    noteAnswer();
}

std::optional<kernel::Instant> ObjectFeed::searchUntil() const
{
    // A list that relays should give isn't asked of the store as a search ends.
    if (!knownAsOf_ || paces_.changeKnownWithin == 0s || leavesListToRelays()) {
        return std::nullopt;
    }
    const kernel::Duration search =
            store::searchTime(paces_.relaying, paces_.changeKnownWithin, sources_.self());
    return *knownAsOf_ + search;
}

// Delivers the objects in batches. processing_ stays set meanwhile, which tells callers of
// hasUnprocessed() that more is to come.
asio::awaitable<void> ObjectFeed::deliver(std::span<const store::StoredObject> objects)
{
    while (objects.size() > MaxObjectsPerTurn) {
        hooks_.changed(objects.first(MaxObjectsPerTurn));
        objects = objects.subspan(MaxObjectsPerTurn);
        co_await yieldToLoop();
    }
    hooks_.changed(objects);
}

void ObjectFeed::deliverNames(std::span<const store::StoredObject> objects)
{
    std::set<std::string> names;
    for (const store::StoredObject &object : objects) {
        names.insert(object.name);
    }
    hooks_.listComplete(names);
}

void ObjectFeed::noteUnreadable(std::size_t objects)
{
    if (objects > 0) {
        context_.counters.add("objects_unreadable", {{"kind", kind_}}, objects);
        log().event("unreadable", {{"kind", kind_}, {"objects", objects}},
                    "Objects of the store can't be read and are left out.");
    }
}

// The watch of a list in part ends when the list is due again.
kernel::Duration ObjectFeed::watchWait(kernel::Instant now) const
{
    const store::FeedPace &pace = relaying_ ? paces_.relaying : paces_.alone;
    const auto confirmed = record_.confirmedAsOf();
    const kernel::Duration age = confirmed ? now - *confirmed : kernel::Duration();
    const kernel::Duration wait = store::watchWait(pace, latency_, age);
    return partial_ ? std::clamp<kernel::Duration>(partial_->listAgainAt - now, 0s, wait) : wait;
}

asio::awaitable<bool> ObjectFeed::watch()
{
    const store::FeedPace &pace = relaying_ ? paces_.relaying : paces_.alone;
    const kernel::Instant asked = context_.now();
    const kernel::Duration wait = watchWait(asked);
    const kernel::Duration answerTimeout = store::answerWait(pace, latency_);
    const kernel::Duration timeout = wait + answerTimeout;
    std::string target = format_.watchTarget(kind_, partial_ ? partial_->at : *at_, wait);
    lastCall_ = {"watch", {}, 0, {}, {}};
    const auto answer = co_await askStore(std::move(target),
                                          {timeout, answerTimeout, timeout + MaxListingTime});
    if (answer && answer->status == HistoryGone && partial_ && partial_->at < partial_->listedAt) {
        partial_->at = partial_->listedAt;
        co_return true;
    }
    if (answer && answer->status == HistoryGone) {
        log().info("The store no longer has the history of '" + kind_
                   + "'; the list is read again.");
        historyLost_ = context_.now();
        co_return true;
    }
    if (!answer || answer->status != Good) {
        noteFailure(answer ? "status " + std::to_string(answer->status) : answer.error());
        co_return false;
    }
    json body = co_await json_.read(answer->body);
    auto changes = format_.readChanges(std::move(body));
    if (!changes) {
        noteFailure("the changes can't be read, " + changes.error());
        at_.reset();
        partial_.reset();
        co_return false;
    }
    noteStoreAnswer();
    noteUnreadable(changes->unreadable);
    if (changes->objects.empty()) {
        latency_ = std::max<kernel::Duration>(context_.now() - asked - wait, 0s);
    }
    changed_ = !changes->objects.empty();
    if (partial_) {
        partial_->at = std::max(partial_->at, changes->at);
        co_await deliver(changes->objects);
    } else {
        co_await applyChanges(*changes, answer->body.size());
        noteKnown(reportedAt_);
        confirm(asked);
        notifyWaiters();
    }
    if (changed_) {
        co_await yieldToLoop();
    }
    co_return true;
}

asio::awaitable<void> ObjectFeed::applyChanges(const store::ObjectChanges &changes,
                                               std::size_t bytes)
{
    at_ = std::max(*at_, changes.at);
    if (changes.objects.empty()) {
        co_return;
    }
    co_await yieldToLoop();
    record_.change(keptObjects(changes.objects, bytes, readsStoreDirectly()), *at_, reportedAt_);
    co_await deliver(changes.objects);
}

} // namespace limereel::gateway
