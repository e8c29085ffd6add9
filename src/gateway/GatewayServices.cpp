#include "gateway/GatewayServices.h"

#include "gateway/GatewayStatus.h"
#include "gateway/StreamService.h"
#include "kernel/KeyHash.h"
#include "kernel/Log.h"
#include "services/CrashService.h"
#include "services/MembershipService.h"
#include "services/StopDeadline.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration PollInterval = 20ms;
// A balancer that polls every second removes the box after two answers, so within this time.
constexpr kernel::Duration BalancerLag = 2500ms;
constexpr kernel::Duration StopMargin = 200ms; ///< Time before the platform kills the process.
constexpr const char *MetricsPath = "/metrics";

const kernel::Log &log()
{
    static const kernel::Log Log("stop");
    return Log;
}

http::ServerLimits smallLimits()
{
    http::ServerLimits limits;
    limits.headBytes = 4096;
    limits.bodyBytes = 1024;
    limits.connections = 64;
    limits.idleTimeout = 30s;
    return limits;
}

} // namespace

std::unique_ptr<http::Server> ReadyService::serve(const kernel::Endpoint &where)
{
    auto server = std::make_unique<http::Server>(context_.io, smallLimits(),
                                                 [this](http::Request request, http::Reply &reply) {
                                                     return handle(std::move(request), reply);
                                                 });
    server->listen(where);
    return server;
}

void ReadyService::start()
{
    if (context_.settings.ready.port != 0) {
        servers_.push_back(serve(context_.settings.ready));
    }
    servers_.push_back(serve(context_.settings.control));
    if (const std::uint32_t port = context_.settings.gateway.metricsPort; port != 0) {
        servers_.push_back(
                serve({context_.settings.control.address, static_cast<std::uint16_t>(port)}));
    }
}

void ReadyService::stop()
{
    servers_.clear();
}

asio::awaitable<void> ReadyService::handle(http::Request request, http::Reply &reply)
{
    http::Answer answer(404, http::Fields().with("Content-Type", "text/plain"), "unknown path\n");
    if (request.path() == fleetView_.adapter().dialect.readyPath) {
        const bool ready = !leaving_ && fleetView_.ready();
        answer.status = ready ? 200 : 503;
        answer.body = ready ? "ready\n" : "not ready\n";
    } else if (request.path() == StatusPath) {
        answer.status = 200;
        answer.fields = http::Fields().with("Content-Type", "application/json");
        answer.body = statusOf(context_, fleetView_, leaving_).dump();
    } else if (request.path() == LiftPath && request.method == "POST") {
        answer = lift(request);
    } else if (request.path() == MetricsPath) {
        answer.status = 200;
        answer.body = context_.counters.exposition();
    }
    co_await reply.send(std::move(answer));
}

http::Answer ReadyService::lift(const http::Request &request)
{
    const auto refusal = [](int status, const char *message) {
        return http::Answer(status, http::Fields().with("Content-Type", "application/json"),
                            nlohmann::json({{"message", message}}).dump());
    };
    const std::string key(kernel::bearerKey(request.fields.get("Authorization")));
    const auto isOperator = [&](const std::string &own) {
        return kernel::keyHash(own) == kernel::keyHash(key);
    };
    if (std::ranges::none_of(context_.settings.peerKeys, isOperator)) {
        return refusal(401, "this isn't one of the box's [peers] keys");
    }
    const std::string part(request.query("part"));
    const auto identity = forward::identityFrom(request.query("identity"));
    if (part.empty() && !identity) {
        return refusal(400, "the identity isn't 48 hexadecimal digits");
    }
    const bool lifted =
            part.empty() ? context_.kernel.find<services::CrashService>("crashes").lift(*identity)
                         : liftPart(part);
    if (!lifted) {
        return refusal(404, "nothing is known of requests with it");
    }
    return refusal(200, "requests with it may run again");
}

// Lifts a part of prompts for all organisations.
bool ReadyService::liftPart(const std::string &id)
{
    auto &crashes = context_.kernel.find<services::CrashService>("crashes");
    bool lifted = crashes.lift(forward::partIdentityOf("", id));
    const forward::SnapshotPtr snapshot = fleetView_.snapshot();
    if (snapshot) {
        for (const forward::Organisation &organisation : snapshot->organisations()) {
            const bool known = crashes.lift(forward::partIdentityOf(organisation.name, id));
            lifted = lifted || known;
        }
    }
    return lifted;
}

void GatewayStop::begin()
{
    if (times()) {
        return;
    }
    const kernel::Instant began = context_.now();
    const kernel::Duration whole = context_.settings.gateway.stopWithin;
    const kernel::Duration untilDrain = std::min(BalancerLag, whole / 3);
    const kernel::Duration untilEnd = whole - StopMargin;
    setTimes({began + untilDrain, began + untilEnd});
    log().event("stop-begins",
                {{"requests", context_.kernel.find<FrontService>("front").active()},
                 {"until_drain_ms", untilDrain / 1ms},
                 {"until_end_ms", untilEnd / 1ms}},
                "A planned stop begins.");
    context_.kernel.find<ReadyService>("ready").beginLeaving();
    context_.kernel.find<FrontService>("front").beginLeaving();
    context_.kernel.find<services::MembershipService>("membership").leave();
    context_.kernel.find<PlaceService>("places").beginLeaving();
    context_.kernel.find<StreamService>("streams").beginLeaving();
    asio::co_spawn(context_.io, run(), asio::detached);
}

asio::awaitable<void> GatewayStop::run()
{
    auto &front = context_.kernel.find<FrontService>("front");
    asio::steady_timer timer(context_.io);
    timer.expires_after(times()->drainsAt - context_.now());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    front.drain();
    log().event("stop-drains", {{"requests", front.active()}},
                "No more connections are taken; the running requests are finished.");
    services::StopDeadline end({times()->drainsAt, times()->endsAt, PollInterval, StopMargin});
    // Waits once first: an accepted connection may not have been read yet.
    do {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    } while (front.active() > 0 && !end.expired(context_.now()));
    log().event("stop-ends", {{"requests_cut", front.active()}}, "The planned stop is done.");
    done_();
}

} // namespace limereel::gateway
