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

std::uint32_t ownNumber(const Context &context)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(context.settings.peer.address, error);
    return error ? 0 : address.to_uint();
}

BoxState firstState(const Context &context, const PeerDiscovery &discovery)
{
    BoxState state;
    state.box = context.settings.box.hash();
    state.incarnation = context.incarnation;
    state.address = discovery.seeds.empty() ? 0 : ownNumber(context);
    return state;
}

// A box is suspected after some seconds of silence; so much later is no matter.
constexpr kernel::Duration OwnersKept = 50ms;
// Rounds between two greetings of seeds that aren't known, once some box is.
constexpr std::uint64_t GreetEvery = 10;

} // namespace

MembershipService::MembershipService(Context &context, PeerDiscovery discovery)
    : context_(context)
    , discovery_(std::move(discovery))
    , table_(policyOf(context.settings), firstState(context, discovery_))
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
    if (!ownersAt_ || now - *ownersAt_ >= OwnersKept) {
        owners_ = table_.owners(now);
        ownersAt_ = now;
    }
    return owners_;
}

std::optional<kernel::Endpoint> MembershipService::addressOf(std::uint64_t box) const
{
    const auto place = addresses_.find(box);
    return place == addresses_.end() ? std::nullopt : std::optional(place->second);
}

std::string MembershipService::nameOf(std::uint64_t box) const
{
    const auto place = names_.find(box);
    if (place != names_.end()) {
        return place->second;
    }
    std::ostringstream text;
    text << std::hex << box;
    return text.str();
}

void MembershipService::noteUnreachable(std::uint64_t box)
{
    context_.counters.add("owners_unreachable");
    table_.noteUnreachable(box, context_.now());
    forgetOwners();
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
    takeListed();
    BoxState state = firstState(context_, discovery_);
    state.leaving = leaving_;
    for (const auto &complete : complete_) {
        complete(state);
    }
    table_.setSelf(std::move(state));
    forgetOwners();
    auto &peer = context_.kernel.find<PeerService>("peer");
    for (auto &message : table_.tick(context_.now(), context_.random)) {
        if (const auto address = addressOf(message.to)) {
            peer.send(*address,
                      peer::Heartbeat{std::move(message.states), std::move(message.ages)});
        }
    }
    greetSeeds();
    for (const auto &beat : beat_) {
        beat();
    }
    co_return context_.settings.heartbeatPeriod;
}

void MembershipService::takeListed()
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

// Until some box is known, and now and then afterwards, since two parts of a fleet may have started
// apart or been cut apart for so long that they gave each other up; the seeds may be gone by then.
void MembershipService::greetSeeds()
{
    const bool alone = owners().size() <= 1;
    if (!alone && rounds_++ % GreetEvery != 0) {
        return;
    }
    auto &peer = context_.kernel.find<PeerService>("peer");
    for (const kernel::Endpoint &seed : discovery_.seeds) {
        if (seed != context_.settings.peer) {
            peer.send(seed, peer::Heartbeat{{table_.self()}, {}});
        }
    }
    greetOneGivenUp();
}

void MembershipService::greetOneGivenUp()
{
    std::vector<kernel::Endpoint> givenUp;
    for (const auto &[box, address] : addresses_) {
        if (box != self() && liveness(box) == membership::Liveness::Dead) {
            givenUp.push_back(address);
        }
    }
    if (!givenUp.empty()) {
        const kernel::Endpoint &one = givenUp[context_.random() % givenUp.size()];
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
    // The sender's own state comes first; where it came from is where it listens. Only a box that
    // the platform or the settings don't name (the list lags) is learned this way.
    addresses_.try_emplace(heartbeat.states.front().box, from);
    for (const BoxState &state : heartbeat.states) {
        learnAddress(state);
        // An earlier process of this box is still spoken of: the clock has been set back since.
        if (state.box == self() && state.incarnation > context_.incarnation) {
            context_.incarnation = state.incarnation + 1;
        }
    }
    const std::size_t news = table_.receive(heartbeat.states, heartbeat.ages, context_.now());
    forgetOwners();
    context_.counters.add("heartbeat_states", {{"news", "yes"}}, news);
    context_.counters.add("heartbeat_states", {{"news", "no"}}, heartbeat.states.size() - news);
    if (news > 0) {
        for (const auto &called : news_) {
            called();
        }
    }
    introduce(heartbeat, from);
}

void MembershipService::introduce(const peer::Heartbeat &heartbeat, const kernel::Endpoint &from)
{
    const auto missing = table_.introductionFor(heartbeat.states, heartbeat.ages, context_.now(),
                                                context_.random);
    for (auto &states : table_.inMessages(missing)) {
        context_.counters.add("introductions");
        context_.kernel.find<PeerService>("peer").send(from,
                                                       peer::Heartbeat{std::move(states), {}});
    }
}

} // namespace limereel::services
