#include "gateway/Gateway.h"

#include "gateway/CrashStore.h"
#include "gateway/FeedRelay.h"
#include "gateway/GatewayServices.h"
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

constexpr int CantStart = 3;

const kernel::Log &log()
{
    static const kernel::Log Log("gateway");
    return Log;
}

// Only some addresses are told; the ports are the same on all boxes.
services::Acquaintance acquaintanceOf(const services::Context &context)
{
    services::Acquaintance acquaintance;
    for (const std::string &seed : context.settings.gateway.seeds) {
        acquaintance.seeds.push_back({seed, context.settings.peer.port});
    }
    return acquaintance;
}

// Bounds take effect at once; addresses and names are those of the start.
void reload(services::Context &context, const std::string &file)
{
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    const auto settings = kernel::settingsFrom(text.str());
    if (!input || !settings) {
        const std::string why =
                settings ? "it can't be read" : kernel::text(settings.error().front(), file);
        log().error("The settings stay as they are: " + why + ".");
        return;
    }
    context.settings.gateway = settings->gateway;
    context.kernel.find<World>("world").applySettings();
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
    kernel.add(std::make_unique<services::MembershipService>(context, acquaintanceOf(context)));
    services::CrashService &crashes = kernel.add(std::make_unique<services::CrashService>(context));
    World &world = kernel.add(std::make_unique<World>(context, std::move(adapter)));
    kernel.add(std::make_unique<FeedRelay>(context, world));
    kernel.add(std::make_unique<CrashStore>(context, world.adapter(), crashes));
    PlaceService &places = kernel.add(std::make_unique<PlaceService>(context, world));
    kernel.add(std::make_unique<FrontService>(context, world, places));
    kernel.add(std::make_unique<ReadyService>(context, world));
    kernel.add(std::make_unique<GatewayStop>(context, std::move(stopped)));
}

int runGateway(kernel::BoxSettings settings, const std::string &file, Adapter adapter)
{
    asio::io_context io(1);
    services::Context context(io, std::move(settings));
    services::identifyProcess(context);
    addGatewayServices(context, std::move(adapter), [&io] { io.stop(); });
    asio::signal_set ends(io, SIGTERM, SIGINT);
    ends.async_wait([&context](boost::system::error_code error, int) {
        if (!error) {
            context.kernel.find<GatewayStop>("stop").leave();
        }
    });
    asio::signal_set reloads(io, SIGHUP);
    reloadAtSignal(reloads, context, file);
    kernel::releaseSignals();
    try {
        context.kernel.start();
    } catch (const boost::system::system_error &error) {
        log().error(std::string("The box can't start: ") + error.what()
                    + ". Are its addresses free?");
        return CantStart;
    }
    log().info("Gateway " + context.settings.box.text() + " of hall " + context.settings.hall.text()
               + " has started.");
    io.run();
    context.kernel.stop();
    return 0;
}

} // namespace limereel::gateway
