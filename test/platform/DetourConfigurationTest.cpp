// A request that one box admits and another one, which reaches its servers, admits once more: each
// thing that a configuration decides, by who is behind and how.
// Guards against a request that another box runs by an older or a newer configuration than the one
// that its own box has shown.

#include "gateway/FeedPaces.h"
#include "platform/CutBoxFixture.h"

#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <random>

using namespace limereel;
using namespace limereel::support;
using nlohmann::json;
using standin::RunnerFault;

namespace {

using Cut = CutBoxFixture::Cut;

constexpr std::size_t Asking = 0; ///< The box that is cut off from all servers.
constexpr std::size_t Asked = 1;
constexpr std::int64_t BriefMs = 400;
constexpr std::int64_t LongMs = 20000;

json routeTo(const std::string &prefix, const std::string &service)
{
    return {{"name", prefix},       {"host", "calls.example"}, {"path_prefix", prefix},
            {"kind", "idempotent"}, {"timeout_ms", LongMs},    {"goal_ms", 200},
            {"priority", 1},        {"service", service},      {"max_attempts", 1},
            {"anonymous", false},   {"sticky", false}};
}

json split(json route, int pool, int other)
{
    route["split"] = json::array(
            {{{"service", "pool"}, {"weight", pool}}, {{"service", "other"}, {"weight", other}}});
    return route;
}

json with(json route, const char *member, json value)
{
    route[member] = std::move(value);
    return route;
}

json organisation(const std::string &name, const std::string &key)
{
    return {{"name", name}, {"api_keys", json::array({key})}};
}

json withRoutes(int version, const json &routes, const json &organisations)
{
    json all = routes;
    all.push_back(routeTo("/again/", "pool"));
    all.push_back(routeTo("/other/", "other"));
    const auto service = [](const char *name) {
        return json{{"name", name}, {"health_path", "/health"}, {"max_conns", 100}};
    };
    return {{"version", version},
            {"routes", all},
            {"services", json::array({service("pool"), service("other")})},
            {"limits", json::object()},
            {"tenants", organisations}};
}

json firstVersion()
{
    const json routes = json::array(
            {routeTo("/moved/", "pool"), split(routeTo("/weights/", "pool"), 1, 0),
             routeTo("/time/", "pool"), routeTo("/rank/", "pool"), routeTo("/gone/", "pool"),
             with(routeTo("/open/", "pool"), "anonymous", true),
             with(routeTo("/kind/", "pool"), "max_attempts", 2)});
    return withRoutes(1, routes,
                      json::array({organisation("one", "key-one"), organisation("two", "key-two"),
                                   organisation("old", "key-old"),
                                   with(organisation("ranked", "key-ranked"), "priority", 2)}));
}

json secondVersion()
{
    const json routes = json::array(
            {routeTo("/moved/", "other"), split(routeTo("/weights/", "pool"), 0, 1),
             with(routeTo("/time/", "pool"), "timeout_ms", BriefMs),
             with(routeTo("/rank/", "pool"), "priority", 4), routeTo("/added/", "pool"),
             routeTo("/open/", "pool"), with(routeTo("/kind/", "pool"), "kind", "non_idempotent")});
    return withRoutes(2, routes,
                      json::array({organisation("one", "key-one"), organisation("third", "key-two"),
                                   organisation("new", "key-new"),
                                   with(organisation("ranked", "key-ranked"), "priority", 5)}));
}

/** What a configuration decides, by a request that shows it. */
struct Decision
{
    const char *what;
    const char *path;
    const char *key;
    std::array<std::string, 3> effect; ///< By version: service, organisation, priority, time, runs.
    RunnerFault fault = RunnerFault::None;
};

const std::string NotRun = "not run";

const std::vector<Decision> Decisions = {
        {"service", "/moved/", "key-one", {"", "pool one 1 long x1", "other one 1 long x1"}},
        {"weights", "/weights/", "key-one", {"", "pool one 1 long x1", "other one 1 long x1"}},
        {"time-out", "/time/", "key-one", {"", "pool one 1 long x1", "pool one 1 brief x1"}},
        {"priority of the route",
         "/rank/",
         "key-one",
         {"", "pool one 1 long x1", "pool one 4 long x1"}},
        {"organisation", "/again/", "key-two", {"", "pool two 1 long x1", "pool third 1 long x1"}},
        {"priority of the organisation",
         "/again/",
         "key-ranked",
         {"", "pool ranked 2 long x1", "pool ranked 5 long x1"}},
        {"key taken away", "/again/", "key-old", {"", "pool old 1 long x1", NotRun}},
        {"key added", "/again/", "key-new", {"", NotRun, "pool new 1 long x1"}},
        {"key needed", "/open/", "", {"", "pool  1 long x1", NotRun}},
        {"route removed", "/gone/", "key-one", {"", "pool one 1 long x1", NotRun}},
        {"route added", "/added/", "key-one", {"", NotRun, "pool one 1 long x1"}},
        {"kind and attempts",
         "/kind/",
         "key-one",
         {"", "pool one 1 long x2", "pool one 1 long x1"},
         RunnerFault::ResetAfter},
};

enum class Behind : std::uint8_t { Neither, AskingBox, AskedBox, Both };

enum class How : std::uint8_t {
    NotTold,     ///< Its store, or the relay that it asks, answers and doesn't have it yet.
    StoreSilent, ///< Its store answers nothing.
    HistoryGone, ///< Its store has forgotten its history and refuses lists.
    Frozen,      ///< It stands still, and goes on with the change and the request unread.
    StartedAnew  ///< It has just started, and its store doesn't have the change yet.
};

struct Cell
{
    Behind who;
    How how;

    bool isBehind(std::size_t box) const
    {
        const Behind alone = box == Asking ? Behind::AskingBox : Behind::AskedBox;
        return who == Behind::Both || who == alone;
    }
};

std::ostream &operator<<(std::ostream &stream, const Cell &cell)
{
    constexpr std::array Who = {"neither", "asking", "asked", "both"};
    constexpr std::array Ways = {"not told", "store silent", "history gone", "frozen", "started"};
    return stream << Who.at(static_cast<std::size_t>(cell.who)) << ", "
                  << Ways.at(static_cast<std::size_t>(cell.how));
}

const std::vector<Cell> Cells = {
        {Behind::Neither, How::NotTold},       {Behind::AskingBox, How::NotTold},
        {Behind::AskingBox, How::StoreSilent}, {Behind::AskingBox, How::HistoryGone},
        {Behind::AskingBox, How::Frozen},      {Behind::AskedBox, How::NotTold},
        {Behind::AskedBox, How::StoreSilent},  {Behind::AskedBox, How::HistoryGone},
        {Behind::AskedBox, How::Frozen},       {Behind::AskedBox, How::StartedAnew},
        {Behind::Both, How::NotTold},          {Behind::Both, How::StoreSilent},
        {Behind::Both, How::HistoryGone},
};

/** A box that reaches no server and one that does, each with a store of its own. */
class DetourWorld : public CutBoxFixture
{
public:
    DetourWorld()
    {
        services = {"pool", "pool", "other"};
        firstConfiguration = firstVersion();
    }

    void startCut()
    {
        startBoxes(2, 0);
        readChangesAtOnce(Asking);
        readChangesAtOnce(Asked);
        cut(Asking, Cut::Refused);
        letNotice(Asking);
        call(Asking, fresh("/other/"));
        until([this] { return world(Asking).isLost("other"); }, "the other service is lost, too");
    }

    /** Otherwise a box collects changes for some time after each. */
    void readChangesAtOnce(std::size_t box)
    {
        gateway::FeedPaces paces = gateway::configurationPaces(kernel::GatewaySettings());
        paces.alone.afterChange = 0ms;
        world(box).feed("config")->setPaces(paces);
    }

    /** The box that was frozen is known again, and what it failed to serve is forgotten. */
    void untilServed()
    {
        const auto served = [this] { return call(Asking, fresh("/again/")).status == 200; };
        until(served, "the other box serves again");
    }

    /** A request that shows the decision. */
    http::Request requestFor(const Decision &decision)
    {
        http::Request request = fresh(decision.path);
        request.fields = request.fields.without("X-Api-Key");
        if (*decision.key != '\0') {
            request.fields.add("X-Api-Key", decision.key);
        }
        return request;
    }

    std::shared_ptr<PendingCall> beginFor(const http::Request &request, const Decision &decision)
    {
        for (std::size_t index = 0; index < servers(); ++index) {
            runner(index).faults.assign(decision.fault == RunnerFault::None ? 0 : 2,
                                        decision.fault);
        }
        return begin(Asking, request);
    }

    /** What servers saw of the request with this id. */
    std::string effectOf(const std::string &id)
    {
        std::string effect;
        std::size_t count = 0;
        for (std::size_t index = 0; index < servers(); ++index) {
            for (const standin::RunnerRecord &record : runner(index).records()) {
                if (record.id == id && record.ran) {
                    const auto &fields = record.request.fields;
                    const std::int64_t left = std::stoll(std::string(fields.get("X-Deadline-Ms")));
                    effect = services[index] + " " + std::string(fields.get("X-Tenant")) + " "
                             + std::string(fields.get("X-Urgency-Class"))
                             + (left <= BriefMs ? " brief" : " long");
                    ++count;
                }
            }
        }
        return count == 0 ? NotRun : effect + " x" + std::to_string(count);
    }

    /** Sends the request, and returns what servers saw. */
    std::string play(const Decision &decision)
    {
        const http::Request request = requestFor(decision);
        const auto pending = beginFor(request, decision);
        until([&] { return pending->done; }, "the answer");
        for (std::size_t index = 0; index < servers(); ++index) {
            runner(index).faults.clear();
        }
        std::string effect = effectOf(std::string(request.fields.get("X-Attempt-Id")));
        checkAnswer(decision, pending->answer, effect);
        return effect;
    }

    // "Not run" must be true, and what ran is answered.
    static void checkAnswer(const Decision &decision, const GatewayAnswer &answer,
                            const std::string &effect)
    {
        const bool ran = effect != NotRun;
        const bool served = answer.status == 200
                            || (decision.fault != RunnerFault::None && answer.status >= 500
                                && answer.status != 503);
        BOOST_TEST(ran == served, decision.what << ": " << effect << ", got " << answer.status);
    }

    void putSecond(std::size_t box, const Cell &cell)
    {
        standin::StoreStandin &store = storeOf(box);
        const bool behind = cell.isBehind(box);
        if (behind && cell.how == How::NotTold) {
            return;
        }
        if (behind && cell.how == How::StartedAnew) {
            killBox(box);
            restartBox(box);
            until([&] { return world(box).ready() && boxesKnownTo(Asking) == 2; }, "a restart");
            readChangesAtOnce(box);
            return;
        }
        if (behind && cell.how == How::Frozen) {
            freeze(box);
        }
        store.faults.silent = behind && cell.how == How::StoreSilent;
        if (behind && cell.how == How::HistoryGone) {
            store.forgetHistory();
            store.faults.status = 503;
        }
        store.put("config", "main", secondVersion());
    }

    void heal(std::size_t box, const Cell &cell)
    {
        thaw(box);
        storeOf(box).faults = {};
        const bool untold = cell.how == How::NotTold || cell.how == How::StartedAnew;
        if (cell.isBehind(box) && untold) {
            storeOf(box).put("config", "main", secondVersion());
        }
    }

    void change(const Cell &cell)
    {
        for (const std::size_t box : {Asking, Asked}) {
            putSecond(box, cell);
        }
        for (const std::size_t box : {Asking, Asked}) {
            if (!cell.isBehind(box)) {
                until([&] { return version(box) == 2; }, "the second version");
            }
        }
    }

    void finishChange(const Cell &cell)
    {
        for (const std::size_t box : {Asking, Asked}) {
            heal(box, cell);
        }
        until([this] { return version(Asking) == 2 && version(Asked) == 2; }, "both have it");
    }

    void checkAll()
    {
        for (const Decision &decision : Decisions) {
            const std::uint64_t asking = version(Asking);
            const std::string allowed =
                    asking == version(Asked) ? decision.effect.at(asking) : NotRun;
            const std::string effect = play(decision);
            BOOST_TEST(effect == allowed, decision.what << ": " << effect << ", not " << allowed);
        }
    }

    /** Requests that come while a box is frozen; it goes on with them and the change unread. */
    void checkThawing(const Cell &cell)
    {
        std::vector<http::Request> requests;
        std::vector<std::shared_ptr<PendingCall>> calls;
        for (const Decision &decision : Decisions) {
            requests.push_back(requestFor(decision));
            calls.push_back(begin(Asking, requests.back()));
        }
        until([&] { return version(cell.who == Behind::AskedBox ? Asking : Asked) == 2; },
              "the other box has it");
        finishChange(cell);
        for (std::size_t index = 0; index < calls.size(); ++index) {
            until([&] { return calls[index]->done; }, "the answer");
            const std::string effect =
                    effectOf(std::string(requests[index].fields.get("X-Attempt-Id")));
            const bool allowed = effect == NotRun || effect == Decisions[index].effect.at(2);
            BOOST_TEST(allowed, Decisions[index].what << ": " << effect);
            const int status = calls[index]->answer.status;
            BOOST_TEST((effect == NotRun || status == 200 || status == 504),
                       Decisions[index].what << ": got " << status);
            BOOST_TEST((effect != NotRun || status != 200), Decisions[index].what);
        }
        untilServed();
    }
};

json numbered(std::uint64_t version)
{
    const std::string name = "one-" + std::to_string(version);
    return withRoutes(static_cast<int>(version), json::array(),
                      json::array({organisation(name, "key-one")}));
}

/** Histories of changes that reach the boxes in any order, and requests between them. */
class HistoryWorld : public DetourWorld
{
public:
    void advance(std::size_t box)
    {
        at_[box] = newest_;
        storeOf(box).put("config", "main", numbered(newest_));
        until([&] { return version(box) == newest_; }, "a version");
    }

    void playHistory()
    {
        ++newest_;
        const std::uint64_t order = random_() % 4;
        if ((order & 1U) != 0) {
            advance(Asking);
        }
        if ((order & 2U) != 0) {
            advance(Asked);
        }
        const http::Request request = fresh("/again/");
        const GatewayAnswer answer = call(Asking, request);
        const std::string effect = effectOf(std::string(request.fields.get("X-Attempt-Id")));
        const bool agree = at_[Asking] == at_[Asked];
        const std::string allowed =
                agree ? "pool one-" + std::to_string(at_[Asking]) + " 1 long x1" : NotRun;
        BOOST_TEST(effect == allowed, effect << ", not " << allowed);
        BOOST_TEST(answer.status == (agree ? 200 : 503));
        agreed_ += agree ? 1 : 0;
    }

    std::size_t agreed() const { return agreed_; }

private:
    std::uint64_t newest_ = 1;
    std::map<std::size_t, std::uint64_t> at_ = {{Asking, 1}, {Asked, 1}};
    std::size_t agreed_ = 0;
    std::mt19937_64 random_{20261204};
};

} // namespace

BOOST_AUTO_TEST_SUITE(DetourConfigurationTest)

BOOST_DATA_TEST_CASE(boxesHaveTwoVersions_requestThroughAnotherBox_runsByItsOwnBoxesOrNotAtAll,
                     boost::unit_test::data::make(Cells))
{
    DetourWorld world;
    world.startCut();
    world.checkAll();
    world.change(sample);
    if (sample.how == How::Frozen) {
        world.checkThawing(sample);
    } else {
        world.checkAll();
        world.finishChange(sample);
    }
    world.checkAll();
}

BOOST_AUTO_TEST_CASE(thousandHistories_boxCutFromItsServers_isServedWhereBothAgreeAndNowhereElse)
{
    constexpr int Histories = 1000;
    HistoryWorld world;
    world.firstConfiguration = numbered(1);
    world.startCut();
    for (int history = 0; history < Histories; ++history) {
        world.playHistory();
    }
    BOOST_TEST(world.agreed() > 200U);
}

BOOST_AUTO_TEST_SUITE_END()
