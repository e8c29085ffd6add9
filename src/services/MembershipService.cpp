#include "services/MembershipService.h"

#include "kernel/Log.h"
#include "services/PeerService.h"

#include <boost/asio/ip/address_v4.hpp>
#include <sstream>

namespace limereel::services {

namespace asio = boost::asio;
using membership::BoxState;

namespace {

membership::HeartbeatPolicy policyOf(const kernel::BoxSettings &settings)
{
    membership::HeartbeatPolicy policy;
    policy.period = settings.heartbeatPeriod;
    policy.fanout = settings.fanout;
    policy.suspectAfter = settings.heartbeatPeriod * 8;
    policy.deadAfter = settings.heartbeatPeriod * 14;
    policy.dampFor = settings.heartbeatPeriod * 10;
    policy.dampAtMost = settings.heartbeatPeriod * 120;
    policy.forgetAfter = settings.heartbeatPeriod * 600;
    return policy;
}

std::uint32_t ownIpv4(const Context &context)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(context.settings.peer.address, error);
    return error ? 0 : address.to_uint();
}

BoxState initialState(const Context &context, const PeerDiscovery &discovery)
{
    BoxState state;
    state.box = context.settings.box.hash();
    state.incarnation = context.incarnation;
    state.address = discovery.seeds.empty() ? 0 : ownIpv4(context);
    return state;
}

// A box is suspected only after some seconds of silence, so that this much more delay does no harm.
constexpr kernel::Duration OwnersCacheTime = 50ms;
// Rounds between two contacts with the seeds once another box is known.
constexpr std::uint64_t RoundsPerSeedContact = 10;

} // namespace

MembershipService::MembershipService(Context &context, PeerDiscovery discovery)
    : context_(context)
    , discovery_(std::move(discovery))
    , table_(policyOf(context.settings), initialState(context, discovery_))
{
    names_[context.settings.box.hash()] = context.settings.box.text();
}

void MembershipService::start()
{
    context_.kernel.find<PeerService>("peer").onMessage(
            [this](const peer::Message &message, const kernel::Endpoint &from) {
                if (const auto *const heartbeat = std::get_if<peer::Heartbeat>(&message)) {
                    receive(*heartbeat, from);
                }
            });
    loop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return round(); });
}

void MembershipService::stop()
{
    loop_.reset();
}

const std::vector<std::uint64_t> &MembershipService::owners() const
{
    const kernel::Instant now = context_.now();
    if (!ownersAt_ || now - *ownersAt_ >= OwnersCacheTime) {
        owners_ = table_.owners(now);
        ownersAt_ = now;
    }
    return owners_;
}

std::optional<kernel::Endpoint> MembershipService::addressOf(std::uint64_t box) const
{
    const auto entry = addresses_.find(box);
    return entry == addresses_.end() ? std::nullopt : std::optional(entry->second);
}

std::string MembershipService::nameOf(std::uint64_t box) const
{
    const auto entry = names_.find(box);
    if (entry != names_.end()) {
        return entry->second;
    }
    std::ostringstream text;
    text << std::hex << box;
    return text.str();
}

void MembershipService::noteUnreachable(std::uint64_t box)
{
    context_.counters.add("owners_unreachable");
    table_.noteUnreachable(box, context_.now());
    invalidateOwners();
}

void MembershipService::leave()
{
    leaving_ = true;
    hurry();
}

void MembershipService::hurry()
{
    if (loop_) {
        loop_->hurry();
    }
}

asio::awaitable<kernel::Duration> MembershipService::round()
{
    addListedBoxes();
    BoxState state = initialState(context_, discovery_);
    state.leaving = leaving_;
    for (const auto &callback : stateCallbacks_) {
        callback(state);
    }
    table_.setSelf(std::move(state));
    invalidateOwners();
    auto &peer = context_.kernel.find<PeerService>("peer");
    for (auto &message : table_.tick(context_.now(), context_.random)) {
        if (const auto address = addressOf(message.to)) {
            peer.send(*address,
                      peer::Heartbeat{std::move(message.states), std::move(message.ages)});
        }
    }
    contactSeeds();
    for (const auto &callback : heartbeatCallbacks_) {
        callback();
    }
    co_return context_.settings.heartbeatPeriod;
}

void MembershipService::addListedBoxes()
{
    std::vector<std::uint64_t> listed;
    const auto add = [&](const kernel::KnownBox &known) {
        listed.push_back(known.box.hash());
        names_[known.box.hash()] = known.box.text();
        addresses_[known.box.hash()] = known.peer;
    };
    for (const kernel::KnownBox &known : context_.settings.knownBoxes) {
        add(known);
    }
    for (const kernel::KnownBox &known : discovery_.listed()) {
        add(known);
    }
    table_.setListed(listed, context_.now());
}

// Sends heartbeats to the seeds in each round until another box is known, and every
// RoundsPerSeedContact rounds afterwards: two parts of a fleet may have started without contact, or
// been partitioned for so long that they consider each other dead. One dead box is contacted too,
// as the seeds may no longer exist by then.
void MembershipService::contactSeeds()
{
    const bool alone = owners().size() <= 1;
    if (!alone && roundCount_++ % RoundsPerSeedContact != 0) {
        return;
    }
    auto &peer = context_.kernel.find<PeerService>("peer");
    for (const kernel::Endpoint &seed : discovery_.seeds) {
        if (seed != context_.settings.peer) {
            peer.send(seed, peer::Heartbeat{{table_.self()}, {}});
        }
    }
    contactOneDeadBox();
}

void MembershipService::contactOneDeadBox()
{
    std::vector<kernel::Endpoint> deadBoxes;
    for (const auto &[box, address] : addresses_) {
        if (box != self() && liveness(box) == membership::Liveness::Dead) {
            deadBoxes.push_back(address);
        }
    }
    if (!deadBoxes.empty()) {
        const kernel::Endpoint &one = deadBoxes[context_.random() % deadBoxes.size()];
        context_.kernel.find<PeerService>("peer").send(one, peer::Heartbeat{{table_.self()}, {}});
    }
}

void MembershipService::learnAddress(const BoxState &state)
{
    if (state.address != 0 && state.box != self()) {
        const std::string number = asio::ip::address_v4(state.address).to_string();
        addresses_[state.box] = {number, context_.settings.peer.port};
    }
}

void MembershipService::receive(const peer::Heartbeat &heartbeat, const kernel::Endpoint &from)
{
    if (heartbeat.states.empty()) {
        return;
    }
    // The sender's own state comes first, and the sender receives at the address that it sends
    // from. This adds only boxes that neither the settings nor the platform's list, which may lag,
    // contain.
    addresses_.try_emplace(heartbeat.states.front().box, from);
    for (const BoxState &state : heartbeat.states) {
        learnAddress(state);
        // Other boxes still have the state of an earlier process of this box with a higher
        // incarnation, as the clock has been set back since.
        if (state.box == self() && state.incarnation > context_.incarnation) {
            context_.incarnation = state.incarnation + 1;
        }
    }
    const std::size_t newStates = table_.receive(heartbeat.states, heartbeat.ages, context_.now());
    invalidateOwners();
    context_.counters.add("heartbeat_states", {{"news", "yes"}}, newStates);
    context_.counters.add("heartbeat_states", {{"news", "no"}},
                          heartbeat.states.size() - newStates);
    if (newStates > 0) {
        for (const auto &callback : newStateCallbacks_) {
            callback();
        }
    }
    sendMissingStates(heartbeat, from);
}

void MembershipService::sendMissingStates(const peer::Heartbeat &heartbeat,
                                          const kernel::Endpoint &from)
{
    const auto missing = table_.introductionFor(heartbeat.states, heartbeat.ages, context_.now(),
                                                context_.random);
    for (auto &states : table_.splitIntoMessages(missing)) {
        context_.counters.add("introductions");
        context_.kernel.find<PeerService>("peer").send(from,
                                                       peer::Heartbeat{std::move(states), {}});
    }
}

} // namespace limereel::services
