#include "gateway/Gateway.h"

#include "gateway/GatewayServices.h"
#include "kernel/Log.h"

#include <boost/asio.hpp>
#include <csignal>
#include <random>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr int CantStart = 3;

const kernel::Log &log()
{
    static const kernel::Log Log("gateway");
    return Log;
}

void seedChance(services::Context &context)
{
    const std::uint64_t seed = context.settings.seed;
    context.random.seed(seed != 0 ? seed : std::random_device()() ^ context.settings.box.hash());
}

void addServices(services::Context &context, Adapter adapter, std::function<void()> stopped)
{
    kernel::Kernel &kernel = context.kernel;
    World &world = kernel.add(std::make_unique<World>(context, std::move(adapter)));
    kernel.add(std::make_unique<FrontService>(context, world));
    kernel.add(std::make_unique<ReadyService>(context, world));
    kernel.add(std::make_unique<GatewayStop>(context, std::move(stopped)));
}

} // namespace

int runGateway(kernel::BoxSettings settings, Adapter adapter)
{
    asio::io_context io(1);
    services::Context context(io, std::move(settings));
    seedChance(context);
    addServices(context, std::move(adapter), [&io] { io.stop(); });
    asio::signal_set ends(io, SIGTERM, SIGINT);
    ends.async_wait([&context](boost::system::error_code error, int) {
        if (!error) {
            context.kernel.find<GatewayStop>("stop").leave();
        }
    });
    // Settings are read at the start; the signal must not end the process.
    asio::signal_set reloads(io, SIGHUP);
    reloads.async_wait([](boost::system::error_code, int) {});
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
