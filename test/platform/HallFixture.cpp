#include "platform/HallFixture.h"

#include "platform/Adapter.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"
#include "support/Ports.h"

#include <sstream>

namespace limereel::support {

using nlohmann::json;

HallFixture::HallFixture()
    : storeAt_(freeEndpoint())
    , peerPort_(freeEndpoint().port)
    , store_(std::make_unique<standin::StoreStandin>(io_, storeAt_))
    , runner_(std::make_unique<standin::RunnerStandin>(io_, "i-one", freeEndpoint()))
{
}

HallFixture::~HallFixture()
{
    for (const auto &box : boxes_) {
        box->context.kernel.stop();
    }
}

kernel::BoxSettings HallFixture::settings(std::size_t index, const kernel::Endpoint &store,
                                          int linkMbps) const
{
    const std::string own = "127.0.2." + std::to_string(index + 1);
    const auto listen = [&own](const char *name) {
        return std::string(name) + " = " + own + ":" + std::to_string(freeEndpoint().port) + "\n";
    };
    std::ostringstream text;
    text << "[box]\nname = box-" << index + 1
         << "\nhall = hall-a\nregion = region-a\nseed = " << index + 1 << "\n[listen]\n"
         << listen("caller") << listen("ready") << listen("control") << "peer = " << own << ':'
         << peerPort_ << "\n[platform]\naddress = " << kernel::text(store)
         << "\n[peers]\nheartbeat-period = 100ms\nkeys = " << std::string(64, 'a')
         << "\n[gateway]\napply-within = 4s\nlink-mbps = " << linkMbps
         << "\nseeds = 127.0.2.1:" << peerPort_ << " 127.0.2.2:" << peerPort_ << "\n"
         << moreSettings;
    return kernel::settingsFrom(text.str()).value();
}

std::size_t HallFixture::startBox(Store store, int linkMbps)
{
    return startBoxAt(store == Store::Reached ? storeAt_ : freeEndpoint(), linkMbps);
}

std::size_t HallFixture::startBoxAt(const kernel::Endpoint &store, int linkMbps)
{
    const std::size_t index = boxes_.size();
    boxes_.push_back(std::make_unique<Box>(settings(index, store, linkMbps), store));
    startServices(index, 1);
    return index;
}

void HallFixture::restartBox(std::size_t index)
{
    const std::uint64_t before = boxes_.at(index)->context.incarnation;
    const kernel::Endpoint store = boxes_.at(index)->store;
    boxes_[index] = std::make_unique<Box>(settings(index, store, 20), store);
    startServices(index, before + 1);
}

void HallFixture::startServices(std::size_t index, std::uint64_t incarnation)
{
    services::Context &box = boxes_.at(index)->context;
    box.incarnation = incarnation;
    box.random.seed(index + incarnation);
    gateway::addGatewayServices(box, platform::adapter(), [] {});
    box.kernel.start();
}

void HallFixture::putVersion(int version, std::size_t padding)
{
    const json route = {{"name", "r"},
                        {"host", "calls.example"},
                        {"path_prefix", "/version" + std::to_string(version) + "/"},
                        {"kind", "idempotent"},
                        {"timeout_ms", 20000},
                        {"goal_ms", 10000},
                        {"priority", 1},
                        {"service", "pool"},
                        {"max_attempts", 2},
                        {"anonymous", true},
                        {"sticky", false}};
    store_->put("config", "main",
                {{"version", version},
                 {"routes", json::array({route})},
                 {"services", json::array({{{"name", "pool"}, {"max_conns", 100}}})},
                 {"padding", std::string(padding, 'x')}});
}

void HallFixture::listServer()
{
    listServer(runner_->name());
}

void HallFixture::listServer(const std::string &id)
{
    store_->put("servers", id,
                {{"service", "pool"},
                 {"address", kernel::text(runner_->where())},
                 {"zone", "hall-a"},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"cold_left_ms", 0},
                 {"call_seq", 1}});
}

gateway::FleetView &HallFixture::world(std::size_t index) const
{
    return contextOf(index).kernel.find<gateway::FleetView>("world");
}

const services::CrashService &HallFixture::crashes(std::size_t index) const
{
    return contextOf(index).kernel.find<services::CrashService>("crashes");
}

std::uint64_t HallFixture::version(std::size_t index) const
{
    const forward::SnapshotPtr &snapshot = world(index).snapshot();
    return snapshot ? snapshot->version() : 0;
}

bool HallFixture::everyBoxIsAt(std::uint64_t wanted) const
{
    bool all = true;
    for (std::size_t index = 0; index < boxes_.size(); ++index) {
        all = all && (boxes_[index]->frozen || version(index) == wanted);
    }
    return all;
}

std::uint64_t HallFixture::counter(std::size_t index, const std::string &name,
                                   const kernel::Labels &labels) const
{
    return contextOf(index).counters.value(name, labels);
}

std::size_t HallFixture::boxesKnownTo(std::size_t index) const
{
    return contextOf(index).kernel.find<services::MembershipService>("membership").owners().size();
}

void HallFixture::killBox(std::size_t index)
{
    boxes_.at(index)->context.kernel.stop();
    boxes_.at(index)->frozen = true;
}

void HallFixture::setReachesBoxes(std::size_t index, bool reaches)
{
    contextOf(index).kernel.find<services::PeerService>("peer").setFilter(
            [reaches](const kernel::Endpoint &) { return reaches; });
}

std::uint64_t HallFixture::storeCalls(std::size_t index) const
{
    return counter(index, "store_calls", {{"kind", "config"}})
           + counter(index, "store_calls", {{"kind", "servers"}});
}

void HallFixture::until(const std::function<bool()> &condition, const std::string &what)
{
    const auto deadline = std::chrono::steady_clock::now() + 60s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("this didn't happen: " + what);
        }
        for (const auto &box : boxes_) {
            if (!box->frozen) {
                box->io.poll();
                box->io.restart();
            }
        }
        io_.run_one_for(1ms);
        io_.restart();
    }
}

} // namespace limereel::support
