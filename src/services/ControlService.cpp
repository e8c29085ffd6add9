#include "services/ControlService.h"

#include "config/TreeJson.h"
#include "config/Values.h"
#include "http/JsonBody.h"
#include "kernel/KeyHash.h"
#include "kernel/Log.h"
#include "services/CallerService.h"
#include "services/ConfigService.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PermitService.h"
#include "services/PlatformService.h"
#include "services/StopService.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

const kernel::Log &log()
{
    static const kernel::Log Log("control");
    return Log;
}

http::Answer jsonAnswer(int status, const json &body)
{
    return http::Answer{status, http::Fields().with("Content-Type", "application/json"),
                        body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

http::Answer problemAnswer(int status, const std::string &message)
{
    return jsonAnswer(status, {{"error", {{"message", message}}}});
}

const char *text(membership::Liveness liveness)
{
    constexpr std::array<const char *, 4> Names = {"live", "suspected", "damped", "dead"};
    return Names.at(static_cast<std::size_t>(liveness));
}

std::string text(const config::Change &change)
{
    const std::string what = change.path + (change.key.empty() ? "" : " " + change.key);
    return change.value ? what + " = " + *change.value : what + " unset";
}

http::Answer refusalAnswer(const UpdateRefusal &refusal)
{
    json details = json::array();
    for (const auto &problem : refusal.problems) {
        details.push_back(config::text(problem));
    }
    for (const auto &conflict : refusal.conflicts) {
        details.push_back("yours: " + text(conflict.ours) + "; theirs: " + text(conflict.theirs)
                          + ", by " + conflict.by.author + " at " + conflict.by.at + " in revision "
                          + std::to_string(conflict.by.revision));
    }
    constexpr std::array<std::pair<int, const char *>, 4> Kinds = {
            std::pair{422, "invalid"}, std::pair{409, "conflict"}, std::pair{503, "unavailable"},
            std::pair{504, "unknown"}};
    const auto &[status, kind] = Kinds.at(static_cast<std::size_t>(refusal.kind));
    return jsonAnswer(
            status,
            {{"error", {{"kind", kind}, {"message", refusal.message}, {"details", details}}}});
}

} // namespace

ControlService::ControlService(Context &context)
    : context_(context)
{
}

void ControlService::start()
{
    server_ = std::make_unique<http::Server>(context_.io, http::ServerLimits{.connections = 64},
                                             [this](http::Request request, http::Reply &reply) {
                                                 return handle(std::move(request), reply);
                                             });
    server_->listen(context_.settings.control);
    log().info("Operators are served at " + kernel::text(context_.settings.control) + ".");
}

void ControlService::stop()
{
    server_.reset();
}

asio::awaitable<void> ControlService::handle(http::Request request, http::Reply &reply)
{
    const std::string path(request.path());
    http::Answer answer;
    const std::string author = operatorOf(request);
    if (path == "/healthz") {
        answer.body = "ok\n";
    } else if (path == "/readyz") {
        const bool ready = context_.kernel.find<CallerService>("caller").ready();
        answer.status = ready ? 200 : 503;
        answer.body = ready ? "ok\n" : "not ready\n";
    } else if (path == "/metrics") {
        answer = metrics();
    } else if (author.empty()) {
        context_.counters.add("operators_refused");
        answer = problemAnswer(401,
                               "send an operator's key as a bearer token; see [operators] keys");
    } else {
        answer = co_await answerOperator(std::move(request), author);
    }
    co_await reply.send(std::move(answer));
}

asio::awaitable<http::Answer> ControlService::answerOperator(http::Request request,
                                                             std::string author)
{
    const std::string what = request.method + " " + std::string(request.path());
    if (what == "GET /v1/status") {
        co_return status();
    }
    if (what == "GET /v1/settings") {
        co_return settings();
    }
    if (what == "POST /v1/settings") {
        co_return co_await updateSettings(std::move(request), std::move(author));
    }
    if (what == "GET /v1/settings/status") {
        co_return co_await settingsStatus();
    }
    if (what == "POST /v1/leave") {
        log().info("Operator " + author + " asks for a planned stop.");
        context_.kernel.find<StopService>("stop").leave();
        co_return jsonAnswer(202, {{"leaving", true}});
    }
    co_return problemAnswer(404, "there is no " + what);
}

asio::awaitable<http::Answer> ControlService::updateSettings(http::Request request,
                                                             std::string author)
{
    const json body = http::parseBody(request.body);
    const bool wellFormed = body.is_object() && body.contains("base")
                            && body["base"].is_number_unsigned() && body.contains("changes");
    auto changes = wellFormed ? config::changesFromJson(body["changes"].dump()) : std::nullopt;
    if (!changes || changes->empty()) {
        co_return problemAnswer(
                400, "the body must be an object with 'base', a revision, and 'changes', "
                     "a list of objects with 'path', 'key' and 'value'");
    }
    const auto result = co_await context_.kernel.find<ConfigService>("config").update(
            std::move(*changes), body["base"].get<std::uint64_t>(), author);
    if (!result) {
        context_.counters.add("settings_updates", {{"result", "refused"}});
        co_return refusalAnswer(result.error());
    }
    context_.counters.add("settings_updates", {{"result", "accepted"}});
    log().info("Operator " + author + " made revision " + std::to_string(*result) + ".");
    co_return jsonAnswer(200, {{"revision", *result}});
}

asio::awaitable<http::Answer> ControlService::settingsStatus()
{
    auto &config = context_.kernel.find<ConfigService>("config");
    const auto halls = co_await config.status();
    json body = {{"revision", config.installed().revision()}, {"halls", halls}};
    co_return jsonAnswer(200, body);
}

http::Answer ControlService::settings() const
{
    const auto &config = context_.kernel.find<ConfigService>("config");
    if (!config.ready()) {
        return http::Answer{200, http::Fields().with("Content-Type", "application/json"),
                            config::toJson(config::emptyTree())};
    }
    return http::Answer{200, http::Fields().with("Content-Type", "application/json"),
                        config::toJson(config.installed().tree())};
}

http::Answer ControlService::status()
{
    auto &membership = context_.kernel.find<MembershipService>("membership");
    auto &owner = context_.kernel.find<OwnerService>("owner");
    json boxes = json::array();
    for (const auto &state : membership.states()) {
        boxes.push_back({{"box", membership.nameOf(state.box)},
                         {"liveness", text(membership.liveness(state.box))},
                         {"leaving", state.leaving},
                         {"revision", state.configRevision},
                         {"owns", state.backends.size()}});
    }
    json backends = json::array();
    for (const BackendView &backend : owner.view().backends) {
        backends.push_back({{"backend", backend.listed.backend.text()},
                            {"service", backend.listed.service},
                            {"open", backend.open()},
                            {"leaving", backend.state.leaving || backend.listed.leaving},
                            {"in_flight", backend.state.inFlight},
                            {"incarnation", backend.state.incarnation}});
    }
    const json body = {
            {"box", context_.settings.box.text()},
            {"hall", context_.settings.hall.text()},
            {"ready", context_.kernel.find<CallerService>("caller").ready()},
            {"leaving", membership.leaving()},
            {"platform_reachable", context_.kernel.find<PlatformService>("platform").reachable()},
            {"revision", context_.kernel.find<ConfigService>("config").installed().revision()},
            {"requests", context_.kernel.find<CallerService>("caller").active()},
            {"permits", context_.kernel.find<PermitService>("permits").held()},
            {"boxes", boxes},
            {"backends", backends}};
    return jsonAnswer(200, body);
}

http::Answer ControlService::metrics()
{
    context_.counters.set(
            "requests_active",
            static_cast<double>(context_.kernel.find<CallerService>("caller").active()));
    context_.counters.set(
            "settings_revision",
            static_cast<double>(
                    context_.kernel.find<ConfigService>("config").installed().revision()));
    context_.counters.set("platform_reachable",
                          context_.kernel.find<PlatformService>("platform").reachable() ? 1 : 0);
    return http::Answer{200, http::Fields().with("Content-Type", "text/plain; version=0.0.4"),
                        context_.counters.exposition()};
}

std::string ControlService::operatorOf(const http::Request &request) const
{
    const std::string_view key = kernel::bearerKey(request.fields.get("Authorization"));
    if (key.empty()) {
        return {};
    }
    const auto &operators = context_.settings.operators;
    const auto entry =
            std::ranges::find(operators, kernel::keyHash(key), &kernel::OperatorKey::hash);
    return entry == operators.end() ? std::string() : entry->name;
}

} // namespace limereel::services
