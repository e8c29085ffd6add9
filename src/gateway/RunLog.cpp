#include "gateway/RunLog.h"

#include "kernel/Log.h"
#include "services/PlannedStop.h"

#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace {

const kernel::Log &log()
{
    static const kernel::Log Log("run");
    return Log;
}

// The ids of the prompt's parts that other requests may share, which are all but the last.
nlohmann::json sharedParts(const forward::Prompt &prompt)
{
    constexpr std::size_t MaxLogged = 8;
    nlohmann::json ids = nlohmann::json::array();
    for (std::size_t place = 0; place + 1 < prompt.parts.size() && place < MaxLogged; ++place) {
        ids.push_back(prompt.parts[place].id);
    }
    return ids;
}

// Milliseconds since \a moment; -1 if it is empty.
std::int64_t millisecondsSince(const std::optional<kernel::Instant> &moment, kernel::Instant now)
{
    return moment ? (now - *moment) / 1ms : -1;
}

void addBasis(const SendBasis &basis, nlohmann::json &fields)
{
    fields["place"] = text(basis.said);
    if (basis.said == forward::OwnerSaid::NotAsked) {
        return;
    }
    fields["owner"] = basis.owner;
    if (basis.said != forward::OwnerSaid::Nothing) {
        fields["owner_load"] = basis.load;
        fields["owner_limit"] = basis.limit;
    }
}

// During a planned stop: when the request came, from the drain on, and how long the process runs.
void addStop(const RunState &run, nlohmann::json &fields)
{
    const auto &stop = run.context.kernel.find<services::PlannedStop>("stop").times();
    if (stop) {
        fields["came_after_drain_ms"] = (run.began - stop->drainsAt) / 1ms;
        fields["stop_left_ms"] = (stop->endsAt - run.context.now()) / 1ms;
    }
}

} // namespace

void logSend(const RunState &run)
{
    const kernel::Instant now = run.context.now();
    const auto age = run.fleetView.freshness().age(now);
    nlohmann::json fields = {
            {"request", run.call.id},
            {"route", run.route.name},
            {"service", run.service},
            {"server", run.choice.server.id},
            {"version", run.choice.server.version.text()},
            {"server_load", run.fleetView.servers().load(run.choice.server.id, now)},
            {"attempt", run.counts.all() + 1},
            {"left_ms", run.left() / 1ms},
            {"config", run.fleetView.snapshot()->version()},
            {"config_age_ms", age ? *age / 1ms : -1}};
    const forward::ServerTable &servers = run.fleetView.servers();
    if (const auto backoffLeft = servers.backoffLeft(run.choice.server.id, now); backoffLeft > 0s) {
        fields["rest_left_ms"] = backoffLeft / 1ms;
    }
    if (const auto full = servers.fullLeft(run.choice.server.id, now); full > 0s) {
        fields["full_left_ms"] = full / 1ms;
    }
    if (run.prompt() != nullptr) {
        fields["parts_key"] = forward::sharedPartsKey(run.call.prompt);
        fields["parts_shared"] = forward::sharedPrefixes(run.call.prompt).size();
        fields["parts_held"] = run.choice.held;
    }
    if (run.choice.takeFrom) {
        fields["parts_from"] = kernel::text(*run.choice.takeFrom);
    }
    addBasis(run.basis, fields);
    if (run.lastEvent) {
        fields["after_event"] = *run.lastEvent;
        fields["began_at_version"] = run.origin ? run.origin->version.text() : "unknown";
    }
    if (!run.call.resumes.empty()) {
        fields["resumes"] = run.call.resumes;
    }
    addStop(run, fields);
    log().event("sent", fields, "The request goes to a backend server.");
}

void logNotContinued(const RunState &run, std::string_view why)
{
    nlohmann::json fields = {{"request", run.call.id},      {"route", run.route.name},
                             {"service", run.service},      {"why", why},
                             {"resumes", run.call.resumes}, {"left_ms", run.left() / 1ms}};
    if (run.origin) {
        fields["began_at_version"] = run.origin->version.text();
    }
    if (run.lastEvent) {
        fields["after_event"] = *run.lastEvent;
    }
    log().event("stream-not-continued", fields, "A stream isn't continued.");
}

void logDetour(const RunState &run, const std::string &box)
{
    log().event("detour",
                {{"request", run.call.id},
                 {"route", run.route.name},
                 {"service", run.service},
                 {"through", box},
                 {"config", run.configVersion},
                 {"attempt", run.counts.all() + 1},
                 {"left_ms", run.left() / 1ms}},
                "The request goes through another box: none of its servers is reached.");
}

void logDetourFailure(const RunState &run, const std::string &box, const std::string &result,
                      const std::string &why)
{
    log().event("detour-failed",
                {{"request", run.call.id},
                 {"through", box},
                 {"result", result},
                 {"why", why},
                 {"since_sent_ms", millisecondsSince(run.sentAt, run.context.now())},
                 {"left_ms", run.left() / 1ms}},
                "Another box didn't serve the request.");
}

void logFailure(RunState &run, forward::Failure failure, const std::string &message, bool sent)
{
    log().event("attempt-failed",
                {{"request", run.call.id},
                 {"identity", forward::text(run.guard.identity())},
                 {"organisation", run.organisation},
                 {"parts", sharedParts(run.call.prompt)},
                 {"server", run.choice.server.id},
                 {"reason", text(failure)},
                 {"sent", sent},
                 {"since_sent_ms", millisecondsSince(run.sentAt, run.context.now())},
                 {"since_first_piece_ms", millisecondsSince(run.firstPiece, run.context.now())},
                 {"why", message},
                 {"left_ms", run.left() / 1ms}},
                "An attempt failed.");
}

void logBackoffRequested(const RunState &run, kernel::Duration asked)
{
    const std::string &server = run.choice.server.id;
    const kernel::Instant now = run.context.now();
    log().event("server-rests",
                {{"request", run.call.id},
                 {"server", server},
                 {"asked_ms", asked / 1ms},
                 {"rest_left_ms", run.fleetView.servers().backoffLeft(server, now) / 1ms},
                 {"own_load", run.fleetView.servers().ownLoadAt(server)}},
                "A backend server asks this box for rest.");
}

void logLeaving(const RunState &run)
{
    const auto listed = run.fleetView.servers().find(run.choice.server.id);
    log().event("server-said-leaving",
                {{"request", run.call.id},
                 {"server", run.choice.server.id},
                 {"listed", listed.has_value()},
                 {"own_load", run.fleetView.servers().ownLoadAt(run.choice.server.id)}},
                "A backend server announces its shutdown; it gets no new requests.");
}

void logBackoffUnreadable(const RunState &run)
{
    log().event("rest-unreadable", {{"request", run.call.id}, {"server", run.choice.server.id}},
                "A backend server asks for rest in a way that can't be read.");
}

void logSendDenied(RunState &run, const services::SendPermission &permission)
{
    nlohmann::json fields = {{"request", run.call.id},
                             {"identity", forward::text(run.guard.identity())},
                             {"organisation", run.organisation},
                             {"standing", text(permission.restriction)},
                             {"come_back_ms", permission.notBefore / 1ms},
                             {"sends", run.counts.sends}};
    if (permission.place != 0) {
        fields["part"] = run.call.prompt.parts.at(permission.place - 1).id;
        fields["place"] = permission.place;
    }
    log().event("no-leave", fields,
                "The request isn't sent, as backend servers have ended under it.");
}

void logNoPlace(const RunState &run, const std::string &server, const PlaceOutcome &outcome)
{
    const kernel::Instant now = run.context.now();
    const char *why = outcome.withdrawn    ? "withdrawn"
                      : outcome.unanswered ? "no-answer"
                                           : "refused";
    log().event("no-place",
                {{"request", run.call.id},
                 {"server", server},
                 {"why", why},
                 {"limit", outcome.limit},
                 {"load", outcome.load},
                 {"own_load", run.fleetView.servers().ownLoadAt(server)},
                 {"expected_wait_ms", outcome.expectedWait / 1ms},
                 {"come_back_ms", outcome.comeBack / 1ms},
                 {"priority", run.priority.value_or(0)},
                 {"organisation", run.organisation},
                 {"answer_age_ms", millisecondsSince(outcome.answeredAt, now)},
                 {"left_ms", run.left() / 1ms}},
                "The owner of a backend server has no place there for the request.");
}

void logEnd(const RunState &run, std::string_view result, const std::string &why)
{
    const kernel::Duration took = run.context.now() - run.began;
    nlohmann::json fields = {
            {"request", run.call.id},
            {"result", result},
            {"route", run.route.name},
            {"server", run.choice.server.id},
            {"sends", run.counts.sends},
            {"rejected", run.counts.rejected},
            {"unsent", run.counts.unsent},
            {"took_ms", took / 1ms},
            {"budget_left", run.fleetView.budget().left(run.service, run.context.now())}};
    if (!run.through.empty()) {
        fields["through"] = run.through;
    }
    if (run.toldLoad) {
        fields["server_running"] = run.toldLoad->running;
        fields["server_waiting"] = run.toldLoad->waiting;
    }
    if (run.bodyEnd) {
        fields["answer_end"] = text(*run.bodyEnd);
    }
    if (!why.empty()) {
        fields["why"] = why;
    }
    log().event("ended", fields, "The request has ended.");
}

} // namespace limereel::gateway
