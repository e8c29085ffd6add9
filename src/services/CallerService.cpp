#include "services/CallerService.h"

#include "kernel/KeyHash.h"
#include "kernel/Log.h"
#include "services/Answers.h"
#include "services/ConfigService.h"
#include "services/ConnectionLog.h"
#include "services/DirectoryService.h"
#include "services/PlannedStop.h"

#include <sstream>

namespace limereel::services {

namespace asio = boost::asio;
using outcome::ResultCode;

namespace {

constexpr double RetryBudgetCap = 20;
constexpr kernel::Duration RetryDelayWithoutSettings = 2s;
constexpr kernel::Duration RetryDelayElsewhere = 50ms; ///< Other boxes take requests at once.

const kernel::Log &log()
{
    static const kernel::Log Log("caller");
    return Log;
}

http::ServerLimits limitsOf(const kernel::BoxSettings &settings)
{
    return {.headBytes = settings.headBytes,
            .bodyBytes = settings.bodyBytes,
            .connections = settings.connections,
            .headTimeout = settings.headTimeout,
            .writeTimeout = settings.writeTimeout,
            .idleTimeout = settings.idleTimeout};
}

Refusal refusalFor(http::Refused why)
{
    switch (why) {
    case http::Refused::HeadTooLarge:
        return refusalOf(ResultCode::TooLarge, "the head of the request is too large");
    case http::Refused::BodyTooLarge:
        return refusalOf(ResultCode::TooLarge, "the body of the request is too large");
    case http::Refused::TooManyConnections:
        return refusalOf(ResultCode::TooManyConnections,
                         "the box has as many connections as it takes", 1s);
    case http::Refused::NoRoom:
        return refusalOf(ResultCode::MemoryFull, "the box has no memory for the request", 1s);
    case http::Refused::Malformed:
        break;
    }
    return refusalOf(ResultCode::BadRequest, "this is not a request of HTTP/1.1");
}

http::Answer healthAnswer(bool good)
{
    return http::Answer{good ? 200 : 503, http::Fields().with("Content-Type", "text/plain"),
                        good ? "ok\n" : "not ready\n"};
}

} // namespace

CallerService::CallerService(Context &context)
    : context_(context)
    , budget_(context.settings.retryRatio, RetryBudgetCap)
    , chats_(context, budget_)
    , services_(context, budget_)
{
}

void CallerService::start()
{
    server_ = std::make_unique<http::Server>(context_.io, limitsOf(context_.settings),
                                             [this](http::Request request, http::Reply &reply) {
                                                 return handle(std::move(request), reply);
                                             });
    server_->setBudget(context_.requestBytes);
    server_->setRefusal([this](http::Refused why) {
        const Refusal refusal = refusalFor(why);
        context_.counters.add("results",
                              {{"kind", "connection"},
                               {"code", std::string(outcome::info(refusal.verdict.code).name)}});
        return refusalAnswer(newRequestId(), refusal);
    });
    server_->onConnectionEnd([this](const http::ConnectionEnd &end) {
        recordConnectionEnd(context_.counters, end);
    });
    server_->listen(context_.settings.caller);
    log().info("Callers are served at " + kernel::text(context_.settings.caller) + ".");
}

void CallerService::stop()
{
    server_.reset();
}

bool CallerService::ready() const
{
    return !leaving_ && context_.kernel.find<ConfigService>("config").ready()
           && context_.kernel.find<DirectoryService>("directory").known();
}

void CallerService::beginLeaving()
{
    leaving_ = true;
    server_->closeAfterAnswers();
}

void CallerService::drain()
{
    server_->drain();
}

std::size_t CallerService::active() const
{
    return server_->active();
}

asio::awaitable<void> CallerService::handle(http::Request request, http::Reply &reply)
{
    const std::string path(request.path());
    if (request.method == "GET" && (path == "/healthz" || path == "/readyz")) {
        http::Answer answer = healthAnswer(path == "/healthz" || ready());
        co_await reply.send(std::move(answer));
        co_return;
    }
    std::string requestId = newRequestId();
    const bool chat = path == "/v1/chat/completions" && request.method == "POST";
    const bool service = path.starts_with("/v1/services/");
    std::optional<Refusal> refusal;
    if (!chat && !service) {
        refusal = refusalOf(ResultCode::UnknownPath, "there is no " + request.method + " " + path);
    } else if (!context_.kernel.find<ConfigService>("config").ready()) {
        refusal = refusalOf(ResultCode::NoConfiguration, "the box has no settings yet",
                            RetryDelayWithoutSettings);
    } else if (stopsTooSoon()) {
        refusal = refusalOf(ResultCode::Stopping, "the box stops and begins no more requests",
                            RetryDelayElsewhere);
    }
    if (refusal) {
        context_.counters.add("results",
                              {{"kind", "front"},
                               {"code", std::string(outcome::info(refusal->verdict.code).name)}});
        co_await reply.send(refusalAnswer(requestId, *refusal));
        co_return;
    }
    co_await handleKeyed(std::move(request), reply, std::move(requestId));
}

asio::awaitable<void> CallerService::handleKeyed(http::Request request, http::Reply &reply,
                                                 std::string requestId)
{
    const auto &effective = context_.kernel.find<ConfigService>("config").effective();
    const std::string_view key = kernel::bearerKey(request.fields.get("Authorization"));
    const auto *const organisation =
            key.empty() ? nullptr : effective.organisationByKeyHash(kernel::keyHash(key));
    if (organisation == nullptr) {
        context_.counters.add("results", {{"kind", "front"}, {"code", "bad-key"}});
        co_await reply.send(refusalAnswer(
                requestId, refusalOf(ResultCode::BadKey, "no organisation has this API key")));
        co_return;
    }
    // Copied, as the settings may change while the request is served.
    config::OrganisationSettings owner = *organisation;
    if (request.path() == "/v1/chat/completions") {
        co_await chats_.handle(std::move(request), reply, std::move(owner), std::move(requestId));
    } else {
        co_await services_.handle(std::move(request), reply, std::move(owner),
                                  std::move(requestId));
    }
}

// Chats and calls have no deadline, so none that comes after the drain is sure to end in time.
bool CallerService::stopsTooSoon() const
{
    const auto &stop = context_.kernel.find<PlannedStop>("stop").times();
    return stop && !stop->mayBegin(context_.now(), kernel::Instant::max());
}

std::string CallerService::newRequestId()
{
    std::ostringstream text;
    text << std::hex << context_.incarnation << '-' << context_.random();
    return context_.settings.box.text() + "-" + text.str();
}

} // namespace limereel::services
