#include "gateway/ObjectFeed.h"

#include "gateway/KeptObjects.h"
#include "http/JsonSlices.h"
#include "kernel/Log.h"
#include "store/ListWait.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using nlohmann::json;
using store::FeedStep;

namespace {

constexpr int Good = 200;
constexpr int HistoryGone = 410;
// Well within any store's history, so that the watch can go on from the first page.
constexpr kernel::Duration LongestListing = 8s;
// Two heartbeats. A confirmation by the list has time left for a whole watch after it.
constexpr kernel::Duration SettleFor = 2s;
constexpr kernel::Duration SettleLook = 100ms;
// More than a page of the store has.
constexpr std::size_t LongList = 500;
// Requests wait while objects are taken in: with tens of microseconds each (an estimate), these
// hold them up for some 10 ms on a box with an eighth of a core.
constexpr std::size_t MostAtOnce = 64;

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

ObjectFeed::ObjectFeed(services::Context &context, const store::ObjectFormat &format,
                       std::string kind, const FeedPaces &paces, FeedSources &sources,
                       FeedHooks hooks)
    : context_(context)
    , format_(format)
    , kind_(std::move(kind))
    , paces_(paces)
    , sources_(sources)
    , hooks_(std::move(hooks))
    , book_(paces.sources)
    , storeConnection_(context, "store")
    , relayCaller_(context)
    , began_(context.now())
    , loop_(std::make_unique<services::PeriodicTask>(context.io, [this] { return round(); }))
{
}

bool ObjectFeed::behind() const
{
    return taking_ || storeConnection_.unread() || relayCaller_.unread();
}

void ObjectFeed::hurry()
{
    if (failing_) {
        loop_->hurry();
    }
}

// A box that becomes a relay doesn't wait for another one's answer any more.
void ObjectFeed::noteAsked()
{
    const kernel::Instant now = context_.now();
    book_.noteAsked(now);
    if (askingRelay_ && book_.relaying(sources_.relays(), sources_.self(), now)
        && nextStep().kind == FeedStep::Kind::Store) {
        abandoned_ = true;
        relayCaller_.close();
    }
}

FeedStep ObjectFeed::nextStep() const
{
    const kernel::Instant now = context_.now();
    if (tooLarge_ && book_.storeFailures() == 0) {
        return book_.storeStep(now);
    }
    const FeedStep pause{.kind = FeedStep::Kind::Pause, .pause = SettleLook};
    if (settling()) {
        return pause;
    }
    const FeedStep step =
            book_.next(sources_.relays(), sources_.self(), now, hooks_.storeAllowed());
    return step.kind == FeedStep::Kind::Store && leavesListToRelays() ? pause : step;
}

asio::awaitable<kernel::Duration> ObjectFeed::round()
{
    const FeedStep step = nextStep();
    switch (step.kind) {
    case FeedStep::Kind::Store:
        co_return co_await storeRound(step.relaying);
    case FeedStep::Kind::Relay:
        co_await relayRound(step.relay, step.proven);
        co_return kernel::Duration::zero();
    case FeedStep::Kind::Pause:
        break;
    }
    if (!settling() && !leavesListToRelays()) {
        noteLost("no-source");
    }
    co_return step.pause;
}

// A box that has just listed knows few others yet. It waits for a watch's time for heartbeats that
// name relays: 295 boxes that start together would each watch the store once or twice for nothing.
bool ObjectFeed::settling() const
{
    if (!at_) {
        return sources_.relays().empty() && context_.now() - began_ < paces_.awaitRelays;
    }
    return !failing_ && sources_.relays().empty() && context_.now() - listedFirst_ < SettleFor;
}

bool ObjectFeed::leavesListToRelays() const
{
    store::ListNeed need;
    need.known = at_.has_value();
    need.relaysKnown = !sources_.relays().empty();
    need.inLine = inLine();
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
    if (at_ && !failing_ && !tooLarge_ && !historyLost_) {
        good = co_await watch();
    } else {
        good = co_await list();
    }
    taking_ = false;
    if (!good) {
        co_return kernel::Duration::zero();
    }
    book_.noteStoreAnswered();
    heardFromStore_ = true;
    const store::FeedPace &pace = relaying_ ? paces_.relaying : paces_.alone;
    co_return changed_ ? pace.afterChange : kernel::Duration::zero();
}

void ObjectFeed::noteFailure(const std::string &what)
{
    const bool spare = !tooLarge_ && !inLine();
    book_.noteStoreFailed(spare, context_.now(), context_.random);
    record_.noteStoreFailure(context_.now());
    heardFromStore_ = false;
    context_.counters.add("store_failures", {{"kind", kind_}});
    storeConnection_.close();
    // A first failure that came soon, such as a refusal, may be the only one: those who hear
    // through this box aren't sent elsewhere for it.
    const auto confirmed = record_.confirmedAsOf();
    const bool young = confirmed && context_.now() - *confirmed < paces_.oldestHeard / 2;
    if (book_.storeFailures() > 1 || !young) {
        noteLost(what);
    }
    failing_ = true;
}

bool ObjectFeed::inLine() const
{
    return store::SourceBook::inLine(sources_.relays(), sources_.self());
}

void ObjectFeed::noteLost(const std::string &why)
{
    record_.setLost(true);
    wake();
    if (!failing_) {
        failing_ = true;
        log().event("store-lost", {{"kind", kind_}, {"why", why}}, "The store is lost.");
    }
}

void ObjectFeed::noteAnswer()
{
    record_.setLost(false);
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
                "The feed has another source.");
    source_ = source;
}

void ObjectFeed::wake()
{
    for (asio::steady_timer *const timer : *waiting_) {
        timer->cancel();
    }
}

asio::awaitable<tl::expected<http::Answer, std::string>> ObjectFeed::askStore(std::string target,
                                                                              AnswerWait wait)
{
    taking_ = false;
    const kernel::Endpoint &where = context_.settings.platform;
    const auto opened = co_await storeConnection_.open(where, context_.settings.connectTimeout);
    if (!opened) {
        co_return tl::unexpected(opened.error());
    }
    context_.counters.add("store_calls", {{"kind", kind_}});
    http::Request request("GET", std::move(target),
                          http::Fields().with("Host", kernel::text(where)));
    auto answer = co_await storeConnection_.ask(std::move(request), wait);
    taking_ = answer.has_value();
    told_ = context_.now() - storeConnection_.rested();
    co_return answer;
}

void ObjectFeed::confirm(kernel::Instant asOf)
{
    record_.confirm(asOf);
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

// What is told meanwhile of what is known already stays: taking_ says that there is more.
asio::awaitable<void> ObjectFeed::handOver(std::span<const store::StoredObject> objects)
{
    while (objects.size() > MostAtOnce) {
        hooks_.changed(objects.first(MostAtOnce));
        objects = objects.subspan(MostAtOnce);
        co_await letOthersRun();
    }
    hooks_.changed(objects);
}

void ObjectFeed::handOverNames(std::span<const store::StoredObject> objects)
{
    std::set<std::string> names;
    for (const store::StoredObject &object : objects) {
        names.insert(object.name);
    }
    hooks_.listed(names);
}

void ObjectFeed::noteUnreadable(std::size_t objects)
{
    if (objects > 0) {
        context_.counters.add("objects_unreadable", {{"kind", kind_}}, objects);
        log().event("unreadable", {{"kind", kind_}, {"objects", objects}},
                    "Objects of the store can't be read and are left out.");
    }
}

asio::awaitable<bool> ObjectFeed::list()
{
    const kernel::Instant now = context_.now();
    const bool begun = listing_ && !listing_->objects.empty();
    // Others may have told newer things since the first page.
    const bool outrun = begun && listing_->at < at_.value_or(0);
    if (!begun || outrun || now - listing_->begun > LongestListing) {
        listing_ = Listing{now, 0, {}, {}};
    }
    bool more = true;
    while (more) {
        const auto &objects = listing_->objects;
        const std::string after = objects.empty() ? std::string() : objects.back().name;
        std::string target = format_.listTarget(kind_, after);
        const kernel::Instant asked = context_.now();
        const kernel::Duration longest =
                store::pageWait(paces_.alone, book_.storeFailures(), at_.has_value());
        const auto answer =
                co_await askStore(std::move(target), {longest, longest, longest + LongestListing});
        if (!answer || answer->status != Good) {
            noteFailure(answer ? "status " + std::to_string(answer->status) : answer.error());
            co_return false;
        }
        latency_ = context_.now() - asked;
        const std::size_t bytes = answer->body.size();
        json body = co_await readBody(answer->body);
        auto page = format_.readPage(std::move(body));
        if (!page) {
            listing_.reset();
            noteFailure("the list can't be read, " + page.error());
            co_return false;
        }
        noteUnreadable(page->unreadable);
        const bool first = listing_->objects.empty();
        more = takePage(std::move(*page), bytes);
        if (more && first && !inLine()) {
            co_return true;
        }
    }
    noteAnswer();
    tooLarge_ = false;
    historyLost_.reset();
    if (!at_) {
        listedFirst_ = listing_->begun;
    }
    Listing listing = std::move(*listing_);
    listing_.reset();
    at_ = std::max(at_.value_or(0), listing.at);
    co_await letOthersRun();
    record_.replace(std::move(listing.kept), listing.at, told_);
    co_await handOver(listing.objects);
    handOverNames(listing.objects);
    confirm(listing.begun);
    wake();
    co_await letOthersRun();
    co_return true;
}

// Changes between two pages come with the watch, which goes on from the first page.
bool ObjectFeed::takePage(store::ObjectPage page, std::size_t bytes)
{
    if (listing_->objects.empty()) {
        listing_->at = page.at;
    }
    const bool more = page.more && !page.objects.empty();
    std::ranges::move(keptObjects(page.objects, bytes, inLine()),
                      std::back_inserter(listing_->kept));
    std::ranges::move(page.objects, std::back_inserter(listing_->objects));
    return more;
}

asio::awaitable<bool> ObjectFeed::watch()
{
    const store::FeedPace &pace = relaying_ ? paces_.relaying : paces_.alone;
    const kernel::Instant asked = context_.now();
    const auto confirmed = record_.confirmedAsOf();
    const kernel::Duration age = confirmed ? asked - *confirmed : kernel::Duration();
    const kernel::Duration wait = store::watchWait(pace, latency_, age);
    const kernel::Duration rest = store::answerWait(pace, latency_);
    const kernel::Duration longest = wait + rest;
    std::string target = format_.watchTarget(kind_, *at_, wait);
    const auto answer =
            co_await askStore(std::move(target), {longest, rest, longest + LongestListing});
    if (answer && answer->status == HistoryGone) {
        log().info("The store has forgotten its history of '" + kind_ + "'; the list is read.");
        historyLost_ = context_.now();
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
    noteUnreadable(changes->unreadable);
    if (changes->objects.empty()) {
        latency_ = std::max<kernel::Duration>(context_.now() - asked - wait, 0s);
    }
    at_ = std::max(*at_, changes->at);
    changed_ = !changes->objects.empty();
    if (changed_) {
        co_await letOthersRun();
        record_.change(keptObjects(changes->objects, answer->body.size(), inLine()), *at_, told_);
        co_await handOver(changes->objects);
    }
    confirm(asked);
    wake();
    if (changed_) {
        co_await letOthersRun();
    }
    co_return true;
}

peer::FeedAsk ObjectFeed::makeAsk(bool proven) const
{
    const auto hold = proven && !tooLarge_ ? store::holdOf(paces_.relaying) / 1ms : 0;
    return {.question = context_.random(),
            .kind = kind_,
            .at = at_.value_or(0),
            .holdMs = static_cast<std::uint32_t>(hold),
            .largeToo = tooLarge_};
}

asio::awaitable<void> ObjectFeed::relayRound(std::uint64_t relay, bool proven)
{
    const peer::FeedAsk ask = makeAsk(proven);
    const kernel::Instant asked = context_.now();
    const kernel::Duration longest = std::chrono::milliseconds(ask.holdMs) + store::RelayAnswer;
    askingRelay_ = true;
    abandoned_ = false;
    std::optional<peer::FeedAnswer> answer;
    if (const auto where = sources_.addressOf(relay)) {
        answer = co_await relayCaller_.ask(*where, ask, longest);
    }
    askingRelay_ = false;
    if (abandoned_) {
        co_return;
    }
    taking_ = answer.has_value();
    if (!answer) {
        noteRelayFault(relay, "silent", store::RelayFault::Silent);
        co_return;
    }
    peer::AskState state;
    state.ask = ask;
    state.asked = asked;
    state.now = context_.now();
    state.known = record_.at().value_or(0);
    state.oldest = paces_.oldestHeard;
    const peer::Verdict verdict = peer::judge(*answer, state);
    if (verdict == peer::Verdict::Good) {
        noteRelayAnswer(relay);
    } else {
        const bool foreign = verdict == peer::Verdict::Foreign;
        noteRelayFault(relay, peer::text(verdict),
                       foreign ? store::RelayFault::Silent : store::RelayFault::Lost);
    }
    if (peer::tellsSomething(verdict) && answer->confirmedMs) {
        co_await takeAnswer(std::move(*answer), asked);
    }
    taking_ = false;
}

void ObjectFeed::noteRelayFault(std::uint64_t relay, const std::string &what,
                                store::RelayFault fault)
{
    context_.counters.add("relay_faults", {{"kind", kind_}, {"reason", what}});
    log().event("relay-fault", {{"kind", kind_}, {"relay", sources_.nameOf(relay)}, {"why", what}},
                "Another box didn't tell what the store holds.");
    book_.noteRelayFailed(relay, fault, context_.now());
    relayCaller_.close();
}

void ObjectFeed::noteRelayAnswer(std::uint64_t relay)
{
    relayFault_ = false;
    book_.noteRelayAnswered(relay);
    noteSource(sources_.nameOf(relay));
    heardFromStore_ = false;
    noteAnswer();
}

asio::awaitable<void> ObjectFeed::takeAnswer(peer::FeedAnswer answer, kernel::Instant asked)
{
    if (answer.storeFailedMs) {
        record_.noteStoreFailure(peer::forAsker(asked, *answer.storeFailedMs));
    }
    tooLarge_ = std::ranges::any_of(answer.objects, &store::KeptObject::large);
    if (tooLarge_) {
        context_.counters.add("relay_too_large", {{"kind", kind_}});
        co_return;
    }
    const kernel::Instant asOf = peer::forAsker(asked, *answer.confirmedMs);
    told_ = toldBy(answer, asked);
    const bool newer = answer.at > at_.value_or(0);
    if (newer) {
        const bool taken = co_await takeNews(std::move(answer));
        if (!taken) {
            co_return;
        }
        historyLost_.reset();
    }
    confirm(asOf);
    if (newer) {
        wake();
    }
}

// What a whole list doesn't name went after what is known was last right.
kernel::Instant ObjectFeed::toldBy(const peer::FeedAnswer &answer, kernel::Instant asked) const
{
    const kernel::Instant asOf = peer::forAsker(asked, *answer.confirmedMs);
    if (answer.whole) {
        return record_.confirmedAsOf().value_or(asOf);
    }
    return answer.toldMs ? peer::forAsker(asked, *answer.toldMs) : asOf;
}

asio::awaitable<std::vector<store::StoredObject>>
ObjectFeed::readObjects(const std::vector<store::KeptObject> &kept)
{
    std::vector<store::StoredObject> objects;
    for (const store::KeptObject &one : kept) {
        store::StoredObject object;
        object.name = one.name;
        object.revision = one.revision;
        object.gone = one.gone;
        if (!one.gone) {
            object.content = co_await readBody(one.text);
        }
        objects.push_back(std::move(object));
        if (objects.size() % MostAtOnce == 0) {
            co_await letOthersRun();
        }
    }
    co_return objects;
}

// Gives false if not all of it could be taken: then nothing is confirmed.
asio::awaitable<bool> ObjectFeed::takeNews(peer::FeedAnswer answer)
{
    if (answer.whole && at_) {
        co_return co_await takeWhole(std::move(answer));
    }
    const auto objects = co_await readObjects(answer.objects);
    at_ = answer.at;
    if (answer.whole) {
        record_.replace(std::move(answer.objects), answer.at, told_);
        co_await handOver(objects);
        handOverNames(objects);
    } else {
        record_.change(std::move(answer.objects), answer.at, told_);
        co_await handOver(objects);
    }
    co_await letOthersRun();
    co_return true;
}

// Contents that this box has were left out.
asio::awaitable<bool> ObjectFeed::takeWhole(peer::FeedAnswer answer)
{
    auto merged = record_.merge(std::move(answer.objects));
    if (!merged) {
        context_.counters.add("relay_faults", {{"kind", kind_}, {"reason", "incomplete"}});
        at_.reset();
        co_return false;
    }
    const auto objects = co_await readObjects(merged->changes);
    at_ = answer.at;
    record_.replace(std::move(merged->all), answer.at, told_);
    co_await handOver(objects);
    co_await letOthersRun();
    co_return true;
}

} // namespace limereel::gateway
