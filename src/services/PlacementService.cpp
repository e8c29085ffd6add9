#include "services/PlacementService.h"

#include "http/Client.h"
#include "kernel/Log.h"
#include "membership/Ownership.h"
#include "placement/LeaseJson.h"
#include "services/ConfigService.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PlatformService.h"

#include <nlohmann/json.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using membership::shortHash;
using outcome::StoreAnswer;

namespace {

constexpr double Smoothing = 0.3; ///< Weight of the newest value.

const kernel::Log &log()
{
    static const kernel::Log Log("placement");
    return Log;
}

std::string leaseObject(const Context &context)
{
    return "leases/placement-" + context.settings.hall.text();
}

placement::LeasePolicy leasePolicy(const kernel::BoxSettings &settings)
{
    return {.length = settings.placementLease,
            .renewEvery = settings.placementLease / 3,
            .guard = settings.placementGuard};
}

placement::PlanPolicy planPolicy(const kernel::BoxSettings &settings)
{
    placement::PlanPolicy policy;
    policy.sustained = settings.placementPeriod * 4;
    return policy;
}

const char *text(placement::OrderKind kind)
{
    return kind == placement::OrderKind::Load ? "load" : "unload";
}

} // namespace

PlacementService::PlacementService(Context &context)
    : context_(context)
    , lease_(leasePolicy(context.settings),
             context.settings.box.text() + "/" + std::to_string(context.incarnation))
    , planner_(planPolicy(context.settings))
{
}

void PlacementService::start()
{
    loop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return round(); });
}

void PlacementService::stop()
{
    loop_.reset();
}

asio::awaitable<kernel::Duration> PlacementService::round()
{
    const bool ready = context_.kernel.find<ConfigService>("config").ready();
    if (!ready || !isCandidate()) {
        lease_.giveUp();
        co_return context_.settings.placementPeriod;
    }
    if (co_await keepLease()) {
        co_await orderAll();
    }
    co_return context_.settings.placementPeriod;
}

bool PlacementService::isCandidate() const
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const std::uint64_t task = kernel::hashOf("placement/" + context_.settings.hall.text());
    return membership::ownerOf(task, membership.owners()) == membership.self();
}

// Reads the lease, and writes it when it is due. This box's own lease counts from before the write
// and another box's from after the read. So a slow answer can only shorten the own lease and
// lengthen the other's.
asio::awaitable<bool> PlacementService::keepLease()
{
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const StoreResult read = co_await platform.get(leaseObject(context_));
    if (read.answer == StoreAnswer::Done) {
        leaseVersion_ = read.version;
        lease_.onRead(placement::leaseFromJson(read.value), context_.now());
    } else if (read.answer == StoreAnswer::Absent) {
        leaseVersion_ = 0;
        lease_.onRead(std::nullopt, context_.now());
    } else {
        co_return holds();
    }
    const auto record = lease_.toWrite(context_.now());
    if (record) {
        lease_.onSend(*record, context_.now());
        const StoreResult written = co_await platform.put(leaseObject(context_), leaseVersion_,
                                                          placement::toJson(*record));
        if (written.answer == StoreAnswer::Done) {
            const bool acquired = !holds();
            lease_.onWritten();
            if (acquired) {
                log().info("This box gives the hall's orders, with token "
                           + std::to_string(record->token) + ".");
            }
        }
    }
    co_return holds();
}

asio::awaitable<void> PlacementService::orderAll()
{
    const auto seen = engines();
    const auto wanted = demands();
    for (const placement::Order &one : planner_.plan(seen, wanted, context_.now())) {
        co_await order(one);
    }
}

asio::awaitable<void> PlacementService::order(placement::Order order)
{
    const BackendView *const engine =
            context_.kernel.find<OwnerService>("owner").view().find(kernel::hashOf(order.engine));
    const auto endpoint = engine == nullptr ? tl::unexpected(std::string())
                                            : kernel::endpointFrom(engine->listed.address);
    if (!endpoint) {
        co_return;
    }
    // The lease is checked once more right before the order is sent: if the process was paused
    // since it planned the order, the lease has expired and this check fails.
    const auto token = lease_.tokenFor(engine->listed.checksTokens, context_.now());
    if (!token) {
        context_.counters.add("orders_held_back");
        co_return;
    }
    const nlohmann::json body = {
            {"order", text(order.kind)}, {"model", order.model}, {"token", *token}};
    http::Request request("POST", "/v1/orders",
                          http::Fields().with("Content-Type", "application/json"), body.dump());
    const http::CallTimeouts timeouts{context_.settings.connectTimeout,
                                      context_.settings.connectTimeout,
                                      context_.settings.connectTimeout};
    const auto answer = co_await http::call(context_.io, *endpoint, std::move(request), timeouts);
    const bool fenced = answer && answer->status == 409;
    const char *const result = fenced                           ? "fenced"
                               : answer && answer->status < 300 ? "taken"
                                                                : "failed";
    context_.counters.add("orders", {{"kind", text(order.kind)}, {"result", result}});
    if (fenced) {
        log().warn("Engine " + order.engine
                   + " has seen a newer token; this box gives up its lease.");
        lease_.giveUp();
        co_return;
    }
    log().info("Engine " + order.engine + " was ordered to " + text(order.kind) + " " + order.model
               + ": " + result + ".");
}

std::vector<placement::EngineView> PlacementService::engines() const
{
    std::map<membership::ShortHash, std::string> names;
    for (const auto &[name, pool] :
         context_.kernel.find<ConfigService>("config").effective().pools()) {
        for (const std::string &model : pool.models) {
            names[shortHash(kernel::hashOf(model))] = model;
        }
    }
    std::vector<placement::EngineView> result;
    for (const BackendView &backend : context_.kernel.find<OwnerService>("owner").view().backends) {
        if (!backend.listed.isEngine()) {
            continue;
        }
        placement::EngineView engine{.name = backend.listed.backend.text(),
                                     .usable = backend.open(),
                                     .modelCapacity = backend.listed.modelCapacity,
                                     .models = {},
                                     .inFlight = backend.state.inFlight};
        // A model that is in no pool takes up space on the engine too.
        const auto nameOf = [&names](membership::ShortHash hash) {
            const auto entry = names.find(hash);
            return entry == names.end() ? "unknown-" + std::to_string(hash) : entry->second;
        };
        for (const auto model : backend.state.loading) {
            engine.models[nameOf(model)] = false;
        }
        for (const auto model : backend.state.models) {
            engine.models[nameOf(model)] = true;
        }
        result.push_back(std::move(engine));
    }
    return result;
}

std::vector<placement::ModelDemand> PlacementService::demands()
{
    std::map<membership::ShortHash, double> inFlight;
    for (const BackendView &backend : context_.kernel.find<OwnerService>("owner").view().backends) {
        // An engine doesn't report its load by model, so the load is split evenly over its models.
        for (const auto model : backend.state.models) {
            inFlight[model] += static_cast<double>(backend.state.inFlight)
                               / static_cast<double>(backend.state.models.size());
        }
    }
    std::vector<placement::ModelDemand> result;
    for (const auto &[name, pool] :
         context_.kernel.find<ConfigService>("config").effective().pools()) {
        for (const std::string &model : pool.models) {
            double &smooth = smoothed_[model];
            smooth += Smoothing * (inFlight[shortHash(kernel::hashOf(model))] - smooth);
            result.push_back({.model = model,
                              .inFlight = smooth,
                              .minCopies = pool.minCopies,
                              .slots = pool.slots});
        }
    }
    return result;
}

} // namespace limereel::services
