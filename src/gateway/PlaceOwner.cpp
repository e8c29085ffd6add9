#include "gateway/PlaceOwner.h"

#include "gateway/MessageUnits.h"
#include "kernel/Log.h"
#include "membership/Ownership.h"
#include "services/MembershipService.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace {

// A grant after this pause at the latest still reaches the asker before its wait ends, and a busy
// owner settles all servers with one pass.
constexpr kernel::Duration SettleInterval = 10ms;

const kernel::Log &log()
{
    static const kernel::Log Log("places");
    return Log;
}

// Consecutive samples, a second apart, in which this box has to own a server before it counts as
// the only owner. Other boxes learn within two seconds of a box that starts, stops or is cut off.
constexpr std::size_t SamplesForSoleOwner = 4;

forward::PlacePolicy policyOf(const kernel::BoxSettings &settings)
{
    forward::PlacePolicy policy;
    policy.loadMultiple = settings.gateway.loadMultiple;
    return policy;
}

// A box that has several seeds but hears from no other box may be cut off from all of them since
// its restart. For a minute it assumes that others exist and limits itself to a share.
forward::FleetSizeEstimatePolicy startFleetPolicy(const kernel::BoxSettings &settings)
{
    forward::FleetSizeEstimatePolicy policy;
    if (settings.gateway.seeds.size() > 1) {
        policy.guessFor = policy.rememberedFor;
    }
    return policy;
}

forward::PlaceAsk placeAskOf(const peer::AskPermit &ask)
{
    return {.request = ask.request,
            .engine = ask.resource,
            .service = ask.organisation,
            .box = ask.router,
            .boxLoad = ask.load,
            .boxAsks = static_cast<double>(ask.asks)};
}

admission::PlaceRequest placeRequestOf(const peer::AskPermit &ask)
{
    return {.request = ask.request,
            .server = ask.resource,
            .box = ask.router,
            .organisation = ask.caller,
            .identity = ask.identity,
            .priority = ask.priority,
            .slots = ask.slots,
            .seen = ask.seen,
            .wait = std::chrono::milliseconds(ask.waitMs),
            .late = std::chrono::milliseconds(ask.lateMs),
            .lease = std::chrono::milliseconds(ask.leaseMs)};
}

void logRefusal(const admission::Decision &decision, const peer::AskPermit &ask)
{
    log().event("place-refused",
                {{"permit", decision.request},
                 {"server", decision.server},
                 {"box", decision.box},
                 {"limit", decision.limit},
                 {"load", decision.load},
                 {"waiting", decision.waiting},
                 {"expected_wait_ms", decision.expectedWait / 1ms},
                 {"come_back_ms", decision.comeBack / 1ms},
                 {"wait_ms", ask.waitMs},
                 {"late_ms", ask.lateMs},
                 {"priority", ask.priority},
                 {"organisation", ask.caller}},
                "The owner of a backend server refuses a request.");
}

} // namespace

PlaceOwner::PlaceOwner(services::Context &context, FleetView &fleetView, Deliver deliver)
    : context_(context)
    , fleetView_(fleetView)
    , deliver_(std::move(deliver))
    , ledger_(policyOf(context.settings))
    , settleTimer_(context.io)
    , startFleet_(startFleetPolicy(context.settings))
{
}

void PlaceOwner::sweep()
{
    const kernel::Instant now = context_.now();
    ledger_.expire(now);
    holders_.expire(now);
    starts_.expire(now);
    sampleOwners();
    if (admits()) {
        book_.expire(now);
        dropGoneBoxes();
        settle();
    }
}

// A box that leaves in a planned way is still live, and its running requests keep their places. One
// that asked before its first heartbeat arrived isn't live yet, and has not left.
void PlaceOwner::dropGoneBoxes()
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    for (auto box = askingBoxes_.begin(); box != askingBoxes_.end();) {
        const std::uint64_t id = box->first;
        const bool live =
                id == members.self() || members.liveness(id) == membership::Liveness::Live;
        const bool gone = box->second && !live;
        box->second = live;
        box = gone ? askingBoxes_.erase(box) : std::next(box);
        if (gone) {
            book_.dropBox(id, context_.now());
            std::erase_if(queued_,
                          [id](const auto &queued) { return queued.second.ask.router == id; });
        }
    }
}

void PlaceOwner::giveBack(const PlaceReturn &returned)
{
    ledger_.giveBack(returned.engine, returned.request);
    queued_.erase(returned.request);
    if (admits()) {
        book_.end({.request = returned.request,
                   .server = returned.engine,
                   .unused = returned.unused,
                   .rejected = returned.rejected},
                  context_.now());
        settle();
    }
}

void PlaceOwner::settle()
{
    if (admits()) {
        deliver(book_.settle(context_.now(), context_.random));
        armSettleTimer();
    }
}

void PlaceOwner::armSettleTimer()
{
    if (settleArmed_ || !book_.anyWaiting()) {
        return;
    }
    settleArmed_ = true;
    settleTimer_.expires_after(SettleInterval);
    settleTimer_.async_wait([this](boost::system::error_code stopped) {
        // After a stop this object may be gone.
        if (!stopped) {
            settleArmed_ = false;
            settle();
        }
    });
}

void PlaceOwner::beginLeaving()
{
    leaving_ = true;
    deliver(book_.refuseAll(context_.now()));
}

void PlaceOwner::deliver(const std::vector<admission::Decision> &decisions)
{
    for (const admission::Decision &decision : decisions) {
        const auto waiting = queued_.find(decision.request);
        if (waiting == queued_.end() || decision.verdict == admission::Verdict::Queued) {
            continue;
        }
        const QueuedAsk queued = std::move(waiting->second);
        queued_.erase(waiting);
        peer::PermitAnswer reply = answerOf(decision, queued.ask);
        refuseStart(queued.ask, reply);
        suggestHolders(queued.ask, reply);
        deliver_(reply, queued.from);
    }
}

void PlaceOwner::noteHolder(std::uint64_t partsKey, membership::ShortHash engine)
{
    holders_.note(partsKey, engine, context_.now());
}

forward::FleetSize PlaceOwner::fleetFor(std::uint64_t engine) const
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    return {std::max<std::size_t>(members.owners().size(), 1),
            std::max<std::size_t>(fleetView_.servers().serversInSameService(engine), 1)};
}

peer::PermitAnswer PlaceOwner::findHolders(const peer::AskPermit &ask) const
{
    const kernel::Instant now = context_.now();
    peer::PermitAnswer reply;
    reply.request = ask.request;
    reply.result = peer::PermitResult::Redirected;
    for (const membership::ShortHash engine : holders_.holders(ask.chat, now)) {
        reply.suggestions.push_back({engine, HoldsAllParts});
    }
    if (reply.suggestions.empty()) {
        for (const membership::ShortHash engine : holders_.holders(ask.resource, now)) {
            reply.suggestions.push_back({engine, HoldsFirstPart});
        }
    }
    return reply;
}

forward::FleetPart PlaceOwner::fleetPart(std::uint64_t server)
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    const std::size_t seen = std::max<std::size_t>(members.owners().size(), 1);
    return {seen, startFleet_.note(seen, context_.now()), isSoleOwner(server)};
}

bool PlaceOwner::isSoleOwner(std::uint64_t server) const
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    const auto owns = [&](const std::vector<std::uint64_t> &owners) {
        return membership::ownerOf(server, owners) == members.self();
    };
    return ownerSamples_.size() >= SamplesForSoleOwner && owns(members.owners())
           && std::ranges::all_of(ownerSamples_, owns);
}

void PlaceOwner::sampleOwners()
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    ownerSamples_.push_back(members.owners());
    if (ownerSamples_.size() > SamplesForSoleOwner) {
        ownerSamples_.pop_front();
    }
}

// Returns, as the owner, the request rate that the server accepts while it is cold, or 0 if it
// isn't cold. The limit holds as soon as any box knows that the server is cold: the owner remembers
// the cold state reported by an asking box. Asking boxes don't store the owner's answer, because
// they would report it back and the state would never expire.
double PlaceOwner::coldRate(const peer::AskPermit &ask)
{
    const kernel::Instant now = context_.now();
    forward::ColdStarts &known = fleetView_.coldStarts();
    known.noteReported(ask.resource, std::chrono::milliseconds(ask.coldMs), now);
    const forward::ColdState state = known.state(ask.organisation, ask.resource, now);
    return state.cold() ? state.perSecond : fromThousandths(ask.coldPerSecond);
}

bool PlaceOwner::grantsStart(const peer::AskPermit &ask, double perSecond)
{
    if (perSecond <= 0) {
        return true;
    }
    const kernel::Instant now = context_.now();
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    starts_.setBound(settings.coldExcess, settings.coldSlack);
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    return starts_.grant({ask.resource, perSecond, members.self()}, fleetPart(ask.resource), now);
}

bool PlaceOwner::grantStartAlone(const forward::ListedServer &server)
{
    const kernel::Instant now = context_.now();
    const forward::ColdState state = fleetView_.coldStarts().state(server, now);
    if (!state.cold()) {
        return true;
    }
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    starts_.setBound(settings.coldExcess, settings.coldSlack);
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    return starts_.grantWithoutOwner({server.hash(), state.perSecond, members.self()},
                                     fleetPart(server.hash()), now);
}

peer::PermitAnswer PlaceOwner::decideStart(const peer::AskPermit &ask)
{
    peer::PermitAnswer reply;
    reply.request = ask.request;
    reply.result = grantsStart(ask, coldRate(ask)) ? peer::PermitResult::Granted
                                                   : peer::PermitResult::Cold;
    return reply;
}

peer::PermitAnswer PlaceOwner::decide(const peer::AskPermit &ask,
                                      const std::optional<kernel::Endpoint> &from)
{
    if (ask.kind == peer::AskKind::Holders) {
        return findHolders(ask);
    }
    if (ask.kind == peer::AskKind::Start) {
        return decideStart(ask);
    }
    return admits() ? decideByBook(ask, from) : decideByLedger(ask);
}

peer::PermitAnswer PlaceOwner::decideByLedger(const peer::AskPermit &ask)
{
    const kernel::Instant now = context_.now();
    const auto answer = ledger_.ask(placeAskOf(ask), fleetFor(ask.resource), now);
    peer::PermitAnswer reply;
    reply.request = ask.request;
    reply.result = answer.granted ? peer::PermitResult::Granted : peer::PermitResult::Full;
    reply.load = answer.load;
    const double perSecond = coldRate(ask);
    if (answer.granted && !grantsStart(ask, perSecond)) {
        ledger_.giveBack(ask.resource, ask.request);
        reply.result = peer::PermitResult::Cold;
        reply.load = answer.load - 1;
    } else if (!answer.granted && perSecond > 0) {
        // An engine that is merely full may still be used when the others are full, too. A cold one
        // must not be.
        reply.result = peer::PermitResult::Cold;
    }
    suggestHolders(ask, reply);
    return reply;
}

void PlaceOwner::suggestHolders(const peer::AskPermit &ask, peer::PermitAnswer &reply)
{
    if (ask.chat == 0) {
        return;
    }
    const kernel::Instant now = context_.now();
    for (const membership::ShortHash engine : holders_.holders(ask.chat, now)) {
        reply.suggestions.push_back({engine, 0});
    }
    if (reply.result == peer::PermitResult::Granted) {
        holders_.note(ask.chat, membership::shortHash(ask.resource), now);
    }
}

// Only requests with prompts prefer one engine, so only they can overload it. Other requests are
// spread by load anyway.
bool PlaceOwner::aboveBound(const peer::AskPermit &ask)
{
    const forward::FleetSize fleet = fleetFor(ask.resource);
    const double bound = ledger_.noteReport(placeAskOf(ask), fleet, context_.now());
    const std::uint32_t load = book_.believedLoad(placeRequestOf(ask), context_.now());
    const bool above = ask.chat != 0 && load + 1 > bound;
    if (above) {
        logAboveBound(ask, fleet, {load, bound});
    }
    return above;
}

void PlaceOwner::logAboveBound(const peer::AskPermit &ask, const forward::FleetSize &fleet,
                               const LoadAndBound &found) const
{
    const kernel::Instant now = context_.now();
    log().event("above-bound",
                {{"permit", ask.request},
                 {"server", ask.resource},
                 {"box", ask.router},
                 {"load", found.load},
                 {"bound", found.bound},
                 {"mean", ledger_.meanLoad(ask.organisation, fleet, now)},
                 {"reports", ledger_.recentReports(ask.organisation, now)},
                 {"boxes", fleet.boxes},
                 {"seen", ask.seen}},
                "A backend server is above the load bound.");
}

// Decides on the leases that the book counts, which include those of boxes of earlier versions.
peer::PermitAnswer PlaceOwner::decideByBook(const peer::AskPermit &ask,
                                            const std::optional<kernel::Endpoint> &from)
{
    const kernel::Instant now = context_.now();
    askingBoxes_.try_emplace(ask.router, false);
    peer::PermitAnswer reply;
    reply.request = ask.request;
    // A repeated ask is answered as before: neither the load bound, which counts its own place, nor
    // the limit of a cold server applies to it once more.
    const bool repeated = book_.contains(ask.resource, ask.request);
    if (!repeated && aboveBound(ask)) {
        reply.result = peer::PermitResult::Full;
        reply.load = book_.load(ask.resource);
    } else if (ask.slots == 0) {
        book_.hold(placeRequestOf(ask), now);
        reply.result = peer::PermitResult::Granted;
        reply.load = book_.load(ask.resource);
    } else {
        admission::PlaceRequest request = placeRequestOf(ask);
        if (leaving_) {
            request.wait = request.late = kernel::Duration(0);
        }
        reply = answerOf(book_.ask(request, now, context_.random), ask);
    }
    if (!repeated) {
        refuseStart(ask, reply);
    }
    if (reply.result == peer::PermitResult::Queued) {
        queued_[ask.request] = {ask, from};
    } else {
        suggestHolders(ask, reply);
    }
    return reply;
}

// A cold server gets no more requests than it bears, however many places it has. A request may wait
// for a place there; whether the server is still cold is decided with the grant. A server above the
// load bound may still be used when the others are, too. A cold one must not be.
void PlaceOwner::refuseStart(const peer::AskPermit &ask, peer::PermitAnswer &reply)
{
    const double perSecond = coldRate(ask);
    if (reply.result == peer::PermitResult::Granted && !grantsStart(ask, perSecond)) {
        book_.end({.request = ask.request, .server = ask.resource, .unused = true}, context_.now());
        reply.load = book_.load(ask.resource);
        reply.result = peer::PermitResult::Cold;
    } else if (reply.result == peer::PermitResult::Full && reply.comeBackMs == 0 && perSecond > 0) {
        reply.result = peer::PermitResult::Cold;
    }
}

peer::PermitAnswer PlaceOwner::answerOf(const admission::Decision &decision,
                                        const peer::AskPermit &ask)
{
    peer::PermitAnswer reply;
    reply.request = ask.request;
    reply.load = decision.load;
    reply.limit = decision.limit;
    if (decision.verdict == admission::Verdict::Granted) {
        reply.result = peer::PermitResult::Granted;
        return reply;
    }
    reply.waitMs = milliseconds(decision.expectedWait);
    if (decision.verdict == admission::Verdict::Queued) {
        reply.result = peer::PermitResult::Queued;
        return reply;
    }
    reply.result = peer::PermitResult::Full;
    // Without a time to come back, Full would mean that the server is above the load bound.
    reply.comeBackMs = std::max(1U, milliseconds(decision.comeBack));
    // An ask that may not wait only asks for the expected wait; another one follows it.
    if (ask.waitMs + ask.lateMs > 0) {
        const bool queueFull = decision.waiting >= admission::WaitQueuePolicy{}.most;
        context_.counters.add("admission_refusals",
                              {{"reason", queueFull ? "queue-bound" : "no-time"}});
        logRefusal(decision, ask);
    }
    return reply;
}

} // namespace limereel::gateway
