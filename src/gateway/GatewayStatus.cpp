#include "gateway/GatewayStatus.h"

#include "services/CrashService.h"
#include "services/MembershipService.h"

#include <sstream>

namespace limereel::gateway {

using nlohmann::json;

namespace {

json configurationOf(const FleetView &fleetView, kernel::Instant now)
{
    const auto age = fleetView.freshness().age(now);
    return {{"version", fleetView.snapshot() ? json(fleetView.snapshot()->version()) : json()},
            {"confirmed_ms_ago", age ? json(*age / 1ms) : json()},
            {"confirmed", fleetView.freshness().confirmed(now)},
            {"keys_honoured", fleetView.freshness().usable(now)}};
}

json boxesOf(services::Context &context)
{
    const auto &members = context.kernel.find<services::MembershipService>("membership");
    json boxes = json::array();
    for (const auto &state : members.states()) {
        const auto address = members.addressOf(state.box);
        const bool live = members.liveness(state.box) == membership::Liveness::Live;
        boxes.push_back({{"box", members.nameOf(state.box)},
                         {"address", address ? json(kernel::text(*address)) : json()},
                         {"live", live},
                         {"leaving", state.leaving}});
    }
    return boxes;
}

json serversOf(FleetView &fleetView, kernel::Instant now)
{
    json servers = json::array();
    for (const std::string &id : fleetView.servers().ids()) {
        const auto server = fleetView.servers().find(id);
        servers.push_back({{"server", id},
                           {"service", server->service},
                           {"hall", server->hall},
                           {"address", kernel::text(server->address)},
                           {"leaving", server->leaving},
                           {"rests_ms", fleetView.servers().backoffLeft(id, now) / 1ms},
                           {"doubted", fleetView.servers().isSuspected(id, now)},
                           {"load", fleetView.servers().load(id, now)},
                           {"of_this_box", fleetView.servers().ownLoadAt(id)}});
    }
    return servers;
}

json lostServicesOf(FleetView &fleetView, kernel::Instant now)
{
    json lost = json::array();
    for (const std::string &service : fleetView.reach().doubtful(now)) {
        if (fleetView.isLost(service)) {
            lost.push_back(service);
        }
    }
    return lost;
}

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Boxes of earlier versions don't report it.
std::string restIn(const json &server)
{
    const auto left = server.value("rests_ms", std::int64_t{0});
    return left > 0 ? ", rests for " + std::to_string(left) + " ms more" : "";
}

// Requests that are restricted because backend servers crashed while running them.
json requestsOf(services::Context &context)
{
    auto &crashes = context.kernel.find<services::CrashService>("crashes");
    json requests = json::array();
    for (const forward::CrashRecord &record : crashes.book().shared()) {
        const forward::SendRestriction restriction = crashes.standing(record.request);
        if (restriction != forward::SendRestriction::Free) {
            requests.push_back({{"identity", forward::text(record.request)},
                                {"standing", text(restriction)},
                                {"servers", record.servers.size()},
                                {"failed_trials", record.failedTrials}});
        }
    }
    return requests;
}

} // namespace

json statusOf(services::Context &context, FleetView &fleetView, bool leaving)
{
    const kernel::Instant now = context.now();
    return {{"box", context.settings.box.text()},
            {"hall", context.settings.hall.text()},
            {"ready", fleetView.ready() && !leaving},
            {"leaving", leaving},
            {"configuration", configurationOf(fleetView, now)},
            {"boxes", boxesOf(context)},
            {"servers", serversOf(fleetView, now)},
            {"short_services", fleetView.shortServices().count(now)},
            {"lost_services", lostServicesOf(fleetView, now)},
            {"requests", requestsOf(context)}};
}

std::string statusText(const json &status)
{
    std::ostringstream text;
    const json &configuration = status.at("configuration");
    text << "box " << textOf(status.at("box")) << " of hall " << textOf(status.at("hall")) << ": "
         << (status.at("leaving") == true ? "leaving"
             : status.at("ready") == true ? "ready"
                                          : "not ready")
         << '\n';
    if (configuration.at("version").is_null()) {
        text << "no configuration yet\n";
    } else {
        text << "configuration version " << configuration.at("version") << ", confirmed "
             << configuration.at("confirmed_ms_ago") << " ms ago; keys are "
             << (configuration.at("keys_honoured") == true ? "" : "not ") << "honoured"
             << (configuration.at("confirmed") == true ? "" : ", unconfirmed") << '\n';
    }
    text << status.at("boxes").size() << " boxes are known\n";
    for (const json &box : status.at("boxes")) {
        if (box.at("live") != true || box.at("leaving") == true) {
            text << "  " << textOf(box.at("box")) << " is "
                 << (box.at("leaving") == true ? "leaving" : "not heard of") << '\n';
        }
    }
    text << status.at("servers").size() << " backend servers are listed\n";
    for (const json &server : status.at("servers")) {
        text << "  " << textOf(server.at("server")) << " of " << textOf(server.at("service"))
             << " at " << textOf(server.at("address")) << ": load " << server.at("load") << ", "
             << server.at("of_this_box") << " of this box"
             << (server.at("leaving") == true ? ", leaving" : "")
             << (server.at("doubted") == true ? ", doubted" : "") << restIn(server) << '\n';
    }
    // Boxes of earlier versions don't report it.
    if (const auto count = status.value("short_services", std::size_t{0}); count > 0) {
        text << count << " services are short of places\n";
    }
    // Boxes of earlier versions don't report them.
    const json requests = status.value("requests", json::array());
    text << requests.size() << " requests don't run freely\n";
    for (const json &request : requests) {
        text << "  " << textOf(request.at("identity")) << ": " << textOf(request.at("standing"))
             << ", " << request.at("servers") << " servers ended under it\n";
    }
    return text.str();
}

} // namespace limereel::gateway
