#include "services/PlatformService.h"

#include "config/Values.h"
#include "store/CallShare.h"

namespace limereel::services {

namespace asio = boost::asio;
using outcome::StoreAnswer;

namespace {

// The burst lets a starting box read everything it needs at once.
constexpr double ReadBurst = 20;
constexpr double WriteBurst = 10;

std::uint64_t versionIn(const http::Fields &fields)
{
    const auto version = config::toInteger(fields.get("X-Version"));
    return version ? static_cast<std::uint64_t>(*version) : 0;
}

http::Fields conditionOn(std::uint64_t version)
{
    return http::Fields().with("If-Version", std::to_string(version));
}

StoreResult resultOf(const http::Answer &answer)
{
    StoreResult result{.version = versionIn(answer.fields), .value = answer.body};
    switch (answer.status) {
    case 200:
        result.answer = StoreAnswer::Done;
        break;
    case 304:
        result.answer = StoreAnswer::Done;
        result.unchanged = true;
        break;
    case 404:
        result.answer = StoreAnswer::Absent;
        break;
    case 409:
        result.answer = StoreAnswer::Conflict;
        break;
    case 429:
        result.answer = StoreAnswer::Unavailable;
        break;
    default:
        // A server error doesn't tell whether a write took effect.
        result.answer = answer.status >= 500 ? StoreAnswer::Lost : StoreAnswer::Unavailable;
        break;
    }
    return result;
}

StoreResult resultOf(const http::CallFailure &failure)
{
    const bool certainlyNoEffect = failure.point == outcome::FailurePoint::BeforeConnect
                                   || failure.point == outcome::FailurePoint::ConnectedUnsent;
    return {.answer = certainlyNoEffect ? StoreAnswer::Unavailable : StoreAnswer::Lost};
}

} // namespace

PlatformService::PlatformService(Context &context)
    : context_(context)
    , reads_(0, ReadBurst, context.now())
    , writes_(0, WriteBurst, context.now())
{
    setFleetSize(0);
}

asio::awaitable<StoreResult> PlatformService::get(std::string object)
{
    co_return co_await call(Kind::Read, {"GET", "/v1/objects/" + object, {}, {}},
                            context_.settings.platformTimeout);
}

asio::awaitable<StoreResult> PlatformService::watch(std::string object, std::uint64_t version)
{
    const kernel::Duration wait = context_.settings.watchTimeout;
    const std::string target = "/v1/objects/" + object + "?after=" + std::to_string(version)
                               + "&wait-ms=" + std::to_string(wait / 1ms);
    co_return co_await call(Kind::Read, {"GET", target, {}, {}},
                            wait + context_.settings.platformTimeout);
}

asio::awaitable<StoreResult> PlatformService::put(std::string object, std::uint64_t version,
                                                  std::string value)
{
    http::Request request{"PUT", "/v1/objects/" + object, conditionOn(version), std::move(value)};
    co_return co_await call(Kind::Write, std::move(request), context_.settings.platformTimeout);
}

asio::awaitable<StoreResult> PlatformService::remove(std::string object, std::uint64_t version)
{
    http::Request request{"DELETE", "/v1/objects/" + object, conditionOn(version), {}};
    co_return co_await call(Kind::Write, std::move(request), context_.settings.platformTimeout);
}

asio::awaitable<StoreResult> PlatformService::boxes(std::string hall, std::uint64_t version)
{
    const std::string target = "/v1/boxes/" + hall + "?after=" + std::to_string(version);
    co_return co_await call(Kind::Read, {"GET", target, {}, {}}, context_.settings.platformTimeout);
}

asio::awaitable<StoreResult> PlatformService::halls()
{
    co_return co_await call(Kind::Read, {"GET", "/v1/halls", {}, {}},
                            context_.settings.platformTimeout);
}

void PlatformService::setFleetSize(std::size_t routers)
{
    const store::CallShare share = store::callShare({}, routers);
    reads_.setRate(share.reads, ReadBurst, context_.now());
    writes_.setRate(share.writes, WriteBurst, context_.now());
}

asio::awaitable<StoreResult> PlatformService::call(Kind kind, http::Request request,
                                                   kernel::Duration answerTimeout)
{
    const std::string kindText = kind == Kind::Read ? "read" : "write";
    if (!allowed(kind)) {
        context_.counters.add("platform_calls_held_back", {{"kind", kindText}});
        co_return StoreResult{};
    }
    context_.counters.add("platform_calls", {{"kind", kindText}});
    if (!context_.settings.platformToken.empty()) {
        request.fields.add("Authorization", "Bearer " + context_.settings.platformToken);
    }
    const http::CallTimeouts timeouts{.connect = context_.settings.platformTimeout,
                                      .head = answerTimeout,
                                      .part = context_.settings.platformTimeout};
    const auto answer = co_await http::call(context_.io, context_.settings.platform,
                                            std::move(request), timeouts);
    reachable_ = answer.has_value() && answer->status < 500;
    if (!reachable_) {
        context_.counters.add("platform_failures", {{"kind", kindText}});
    }
    co_return answer ? resultOf(*answer) : resultOf(answer.error());
}

bool PlatformService::allowed(Kind kind)
{
    return (kind == Kind::Read ? reads_ : writes_).take(context_.now());
}

} // namespace limereel::services
