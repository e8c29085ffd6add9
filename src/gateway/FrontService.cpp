#include "gateway/FrontService.h"

#include "gateway/RequestRun.h"
#include "kernel/Log.h"
#include "services/Answers.h"
#include "services/ConnectionLog.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace limereel::gateway {

namespace asio = boost::asio;
using outcome::ResultCode;

namespace {

constexpr kernel::Duration SweepInterval = 500ms;

const kernel::Log &log()
{
    static const kernel::Log Log("front");
    return Log;
}

ResultCode codeOf(http::Refused why)
{
    switch (why) {
    case http::Refused::HeadTooLarge:
    case http::Refused::BodyTooLarge:
        return ResultCode::TooLarge;
    case http::Refused::TooManyConnections:
        return ResultCode::TooManyConnections;
    case http::Refused::NoRoom:
        return ResultCode::MemoryFull;
    case http::Refused::Malformed:
        break;
    }
    return ResultCode::BadRequest;
}

} // namespace

FrontService::FrontService(services::Context &context, FleetView &fleetView, PlaceService &places,
                           DetourService &detours)
    : context_(context)
    , fleetView_(fleetView)
    , places_(places)
    , detours_(detours)
    , pool_(context)
{
}

void FrontService::start()
{
    server_ = std::make_unique<http::Server>(context_.io, limits(),
                                             [this](http::Request request, http::Reply &reply) {
                                                 return handle(std::move(request), reply);
                                             });
    server_->setBudget(context_.requestBytes);
    server_->setRefusal([this](http::Refused why) { return refusalOf(why); });
    server_->onConnectionEnd([this](const http::ConnectionEnd &end) {
        services::recordConnectionEnd(context_.counters, end);
    });
    fleetView_.onConfiguration([this](const forward::Snapshot &) { server_->setLimits(limits()); });
    fleetView_.onServerGone([this](const forward::ListedServer &server) {
        pool_.drop(server.id);
        if (!server.leaving) {
            context_.kernel.find<services::CrashService>("crashes").detector().onServerDelisted(
                    server.id);
        }
    });
    detours_.setHandler([this](peer::DetourRequest detour, http::Reply &reply) {
        return handleDetour(std::move(detour), reply);
    });
    server_->listen(context_.settings.caller);
    sweep_ = std::make_unique<services::PeriodicTask>(
            context_.io, [this]() -> asio::awaitable<kernel::Duration> {
                pool_.sweep();
                noteRequestBytes();
                co_return kernel::Duration(SweepInterval);
            });
}

void FrontService::noteRequestBytes()
{
    const http::ByteBudget &budget = *context_.requestBytes;
    context_.counters.set("request_bytes_held", static_cast<double>(budget.held()));
    context_.counters.set("requests_given_way", static_cast<double>(budget.gaveWay()));
    if (std::exchange(gaveWay_, budget.gaveWay()) != budget.gaveWay()) {
        log().event("memory-full",
                    {{"given_way", budget.gaveWay()},
                     {"held", budget.held()},
                     {"limit", budget.limit()}},
                    "Requests that were being read gave way to younger ones.");
    }
}

void FrontService::stop()
{
    sweep_.reset();
    server_.reset();
}

void FrontService::beginLeaving()
{
    server_->closeAfterAnswers();
}

void FrontService::drain()
{
    server_->drain();
}

std::size_t FrontService::active() const
{
    return server_->active() + detours_.serving();
}

http::ServerLimits FrontService::limits() const
{
    const forward::SnapshotPtr &snapshot = fleetView_.snapshot();
    const forward::CallerLimits configured =
            snapshot ? snapshot->limits() : forward::CallerLimits();
    http::ServerLimits limits;
    // Two more bytes, so that a head of exactly the maximum size isn't refused for its blank line.
    limits.headBytes = configured.headBytes + 2;
    limits.bodyBytes = configured.bodyBytes;
    limits.headTimeout = configured.headTimeout;
    limits.idleTimeout = configured.idleTimeout;
    limits.idleNotice = context_.settings.gateway.applyWithin;
    limits.writeTimeout = context_.settings.writeTimeout;
    // The other half is for connections to backend servers.
    limits.connections = context_.settings.gateway.descriptors / 2;
    return limits;
}

http::Answer FrontService::refusalOf(http::Refused why)
{
    const outcome::ResultInfo &info = outcome::info(codeOf(why));
    context_.counters.add("results", {{"kind", "connection"}, {"code", std::string(info.name)}});
    const kernel::Duration retryAfter = info.httpStatus == 503 ? 250ms : 0ms;
    const auto refusal = services::refusalOf(info.code, "the request was not read", retryAfter);
    http::Answer answer(info.httpStatus, fleetView_.adapter().dialect.refusalFields("", retryAfter),
                        services::refusalJson("", refusal));
    answer.fields.add("Content-Type", "application/json");
    return answer;
}

asio::awaitable<void> FrontService::handle(http::Request request, http::Reply &reply)
{
    RequestRun run(context_, fleetView_, pool_, places_, std::move(request), reply);
    co_await run.serve();
}

asio::awaitable<void> FrontService::handleDetour(peer::DetourRequest detour, http::Reply &reply)
{
    const kernel::Duration left = std::chrono::milliseconds(detour.leftMs);
    RequestRun run(context_, fleetView_, pool_, places_, std::move(detour.request), reply);
    run.setDetour({left, detour.resumeAfter, detour.origin, detour.made, detour.configVersion});
    co_await run.serve();
}

} // namespace limereel::gateway
