#include "gateway/RequestRun.h"

#include "gateway/RunLog.h"
#include "services/PlannedStop.h"

// The part of a run that decides by the configuration whether and as what a request is admitted,
// and who began the stream that it takes up.

namespace limereel::gateway {

namespace asio = boost::asio;
using outcome::ResultCode;

namespace {

constexpr kernel::Duration DefaultPatience = 60s;
constexpr kernel::Duration KeptAfterDeadline = 1s; ///< For what is on its way then.
// For callers of a box that stops: other boxes take them at once.
constexpr kernel::Duration ReturnElsewhere = 50ms;
constexpr const char *OriginUnknown = "it isn't known which software version began the stream";
constexpr const char *OtherConfiguration =
        "the box that was asked has another configuration than the one that admitted the request";
constexpr const char *Stopping = "the box stops before the request's deadline";

} // namespace

std::optional<RequestRun::Refusal> RequestRun::admit()
{
    const forward::SnapshotPtr snapshot = run_.fleetView.snapshot();
    if (!snapshot) {
        return Refusal{ResultCode::NoConfiguration, "the box has no configuration yet", true};
    }
    if (auto refusal = checkConfiguration(*snapshot)) {
        return refusal;
    }
    run_.configVersion = snapshot->version();
    const forward::Route *route = snapshot->route(run_.call.host, run_.request.target);
    if (route == nullptr) {
        return Refusal{ResultCode::UnknownPath, "no route has this host and path"};
    }
    run_.route = *route;
    run_.regions = route->homes;
    run_.lastEvent = run_.call.resumeAfter;
    setService(forward::chooseService(run_.route, kernel::hashOf(run_.call.id)));
    const kernel::Duration patience = run_.call.callerTimeout > 0s
                                              ? run_.call.callerTimeout
                                              : kernel::Duration(DefaultPatience);
    run_.deadline = run_.began
                    + (run_.route.timeout > 0s ? std::min(patience, run_.route.timeout) : patience);
    run_.priority = run_.route.priority;
    if (run_.context.settings.gateway.admission && !servedFor_) {
        forward::CallerTimeouts &timeouts = run_.fleetView.callerTimeouts();
        timeouts.note(run_.route.name, run_.call.callerTimeout);
        run_.sinceFirstTry = timeouts.sinceFirstTry(run_.route.name, run_.call.callerTimeout);
    }
    return checkKey();
}

// Both boxes have shown their callers what their configurations say. An older one would take that
// back at the box that asks, a newer one would be taken back by the next request that it sends
// itself.
std::optional<RequestRun::Refusal>
RequestRun::checkConfiguration(const forward::Snapshot &snapshot) const
{
    const bool same = !servedFor_ || !servedFor_->configVersion
                      || *servedFor_->configVersion == snapshot.version();
    if (same) {
        return std::nullopt;
    }
    return Refusal{ResultCode::OtherConfiguration, OtherConfiguration, true};
}

void RequestRun::setService(const std::string &name)
{
    const forward::Service *service = run_.fleetView.snapshot()->service(name);
    run_.service = name;
    run_.movesParts = service != nullptr && service->movesParts;
}

// Also called right before each send, because the process may have stalled since the request
// arrived.
std::optional<RequestRun::Refusal> RequestRun::checkKey()
{
    const forward::SnapshotPtr snapshot = run_.fleetView.snapshot();
    if (run_.route.anonymous || !snapshot->needsKeys()) {
        return std::nullopt;
    }
    if (!run_.fleetView.freshness().usable(run_.context.now())) {
        run_.reply.closeAfter();
        return Refusal{ResultCode::NoConfiguration,
                       "the box can't make sure that the key is still valid", true};
    }
    const forward::Organisation *organisation = snapshot->organisation(run_.call.key);
    if (organisation == nullptr) {
        return Refusal{ResultCode::BadKey, "no organisation has this API key"};
    }
    run_.organisation = organisation->name;
    auto regions = forward::homeRegions(run_.route.homes, organisation->homes);
    if (!regions) {
        return Refusal{ResultCode::NoEngine, "route and organisation have no region in common"};
    }
    run_.regions = std::move(*regions);
    if (organisation->priority) {
        run_.priority = organisation->priority;
    }
    return std::nullopt;
}

// What is begun during a planned stop has to be over when the process ends.
std::optional<RequestRun::Refusal> RequestRun::checkStop()
{
    const auto &stop = run_.context.kernel.find<services::PlannedStop>("stop").times();
    if (!stop || stop->mayBegin(run_.began, run_.deadline)) {
        return std::nullopt;
    }
    run_.reply.closeAfter();
    return Refusal{ResultCode::Stopping, Stopping, true, ReturnElsewhere};
}

// What another box has told of the stream that it wants continued. One of an earlier version tells
// nothing.
std::optional<RequestRun::Refusal> RequestRun::checkToldOrigin()
{
    if (!servedFor_ || !run_.route.stream) {
        return std::nullopt;
    }
    if (run_.lastEvent && !run_.origin) {
        return originUnknown("not-told");
    }
    if (run_.origin && !useServiceOf(*run_.origin)) {
        return originUnknown("other-service");
    }
    return std::nullopt;
}

RequestRun::Refusal RequestRun::originUnknown(std::string_view why) const
{
    run_.context.counters.add("streams_not_continued", {{"why", std::string(why)}});
    logNotContinued(run_, why);
    return {ResultCode::StreamOriginUnknown, OriginUnknown, true};
}

bool RequestRun::takesStreamUp() const
{
    const bool named = run_.call.resumeAfter || !run_.call.resumes.empty();
    return run_.route.stream && named && !servedFor_;
}

// The caller holds events of an earlier try, which any box may have served. A caller that doesn't
// name that try may still be helped if all streams of equal requests have one version.
asio::awaitable<std::optional<RequestRun::Refusal>> RequestRun::findOrigin()
{
    const bool named = !run_.call.resumes.empty();
    forward::StreamId id = streamId();
    StreamLookup found = co_await streams_.find(id, named, run_.route.objective);
    if (!found.origin) {
        co_return originUnknown(named ? found.why : "not-named");
    }
    if (!useServiceOf(*found.origin)) {
        co_return originUnknown("other-service");
    }
    run_.origin = std::move(found.origin);
    co_return std::nullopt;
}

forward::StreamId RequestRun::streamId()
{
    const std::string &first = run_.call.resumes.empty() ? run_.call.id : run_.call.resumes;
    return forward::streamIdOf(run_.guard.identity(), run_.organisation, first);
}

// The weights of a route's services may choose another one for each try.
bool RequestRun::useServiceOf(const forward::StreamOrigin &origin)
{
    for (const forward::WeightedService &part : run_.route.services) {
        if (kernel::hashOf(part.service) == origin.service) {
            setService(part.service);
            return true;
        }
    }
    return false;
}

// So that the caller can take the stream up at any box. Streams that may not be resumed are never
// taken up.
void RequestRun::recordStream()
{
    if (run_.route.repeatability != forward::Repeatability::Resumable || !run_.origin) {
        return;
    }
    const kernel::Duration patience = run_.call.callerTimeout > 0s
                                              ? run_.call.callerTimeout
                                              : kernel::Duration(DefaultPatience);
    const kernel::Duration left = run_.began + patience - run_.context.now();
    streams_.note(streamId(), *run_.origin,
                  std::max<kernel::Duration>(left, 0s) + KeptAfterDeadline);
}

} // namespace limereel::gateway
