#include "platform/CrashFixture.h"

#include "http/KeptConnection.h"
#include "support/Ports.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace limereel::support {

namespace asio = boost::asio;
using nlohmann::json;

void CrashFixture::startAll()
{
    moreSettings += "drain-within = 500ms\n";
    putConfiguration();
    for (std::size_t index = 0; index < engineCount; ++index) {
        startEngine(freeEndpoint());
    }
    for (std::size_t index = 0; index < Boxes; ++index) {
        startBox(Store::Reached);
    }
    untilAllReady(0, Boxes);
}

void CrashFixture::untilAllReady(std::size_t first, std::size_t count)
{
    until(
            [&] {
                bool all = true;
                for (std::size_t index = first; index < first + count; ++index) {
                    all = all && world(index).ready() && boxesKnownTo(index) >= count;
                }
                return all;
            },
            "readiness");
}

std::vector<Got> CrashFixture::comeAgain(int times, const std::string &prefix)
{
    std::vector<Got> answers;
    for (int turn = 0; turn < times; ++turn) {
        answers.push_back(call(static_cast<std::size_t>(turn) % Boxes, prefix, Crashing));
        bringBack();
    }
    return answers;
}

void CrashFixture::comeAgainUntilStopped()
{
    constexpr int Most = 200;
    const auto stopped = [this](std::size_t box) {
        return counter(box, "results", {{"kind", "refused"}, {"code", "ends-servers"}}) > 0U;
    };
    for (int turn = 0; turn < Most; ++turn) {
        const std::size_t box = static_cast<std::size_t>(turn) % Boxes;
        call(box, "/stream/", Crashing);
        bringBack();
        if (stopped(box)) {
            return;
        }
        const auto until = std::chrono::steady_clock::now() + 100ms;
        this->until([&] { return std::chrono::steady_clock::now() >= until; }, "a pause");
    }
    BOOST_ERROR("the request was never stopped");
}

Got CrashFixture::call(std::size_t box, const Ask &ask)
{
    const auto pending = begin(box, ask);
    until([&] { return pending->done; }, "the answer");
    return *pending;
}

Got CrashFixture::call(std::size_t box, const std::string &prefix, const std::string &body)
{
    return call(box, Ask{.prefix = prefix, .body = body});
}

std::shared_ptr<Got> CrashFixture::begin(std::size_t box, const Ask &ask)
{
    auto got = std::make_shared<Got>();
    http::Request request("POST", ask.prefix + "2f", {}, ask.body);
    request.fields.add("Host", "calls.example");
    request.fields.add("X-Attempt-Id", "a" + std::to_string(++requests_));
    request.fields.add("X-Deadline-Ms", "15000");
    request.fields.add("X-Api-Key", ask.key);
    if (ask.prefix == "/stream/") {
        request.fields.add("X-Model", "m");
        request.fields.add("X-Token-Count", "300,20");
        request.fields.add("X-Prompt-Prefix", ask.prompt);
    }
    asio::co_spawn(io_, exchange(callerAt(box), std::move(request), got), asio::detached);
    return got;
}

std::shared_ptr<Got> CrashFixture::begin(std::size_t box, const std::string &prefix,
                                         const std::string &body)
{
    return begin(box, Ask{.prefix = prefix, .body = body});
}

int CrashFixture::lift(std::size_t box, const std::string &query, const std::string &key)
{
    auto got = std::make_shared<Got>();
    http::Request request("POST", "/v1/requests/lift?" + query);
    request.fields.add("Host", "box");
    request.fields.add("Authorization", "Bearer " + key);
    asio::co_spawn(io_, exchange(controlAt(box), std::move(request), got), asio::detached);
    until([&] { return got->done; }, "the box's answer");
    return got->status;
}

forward::RequestIdentity CrashFixture::identity(const std::string &prefix)
{
    const std::string target = prefix + "2f";
    return forward::identityOf({.organisation = "one",
                                .method = "POST",
                                .host = "calls.example",
                                .target = target,
                                .body = Crashing});
}

void CrashFixture::bringBack()
{
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (engines_[index]->crashed() && !back_.contains(index)) {
            replace(index);
            untilListed(engines_.back()->name());
        }
    }
}

void CrashFixture::bringBackAfter(kernel::Duration ago)
{
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (engines_[index]->crashed() && !back_.contains(index)
            && now - engines_[index]->endedAt() >= ago) {
            replace(index);
        }
    }
}

void CrashFixture::replace(std::size_t engine)
{
    back_.insert(engine);
    store().remove("servers", engines_[engine]->name());
    startEngine(engines_[engine]->where());
}

std::size_t CrashFixture::ended() const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(engines_, [](const auto &engine) { return engine->crashed(); }));
}

void CrashFixture::restartAll()
{
    for (std::size_t index = 0; index < Boxes; ++index) {
        killBox(index);
    }
    for (std::size_t index = 0; index < Boxes; ++index) {
        restartBox(index);
    }
    untilAllReady(0, Boxes);
}

std::size_t CrashFixture::reached() const
{
    std::size_t sum = 0;
    for (const auto &engine : engines_) {
        sum += engine->records().size();
    }
    return sum;
}

std::size_t CrashFixture::reachedWith(const std::string &part) const
{
    std::size_t sum = 0;
    for (const auto &engine : engines_) {
        for (const standin::RunnerRecord &record : engine->records()) {
            const std::string_view prompt = record.request.fields.get("X-Prompt-Prefix");
            sum += prompt.find(part + ":") != std::string_view::npos ? 1 : 0;
        }
    }
    return sum;
}

void CrashFixture::untilStoppedAt(const std::vector<std::size_t> &boxes)
{
    const auto stopped = [&](std::size_t box) {
        const auto records = crashes(box).book().shared();
        return records.size() == 1 && records.front().failedTrials == 1;
    };
    until([&] { return std::ranges::all_of(boxes, stopped); }, "the stop at each box");
}

std::size_t CrashFixture::ends() const
{
    std::size_t sum = 0;
    for (const auto &engine : engines_) {
        sum += static_cast<std::size_t>(engine->ends());
    }
    return sum;
}

void CrashFixture::letProcessesFollowEachOther()
{
    for (auto &engine : engines_) {
        engine->followedBy = [this, where = engine->where()](const std::string &before) {
            std::string after = before + "+";
            asio::co_spawn(io_, listLater(before, after, where), asio::detached);
            return after;
        };
    }
}

asio::awaitable<void> CrashFixture::listLater(std::string before, std::string after,
                                              kernel::Endpoint where)
{
    asio::steady_timer timer(io_, 1s);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    store().remove("servers", before);
    putEntry(after, where);
}

void CrashFixture::untilListed(const std::string &id)
{
    until(
            [&] {
                bool all = true;
                for (std::size_t index = 0; index < Boxes; ++index) {
                    all = all && world(index).servers().find(id).has_value();
                }
                return all;
            },
            "the engine that is back at all boxes");
}

void CrashFixture::startEngine(const kernel::Endpoint &where)
{
    auto engine = std::make_unique<standin::RunnerStandin>(
            io_, "i-" + std::to_string(engines_.size() + 1), where);
    engine->endedBy = Crashing;
    engine->endedByParts = crashingParts;
    engine->endsAfter = endsAfter;
    engine->portEndsAfter = portEndsAfter;
    engine->pause = betweenEvents;
    engine->slots = engineSlots;
    engine->queue = engineQueue;
    engine->work = engineWork;
    putEntry(engine->name(), where);
    engines_.push_back(std::move(engine));
}

void CrashFixture::putEntry(const std::string &id, const kernel::Endpoint &where)
{
    store().put("servers", id,
                {{"service", "pool"},
                 {"address", kernel::text(where)},
                 {"zone", "hall-a"},
                 {"version", "v1"},
                 {"slots", engineSlots == 0 ? 8 : engineSlots},
                 {"state", "ready"},
                 {"cold_left_ms", 0},
                 {"models", json::array()},
                 {"call_seq", 1}});
}

void CrashFixture::putConfiguration()
{
    json routes = json::array();
    for (const auto &[prefix, kind] :
         {std::pair("/again/", "idempotent"), std::pair("/stream/", "streaming")}) {
        routes.push_back({{"name", std::string("r") + prefix},
                          {"host", "calls.example"},
                          {"path_prefix", prefix},
                          {"kind", kind},
                          {"timeout_ms", 20000},
                          {"goal_ms", 10000},
                          {"priority", 1},
                          {"service", "pool"},
                          {"max_attempts", 2},
                          {"anonymous", false},
                          {"sticky", std::string(kind) == "streaming"},
                          {"can_resume", false},
                          {"gap_goal_ms", 400}});
    }
    json organisations = json::array();
    for (const std::string name : {"one", "two"}) {
        organisations.push_back({{"name", name}, {"api_keys", json::array({"key-" + name})}});
    }
    store().put(
            "config", "main",
            {{"version", 1},
             {"routes", routes},
             {"services",
              json::array({{{"name", "pool"},
                            {"max_conns", 100},
                            {"engine",
                             {{"slots", engineSlots == 0 ? 8 : engineSlots}, {"moves", true}}}}})},
             {"tenants", organisations}});
}

asio::awaitable<void> CrashFixture::exchange(kernel::Endpoint where, http::Request request,
                                             std::shared_ptr<Got> got)
{
    auto connected = co_await http::KeptConnection::connect(io_, where, 10s);
    if (connected) {
        (*connected)->send(std::move(request));
        auto head = co_await (*connected)->readHead();
        if (head) {
            got->status = head->status;
            got->fields = head->fields;
            const auto body = co_await (*connected)->readAll(65536);
            got->whole = body.has_value();
        }
    }
    got->done = true;
}

} // namespace limereel::support
