#include "gateway/Gateway.h"

#include "gateway/CrashStore.h"
#include "gateway/DetourService.h"
#include "gateway/FeedRelay.h"
#include "gateway/GatewayServices.h"
#include "gateway/StreamArchive.h"
#include "kernel/HeldSignals.h"
#include "kernel/Log.h"
#include "services/CrashService.h"
#include "services/LoopStallMonitor.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"
#include "services/ProcessIdentity.h"

#include <boost/asio.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr int StartFailed = 3;

const kernel::Log &log()
{
    static const kernel::Log Log("gateway");
    return Log;
}

// The settings give only the addresses of seeds; all boxes use the same ports.
services::PeerDiscovery peerDiscoveryOf(const services::Context &context)
{
    services::PeerDiscovery discovery;
    for (const std::string &seed : context.settings.gateway.seeds) {
        discovery.seeds.push_back({seed, context.settings.peer.port});
    }
    return discovery;
}

// Applies the changed bounds at once. Addresses and names stay those from the start.
void reload(services::Context &context, const std::string &file)
{
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    const auto settings = kernel::settingsFrom(text.str());
    if (!input || !settings) {
        const std::string why =
                settings ? "it can't be read" : kernel::text(settings.error().front(), file);
        log().error("The settings are unchanged: " + why + ".");
        return;
    }
    context.settings.gateway = settings->gateway;
    context.kernel.find<FleetView>("world").applySettings();
    log().info("The settings were read again.");
}

void reloadAtSignal(asio::signal_set &signals, services::Context &context, const std::string &file)
{
    signals.async_wait([&signals, &context, file](boost::system::error_code error, int) {
        if (!error) {
            reload(context, file);
            reloadAtSignal(signals, context, file);
        }
    });
}

} // namespace

void addGatewayServices(services::Context &context, Adapter adapter, std::function<void()> stopped)
{
    kernel::Kernel &kernel = context.kernel;
    kernel.add(std::make_unique<services::LoopStallMonitor>(context));
    kernel.add(std::make_unique<services::PeerService>(context));
    kernel.add(std::make_unique<services::MembershipService>(context, peerDiscoveryOf(context)));
    services::CrashService &crashes = kernel.add(std::make_unique<services::CrashService>(context));
    FleetView &fleetView = kernel.add(std::make_unique<FleetView>(context, std::move(adapter)));
    FeedRelay &relay = kernel.add(std::make_unique<FeedRelay>(context, fleetView));
    kernel.add(std::make_unique<CrashStore>(context, fleetView.adapter(), crashes));
    PlaceService &places = kernel.add(std::make_unique<PlaceService>(context, fleetView));
    DetourService &detours = kernel.add(std::make_unique<DetourService>(context, fleetView, relay));
    StreamService &streams = kernel.add(std::make_unique<StreamService>(context));
    kernel.add(std::make_unique<StreamArchive>(context, fleetView, streams));
    kernel.add(std::make_unique<FrontService>(context, fleetView, places, detours));
    kernel.add(std::make_unique<ReadyService>(context, fleetView));
    kernel.add(std::make_unique<GatewayStop>(context, std::move(stopped)));
}

int runGateway(kernel::BoxSettings settings, const std::string &file, Adapter adapter)
{
    asio::io_context io(1);
    services::Context context(io, std::move(settings));
    services::identifyProcess(context);
    addGatewayServices(context, std::move(adapter), [&io] { io.stop(); });
    asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&context](boost::system::error_code error, int) {
        if (!error) {
            context.kernel.find<GatewayStop>("stop").begin();
        }
    });
    asio::signal_set reloadSignals(io, SIGHUP);
    reloadAtSignal(reloadSignals, context, file);
    kernel::releaseSignals();
    try {
        context.kernel.start();
    } catch (const boost::system::system_error &error) {
        log().error(std::string("The box can't start: ") + error.what()
                    + ". Are its addresses free?");
        return StartFailed;
    }
    log().info("Gateway " + context.settings.box.text() + " of hall " + context.settings.hall.text()
               + " has started.");
    io.run();
    context.kernel.stop();
    return 0;
}

} // namespace limereel::gateway
