#include "gateway/ObjectFeed.h"

#include "kernel/Log.h"

#include <algorithm>

namespace limereel::gateway {

namespace asio = boost::asio;
using store::FeedStep;

namespace {

const kernel::Log &log()
{
    static const kernel::Log Log("feed");
    return Log;
}

} // namespace

store::AskTimes ObjectFeed::askTimes(const FeedStep &step, kernel::Instant now) const
{
    kernel::Duration hold{};
    if (step.proven && !tooLarge_) {
        hold = store::relayHoldTime(paces_.relaying);
    }
    std::optional<kernel::Duration> left;
    if (step.askUntil) {
        left = *step.askUntil - now;
    }
    return store::askTimes(hold, left);
}

peer::FeedAsk ObjectFeed::makeAsk(kernel::Duration hold) const
{
    return {.question = context_.random(),
            .kind = kind_,
            .at = at_.value_or(0),
            .holdMs = static_cast<std::uint32_t>(hold / 1ms),
            .largeToo = tooLarge_};
}

asio::awaitable<void> ObjectFeed::relayRound(FeedStep step)
{
    const std::uint64_t relay = step.relay;
    const kernel::Instant asked = context_.now();
    const store::AskTimes times = askTimes(step, asked);
    const peer::FeedAsk ask = makeAsk(times.hold);
    askingRelay_ = true;
    abandoned_ = false;
    std::optional<peer::FeedAnswer> answer;
    if (const auto where = sources_.addressOf(relay)) {
        answer = co_await relayClient_.ask(*where, ask, times.timeout);
    }
    askingRelay_ = false;
    if (abandoned_) {
        co_return;
    }
    processing_ = answer.has_value();
    if (!answer) {
        // A relay that had less time than usual isn't silent for that.
        const bool cutShort = times.timeout < times.hold + store::RelayAnswer;
        noteRelayFault(relay, "silent",
                       cutShort ? store::RelayFault::Lost : store::RelayFault::Silent);
        co_return;
    }
    peer::AskState state;
    state.ask = ask;
    state.asked = asked;
    state.now = context_.now();
    state.known = record_.at().value_or(0);
    state.oldest = paces_.maxRelayedAge;
    const peer::Verdict verdict = peer::judge(*answer, state);
    if (verdict == peer::Verdict::Good) {
        noteRelayAnswer(relay);
    } else {
        const bool foreign = verdict == peer::Verdict::Foreign;
        noteRelayFault(relay, peer::text(verdict),
                       foreign ? store::RelayFault::Silent : store::RelayFault::Lost);
    }
    if (peer::tellsSomething(verdict) && answer->confirmedMs) {
        co_await applyAnswer(std::move(*answer), asked);
    }
    processing_ = false;
}

void ObjectFeed::noteRelayFault(std::uint64_t relay, const std::string &what,
                                store::RelayFault fault)
{
    context_.counters.add("relay_faults", {{"kind", kind_}, {"reason", what}});
    log().event("relay-fault", {{"kind", kind_}, {"relay", sources_.nameOf(relay)}, {"why", what}},
                "A relay didn't send what the store holds.");
    book_.noteRelayFailed(relay, fault, context_.now());
    relayClient_.close();
}

void ObjectFeed::noteRelayAnswer(std::uint64_t relay)
{
    relayFault_ = false;
    book_.noteRelayAnswered(relay);
    noteSource(sources_.nameOf(relay));
    heardFromStore_ = false;
    noteAnswer();
}

asio::awaitable<void> ObjectFeed::applyAnswer(peer::FeedAnswer answer, kernel::Instant asked)
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
    reportedAt_ = reportTimeOf(answer, asked);
    const bool newer = answer.at > at_.value_or(0);
    if (newer) {
        const bool taken = co_await applyNews(std::move(answer));
        if (!taken) {
            co_return;
        }
        historyLost_.reset();
        partial_.reset();
        record_.setLost(false);
    }
    confirm(asOf);
    if (newer) {
        notifyWaiters();
    }
}

// Objects missing from a complete list were removed after this feed's last confirmation.
kernel::Instant ObjectFeed::reportTimeOf(const peer::FeedAnswer &answer,
                                         kernel::Instant asked) const
{
    const kernel::Instant asOf = peer::forAsker(asked, *answer.confirmedMs);
    if (answer.whole) {
        return record_.confirmedAsOf().value_or(asOf);
    }
    return answer.toldMs ? peer::forAsker(asked, *answer.toldMs) : asOf;
}

// Returns false if not all of it could be applied; then nothing is confirmed.
asio::awaitable<bool> ObjectFeed::applyNews(peer::FeedAnswer answer)
{
    if (answer.whole && at_) {
        co_return co_await applyWholeList(std::move(answer));
    }
    const auto objects = co_await json_.readKept(answer.objects);
    at_ = answer.at;
    if (answer.whole) {
        record_.replace(std::move(answer.objects), answer.at, reportedAt_);
        co_await deliver(objects);
        deliverNames(objects);
    } else {
        record_.change(std::move(answer.objects), answer.at, reportedAt_);
        co_await deliver(objects);
    }
    co_await yieldToLoop();
    co_return true;
}

// The answer leaves out contents that this box has already.
asio::awaitable<bool> ObjectFeed::applyWholeList(peer::FeedAnswer answer)
{
    auto merged = record_.merge(std::move(answer.objects));
    if (!merged) {
        context_.counters.add("relay_faults", {{"kind", kind_}, {"reason", "incomplete"}});
        at_.reset();
        co_return false;
    }
    const auto objects = co_await json_.readKept(merged->changes);
    at_ = answer.at;
    record_.replace(std::move(merged->all), answer.at, reportedAt_);
    co_await deliver(objects);
    co_await yieldToLoop();
    co_return true;
}

} // namespace limereel::gateway
