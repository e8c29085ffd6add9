#include "gateway/DetourService.h"

#include "http/Counted.h"
#include "kernel/Log.h"
#include "services/MembershipService.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration ProbeInterval = 200ms;
constexpr kernel::Duration ProbeTimeout = 150ms;
// A way that resets what it accepts does so within a few round trips.
constexpr kernel::Duration ProbeSettles = 20ms;
constexpr int BadRequest = 400;
constexpr int Busy = 503;
// Of the descriptors: requests of other boxes take two each, and callers of this box need theirs.
constexpr std::uint32_t ServingShare = 16;

const kernel::Log &log()
{
    static const kernel::Log Log("detours");
    return Log;
}

std::span<const std::uint8_t> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

} // namespace

DetourService::DetourService(services::Context &context, FleetView &fleetView, FeedRelay &relay)
    : context_(context)
    , fleetView_(fleetView)
    , relay_(relay)
    , keys_(peer::peerKeysFrom(context.settings.peerKeys))
    , pool_(context)
{
}

void DetourService::start()
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    members.beforeHeartbeat([this](membership::BoxState &state) { completeState(state); });
    members.afterHeartbeat([this] { learnBoxes(); });
    members.onNewStates([this] { learnBoxes(); });
    relay_.addPath(DetourPath, [this](http::Request request, http::Reply &reply) {
        return serve(std::move(request), reply);
    });
    probes_ = std::make_unique<services::PeriodicTask>(context_.io,
                                                       [this] { return probeLostServices(); });
}

void DetourService::stop()
{
    probes_.reset();
}

void DetourService::completeState(membership::BoxState &state) const
{
    state.detours = context_.settings.gateway.detours;
    state.checksConfiguration = state.detours;
    state.lostServices.clear();
    for (const std::string &service : lostServices_) {
        state.lostServices.push_back(membership::shortHash(kernel::hashOf(service)));
    }
}

void DetourService::learnBoxes()
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    const auto hall = membership::shortHash(context_.settings.hall.hash());
    known_.clear();
    for (const membership::BoxState &state : members.states()) {
        const bool serves = state.takesDetours() && state.box != members.self()
                            && members.liveness(state.box) == membership::Liveness::Live;
        if (serves) {
            known_.push_back({{state.box, state.hall == hall}, state.lostServices});
        }
    }
    table_.expire(context_.now());
    pool_.sweep();
}

std::optional<DetourBox> DetourService::choose(const std::string &service,
                                               const std::vector<std::uint64_t> &tried)
{
    const auto lost = membership::shortHash(kernel::hashOf(service));
    std::vector<forward::DetourCandidate> candidates;
    for (const KnownBox &known : known_) {
        const bool reaches =
                std::ranges::find(known.lostServices, lost) == known.lostServices.end();
        if (reaches) {
            candidates.push_back(known.candidate);
        }
    }
    const auto box = table_.choose(candidates, tried, context_.now(), context_.random);
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    const auto address = box ? members.addressOf(*box) : std::nullopt;
    if (!address) {
        return std::nullopt;
    }
    DetourBox found{*box, members.nameOf(*box), {}};
    found.endpoint.id = found.name;
    found.endpoint.address = *address;
    return found;
}

http::Request DetourService::seal(const DetourBox &box, const peer::DetourRequest &request) const
{
    const peer::Bytes sealed = peer::seal(peer::encode(request), keys_.front());
    return {"POST", DetourPath, http::Fields().with("Host", kernel::text(box.endpoint.address)),
            std::string(sealed.begin(), sealed.end())};
}

asio::awaitable<void> DetourService::serve(http::Request request, http::Reply &reply)
{
    const auto payload = peer::open(bytesOf(request.body), keys_);
    auto detour = payload ? peer::decodeDetourRequest(*payload) : std::nullopt;
    const bool full = *serving_ >= context_.settings.gateway.descriptors / ServingShare;
    if (!detour || full || !context_.settings.gateway.detours || !handler_) {
        const char *result = !detour ? "unreadable" : "busy";
        context_.counters.add("detours_served", {{"result", result}});
        http::Answer refusal(detour ? Busy : BadRequest,
                             http::Fields().with(DetourRefused, result));
        refusal.fields.add(DetourSends, text(peer::SendsMade()));
        co_await reply.send(std::move(refusal));
        co_return;
    }
    context_.counters.add("detours_served", {{"result", "taken"}});
    const auto call = fleetView_.adapter().dialect.readCall(detour->request);
    const forward::SnapshotPtr snapshot = fleetView_.snapshot();
    log().event("detour-served",
                {{"request", call ? call->id : std::string()},
                 {"from", detour->from},
                 {"config", snapshot ? snapshot->version() : 0},
                 {"admitted_by_config", detour->configVersion.value_or(0)},
                 {"left_ms", detour->leftMs},
                 {"serving", *serving_ + 1}},
                "A request of another box, which reaches none of its servers, is served here.");
    const std::shared_ptr<std::size_t> serving = serving_;
    const http::Counted counted(*serving);
    co_await handler_(std::move(*detour), reply);
}

std::optional<forward::ListedServer> DetourService::randomServer(const std::string &service)
{
    std::vector<forward::ListedServer> servers;
    fleetView_.servers().forEach([&](const forward::ListedServer &server) {
        if (server.service == service && fleetView_.servers().takesWork(server.id)) {
            servers.push_back(server);
        }
    });
    if (servers.empty()) {
        return std::nullopt;
    }
    return servers[context_.random() % servers.size()];
}

asio::awaitable<kernel::Duration> DetourService::probeLostServices()
{
    std::vector<std::string> lost;
    for (const std::string &service : fleetView_.reach().doubtful(context_.now())) {
        if (fleetView_.isLost(service)) {
            lost.push_back(service);
        }
    }
    if (lost != lostServices_) {
        lostServices_ = lost;
        context_.kernel.find<services::MembershipService>("membership").hurry();
    }
    for (const std::string &service : lost) {
        if (auto server = randomServer(service)) {
            co_await probe(std::move(*server));
        }
    }
    co_return kernel::Duration(ProbeInterval);
}

asio::awaitable<void> DetourService::probe(forward::ListedServer server)
{
    context_.counters.add("reach_probes");
    const auto connected =
            co_await http::KeptConnection::connect(context_.io, server.address, ProbeTimeout);
    bool reached = connected.has_value();
    if (reached) {
        asio::steady_timer timer(context_.io, ProbeSettles);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        reached = (*connected)->quiet();
        (*connected)->close();
    }
    if (reached) {
        fleetView_.reach().noteReached(server.service);
    } else {
        fleetView_.reach().noteUnreached(server.service, server.hash(), context_.now());
    }
}

} // namespace limereel::gateway
