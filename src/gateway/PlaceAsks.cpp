#include "gateway/PlaceAsks.h"

#include "gateway/MessageUnits.h"
#include "membership/Ownership.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

// A grant that is delayed for longer than this is not given back; its place ends with the lease.
constexpr kernel::Duration ReturnedKept = 5s;
constexpr int MaxSilences = 2; ///< After these, another box is considered the owner.

bool isQueued(const std::optional<peer::PermitAnswer> &answer)
{
    return answer && answer->result == peer::PermitResult::Queued;
}

} // namespace

// The box asked is 0 if there is none.
Place PlaceAsks::placeOf(const peer::AskPermit &ask, std::uint64_t silent) const
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    Place place{ask.request, ask.resource, 0, 0};
    for (const std::uint64_t box : membership::rankedOwners(ask.resource, members.owners(), 2)) {
        if (box != silent) {
            place.asked = box;
            break;
        }
    }
    return place;
}

PlaceAsks::PendingPtr PlaceAsks::addPending(std::uint64_t request)
{
    auto pending =
            std::make_shared<Pending>(Pending{asio::steady_timer(context_.io), std::nullopt});
    pending_[request] = pending;
    return pending;
}

asio::awaitable<AskResult> PlaceAsks::ask(peer::AskPermit ask)
{
    AskResult result;
    result.place = placeOf(ask);
    const PendingPtr pending = addPending(ask.request);
    co_await firstAnswer(result.place, ask, pending);
    pending_.erase(ask.request);
    result.answer = pending->answer;
    co_return result;
}

asio::awaitable<AskResult> PlaceAsks::askAndWait(peer::AskPermit ask, OnWait onWait,
                                                 std::uint64_t silent)
{
    if (leaving_) {
        ask.waitMs = 0;
        ask.lateMs = 0;
    }
    AskResult result;
    result.place = placeOf(ask, silent);
    const PendingPtr pending = addPending(ask.request);
    co_await firstAnswer(result.place, ask, pending);
    result.queued = isQueued(pending->answer);
    if (result.queued) {
        co_await waitForPlace(result.place, ask, pending, std::move(onWait));
    }
    pending_.erase(ask.request);
    result.answer = pending->answer;
    result.stopping = leaving_;
    if (result.withdrawn()) {
        giveBack(result.place, {.unused = true});
    }
    co_return result;
}

asio::awaitable<void> PlaceAsks::firstAnswer(Place place, peer::AskPermit ask, PendingPtr pending)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    if (place.asked == members.self()) {
        pending->answer = owner_.decide(ask, std::nullopt);
        owner_.settle();
        co_return;
    }
    const auto address = members.addressOf(place.asked);
    if (!address) {
        co_return;
    }
    pending->timer.expires_after(context_.settings.askTimeout);
    context_.kernel.find<services::PeerService>("peer").send(*address, ask);
    co_await waitForAnswer(pending);
    if (pending->answer) {
        silences_.erase(place.asked);
    } else {
        noteSilent(place.asked);
    }
}

// The owner's second answer ends the wait. If it hasn't come when it was expected, other requests
// may have gone ahead, the answer may be lost or the owner may have ended: the ask is repeated, and
// the wait goes on only if the owner still answers.
asio::awaitable<void> PlaceAsks::waitForPlace(Place place, peer::AskPermit ask, PendingPtr pending,
                                              OnWait onWait)
{
    context_.counters.add("places", {{"result", "queued"}});
    const kernel::Instant usefulUntil = context_.now() + std::chrono::milliseconds(ask.waitMs)
                                        + std::chrono::milliseconds(ask.lateMs);
    if (onWait) {
        onWait([pending] {
            pending->ended = true;
            pending->timer.cancel();
        });
    }
    bool confirmed = true;
    // The stop may have begun after the ask was sent.
    while (confirmed && isQueued(pending->answer) && !pending->ended && !leaving_) {
        const kernel::Duration left = usefulUntil - context_.now();
        const kernel::Duration expected = std::chrono::milliseconds(pending->answer->waitMs);
        const bool last = expected + context_.settings.askTimeout >= left;
        pending->timer.expires_after(last ? left : expected + context_.settings.askTimeout);
        co_await waitForAnswer(pending);
        if (last) {
            break;
        }
        confirmed = co_await confirmWait(place, ask, pending);
    }
    if (onWait) {
        onWait({});
    }
    countWait(*pending);
}

// Repeats the ask, unless this box is the owner or the wait is over. Returns false if the owner
// doesn't answer, by Queued or by the answer that ends the wait.
asio::awaitable<bool> PlaceAsks::confirmWait(Place place, peer::AskPermit ask, PendingPtr pending)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    if (place.asked == members.self() || !isQueued(pending->answer) || pending->ended) {
        co_return true;
    }
    const auto address = members.addressOf(place.asked);
    if (!address) {
        co_return false;
    }
    pending->confirmed = false;
    pending->timer.expires_after(context_.settings.askTimeout);
    context_.kernel.find<services::PeerService>("peer").send(*address, ask);
    co_await waitForAnswer(pending);
    if (pending->confirmed) {
        silences_.erase(place.asked);
    } else if (!pending->ended) {
        noteSilent(place.asked);
    }
    co_return pending->confirmed;
}

void PlaceAsks::countWait(const Pending &pending)
{
    const char *outcome = "withdrawn";
    if (!isQueued(pending.answer)) {
        outcome = pending.answer->result == peer::PermitResult::Granted ? "granted" : "refused";
    } else if (pending.ended) {
        outcome = "ended";
    }
    context_.counters.add("admission_waits", {{"outcome", outcome}});
}

// Waits until the timer of \a pending ends, or until the next answer or the end of the request
// cancels it. The timer may end while the answer is still unread in the socket, so pending messages
// are read before the answer counts as missing.
asio::awaitable<void> PlaceAsks::waitForAnswer(PendingPtr pending)
{
    const bool second = isQueued(pending->answer);
    const bool repeated = second && !pending->confirmed;
    const auto answered = [pending, second, repeated] {
        const bool confirmed = repeated && pending->confirmed;
        return pending->answer.has_value() && (confirmed || !second || !isQueued(pending->answer));
    };
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (answered() || pending->ended) {
        co_return;
    }
    auto &peer = context_.kernel.find<services::PeerService>("peer");
    std::function<bool()> enough = answered;
    co_await peer.readPending(std::move(enough));
    context_.counters.add("waits_rescued", {{"what", "place"}}, answered() ? 1 : 0);
}

void PlaceAsks::noteSilent(std::uint64_t owner)
{
    if (++silences_[owner] >= MaxSilences) {
        silences_.erase(owner);
        context_.kernel.find<services::MembershipService>("membership").noteUnreachable(owner);
    }
}

void PlaceAsks::giveBack(const Place &place, const PlaceUse &use)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    if (place.asked == members.self()) {
        owner_.giveBack({.request = place.request,
                         .engine = place.engine,
                         .unused = use.unused,
                         .rejected = use.rejected});
    } else if (const auto address = members.addressOf(place.asked); place.asked != 0 && address) {
        peer::GiveBack message{place.request, place.engine, peer::Observed::Served};
        if (context_.settings.gateway.admission) {
            message.observed = use.unused ? peer::Observed::Unused : peer::Observed::Served;
            message.rejected = use.rejected;
            message.firstMs = milliseconds(use.first);
            returned_[place.request] = {place, context_.now()};
        }
        context_.kernel.find<services::PeerService>("peer").send(*address, message);
    }
}

void PlaceAsks::receive(const peer::PermitAnswer &answer)
{
    const auto waiting = pending_.find(answer.request);
    if (waiting != pending_.end()) {
        // Queued may arrive behind the answer that ends the wait, or twice. An answer that ends
        // the wait stands: the place that it grants is used or given back.
        Pending &pending = *waiting->second;
        const bool queued = answer.result == peer::PermitResult::Queued;
        if (!pending.answer || (isQueued(pending.answer) && (!queued || !pending.confirmed))) {
            pending.answer = answer;
            pending.confirmed = true;
            pending.timer.cancel();
        }
        return;
    }
    const auto returned = returned_.find(answer.request);
    if (returned != returned_.end() && answer.result == peer::PermitResult::Granted) {
        // The withdrawal was lost, or the ask was delayed and arrived behind it.
        const Place place = returned->second.place;
        giveBack(place, {.unused = true});
    }
}

void PlaceAsks::beginLeaving()
{
    leaving_ = true;
    for (const auto &[request, pending] : pending_) {
        if (isQueued(pending->answer)) {
            pending->ended = true;
            pending->timer.cancel();
        }
    }
}

void PlaceAsks::expire()
{
    const kernel::Instant now = context_.now();
    std::erase_if(returned_,
                  [now](const auto &item) { return now - item.second.at > ReturnedKept; });
}

} // namespace limereel::gateway
