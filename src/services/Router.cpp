#include "services/Router.h"

#include "kernel/HeldSignals.h"
#include "kernel/Log.h"
#include "services/BackoffService.h"
#include "services/CallerService.h"
#include "services/ClaimService.h"
#include "services/ConfigService.h"
#include "services/Context.h"
#include "services/ControlService.h"
#include "services/CrashService.h"
#include "services/DirectoryService.h"
#include "services/LoopStallMonitor.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PeerService.h"
#include "services/PermitService.h"
#include "services/PlacementService.h"
#include "services/PlatformService.h"
#include "services/ProcessIdentity.h"
#include "services/SpillService.h"
#include "services/StopService.h"

#include <boost/asio.hpp>
#include <csignal>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

const kernel::Log &log()
{
    static const kernel::Log Log("router");
    return Log;
}

// Returns a source of the boxes in this box's hall, as the platform lists them.
PeerDiscovery hallBoxSource(Context &context)
{
    PeerDiscovery discovery;
    discovery.listed = [&context] {
        std::vector<kernel::KnownBox> known;
        for (const auto &box : context.kernel.find<DirectoryService>("directory").own().boxes) {
            if (const auto address = kernel::endpointFrom(box.peer)) {
                known.push_back({box.box, *address});
            }
        }
        return known;
    };
    return discovery;
}

} // namespace

void addRouterServices(Context &context, std::function<void()> stopped)
{
    auto &kernel = context.kernel;
    kernel.add(std::make_unique<LoopStallMonitor>(context));
    kernel.add(std::make_unique<PeerService>(context));
    kernel.add(std::make_unique<PlatformService>(context));
    kernel.add(std::make_unique<DirectoryService>(context));
    kernel.add(std::make_unique<MembershipService>(context, hallBoxSource(context)));
    kernel.add(std::make_unique<CrashService>(context));
    kernel.add(std::make_unique<BackoffService>(context));
    kernel.add(std::make_unique<ConfigService>(context));
    kernel.add(std::make_unique<OwnerService>(context));
    kernel.add(std::make_unique<PermitService>(context));
    kernel.add(std::make_unique<SpillService>(context));
    kernel.add(std::make_unique<ClaimService>(context));
    kernel.add(std::make_unique<PlacementService>(context));
    kernel.add(std::make_unique<CallerService>(context));
    kernel.add(std::make_unique<StopService>(context, std::move(stopped)));
    kernel.add(std::make_unique<ControlService>(context));
}

int runRouter(kernel::BoxSettings settings)
{
    asio::io_context io(1);
    Context context(io, std::move(settings));
    identifyProcess(context);
    addRouterServices(context, [&io] { io.stop(); });
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code error, int) {
        if (!error) {
            context.kernel.find<StopService>("stop").leave();
        }
    });
    kernel::releaseSignals();
    try {
        context.kernel.start();
    } catch (const boost::system::system_error &error) {
        log().error(std::string("The box can't start: ") + error.what()
                    + ". Are its addresses free?");
        return 3;
    } catch (const std::runtime_error &error) {
        log().error(std::string("The box can't start: ") + error.what() + ".");
        return 3;
    }
    log().info("Box " + context.settings.box.text() + " of hall " + context.settings.hall.text()
               + " has started.");
    io.run();
    context.kernel.stop();
    return 0;
}

} // namespace limereel::services
