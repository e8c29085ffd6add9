#include "gateway/PlaceOwner.h"

#include "membership/Ownership.h"
#include "services/MembershipService.h"

#include <algorithm>

namespace limereel::gateway {

namespace {

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

double fromThousandths(std::uint32_t perSecond)
{
    constexpr double Parts = 1000;
    return perSecond / Parts;
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

} // namespace

PlaceOwner::PlaceOwner(services::Context &context, FleetView &fleetView)
    : context_(context)
    , fleetView_(fleetView)
    , ledger_(policyOf(context.settings))
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
}

void PlaceOwner::giveBack(std::uint64_t engine, std::uint64_t request)
{
    ledger_.giveBack(engine, request);
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

// Decides as the owner, for other boxes and for this one alike.
peer::PermitAnswer PlaceOwner::decide(const peer::AskPermit &ask)
{
    if (ask.kind == peer::AskKind::Holders) {
        return findHolders(ask);
    }
    if (ask.kind == peer::AskKind::Start) {
        return decideStart(ask);
    }
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
    if (ask.chat != 0) {
        for (const membership::ShortHash engine : holders_.holders(ask.chat, now)) {
            reply.suggestions.push_back({engine, 0});
        }
    }
    if (ask.chat != 0 && reply.result == peer::PermitResult::Granted) {
        holders_.note(ask.chat, membership::shortHash(ask.resource), now);
    }
    return reply;
}

} // namespace limereel::gateway
