#include "gateway/FrontService.h"

#include "gateway/RequestRun.h"
#include "services/Answers.h"
#include "services/ConnectionLog.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using outcome::ResultCode;

namespace {

constexpr kernel::Duration SweepEvery = 500ms;

ResultCode codeOf(http::Refused why)
{
    switch (why) {
    case http::Refused::HeadTooLarge:
    case http::Refused::BodyTooLarge:
        return ResultCode::TooLarge;
    case http::Refused::TooManyConnections:
        return ResultCode::TooManyConnections;
    case http::Refused::Malformed:
        break;
    }
    return ResultCode::BadRequest;
}

} // namespace

FrontService::FrontService(services::Context &context, World &world, PlaceService &places)
    : context_(context)
    , world_(world)
    , places_(places)
    , pool_(context)
{
}

void FrontService::start()
{
    server_ = std::make_unique<http::Server>(context_.io, limits(),
                                             [this](http::Request request, http::Reply &reply) {
                                                 return handle(std::move(request), reply);
                                             });
    server_->setRefusal([this](http::Refused why) { return refusalOf(why); });
    server_->onConnectionEnd([this](const http::ConnectionEnd &end) {
        services::recordConnectionEnd(context_.counters, end);
    });
    world_.onConfiguration([this](const forward::Snapshot &) { server_->setLimits(limits()); });
    world_.onServerGone([this](const forward::ListedServer &server) {
        pool_.drop(server.id);
        if (!server.leaving) {
            context_.kernel.find<services::CrashService>("crashes").serverGone(server.id);
        }
    });
    server_->listen(context_.settings.caller);
    sweep_ = std::make_unique<services::Repeat>(context_.io,
                                                [this]() -> asio::awaitable<kernel::Duration> {
                                                    pool_.sweep();
                                                    co_return kernel::Duration(SweepEvery);
                                                });
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
    return server_->active();
}

http::ServerLimits FrontService::limits() const
{
    const forward::SnapshotPtr &snapshot = world_.snapshot();
    const forward::CallerLimits told = snapshot ? snapshot->limits() : forward::CallerLimits();
    http::ServerLimits limits;
    // Two bytes over, so that a head of just the greatest size is not refused with its blank line.
    limits.headBytes = told.headBytes + 2;
    limits.bodyBytes = told.bodyBytes;
    limits.headTimeout = told.headTimeout;
    limits.idleTimeout = told.idleTimeout;
    limits.idleNotice = context_.settings.gateway.applyWithin;
    limits.writeTimeout = context_.settings.writeTimeout;
    // As many again may be needed towards backend servers.
    limits.connections = context_.settings.gateway.descriptors / 2;
    return limits;
}

http::Answer FrontService::refusalOf(http::Refused why)
{
    const outcome::ResultInfo &info = outcome::info(codeOf(why));
    context_.counters.add("results", {{"kind", "connection"}, {"code", std::string(info.name)}});
    const kernel::Duration comeBack = info.httpStatus == 503 ? 250ms : 0ms;
    const auto told = services::refusalOf(info.code, "the request was not read", comeBack);
    http::Answer answer(info.httpStatus, world_.adapter().dialect.refusalFields("", comeBack),
                        services::refusalJson("", told));
    answer.fields.add("Content-Type", "application/json");
    return answer;
}

asio::awaitable<void> FrontService::handle(http::Request request, http::Reply &reply)
{
    RequestRun run(context_, world_, pool_, places_, std::move(request), reply);
    co_await run.serve();
}

} // namespace limereel::gateway
