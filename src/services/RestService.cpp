#include "services/RestService.h"

#include "kernel/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace {

constexpr kernel::Duration SweepEvery = 10s;
constexpr int Unavailable = 503;

const kernel::Log &log()
{
    static const kernel::Log Log("rests");
    return Log;
}

} // namespace

RestService::RestService(Context &context)
    : context_(context)
    , book_(context.settings.gateway.longestRest)
{
}

void RestService::start()
{
    const auto sweep = [this]() -> boost::asio::awaitable<kernel::Duration> {
        book_.expire(context_.now());
        co_return SweepEvery;
    };
    sweep_ = std::make_unique<Repeat>(context_.io, sweep);
}

void RestService::stop()
{
    sweep_.reset();
}

void RestService::note(std::uint64_t life, const std::string &server, const http::RetryAfter &word)
{
    if (word.unreadable) {
        context_.counters.add("rests_unreadable");
        log().event("rest-unreadable", {{"server", server}},
                    "A backend server asks for rest in a way that can't be read.");
    }
    if (word.wait && *word.wait > kernel::Duration(0)) {
        context_.counters.add("rests_asked");
        book_.note(life, *word.wait, context_.now());
        log().event("server-rests",
                    {{"server", server},
                     {"asked_ms", *word.wait / 1ms},
                     {"rest_left_ms", left(life) / 1ms}},
                    "A backend server asks this box for rest.");
    }
}

kernel::Duration RestService::left(std::uint64_t life) const
{
    return std::max(kernel::Duration(0), book_.until(life) - context_.now());
}

http::RetryAfter restAsked(int status, const http::Fields &fields)
{
    return status == Unavailable ? http::retryAfter(fields, std::chrono::system_clock::now())
                                 : http::RetryAfter{};
}

} // namespace limereel::services
