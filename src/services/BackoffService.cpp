#include "services/BackoffService.h"

#include "kernel/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace {

constexpr kernel::Duration SweepPeriod = 10s;
constexpr int Unavailable = 503;

const kernel::Log &log()
{
    static const kernel::Log Log("rests");
    return Log;
}

} // namespace

BackoffService::BackoffService(Context &context)
    : context_(context)
    , book_(context.settings.gateway.longestRest)
{
}

void BackoffService::start()
{
    const auto sweep = [this]() -> boost::asio::awaitable<kernel::Duration> {
        book_.expire(context_.now());
        co_return SweepPeriod;
    };
    sweep_ = std::make_unique<PeriodicTask>(context_.io, sweep);
}

void BackoffService::stop()
{
    sweep_.reset();
}

void BackoffService::note(std::uint64_t incarnationKey, const std::string &server,
                          const http::RetryAfter &asked)
{
    if (asked.unreadable) {
        context_.counters.add("rests_unreadable");
        log().event("rest-unreadable", {{"server", server}},
                    "A backend server asks for rest in a way that can't be read.");
    }
    if (asked.wait && *asked.wait > kernel::Duration(0)) {
        context_.counters.add("rests_asked");
        book_.note(incarnationKey, *asked.wait, context_.now());
        log().event("server-rests",
                    {{"server", server},
                     {"asked_ms", *asked.wait / 1ms},
                     {"rest_left_ms", remaining(incarnationKey) / 1ms}},
                    "A backend server asks this box for rest.");
    }
}

kernel::Duration BackoffService::remaining(std::uint64_t incarnationKey) const
{
    return std::max(kernel::Duration(0), book_.until(incarnationKey) - context_.now());
}

http::RetryAfter requestedBackoff(int status, const http::Fields &fields)
{
    return status == Unavailable ? http::retryAfter(fields, std::chrono::system_clock::now())
                                 : http::RetryAfter{};
}

} // namespace limereel::services
