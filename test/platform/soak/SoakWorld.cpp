#include "platform/soak/SoakWorld.h"

#include "support/Ports.h"

namespace limereel::soak {

using nlohmann::json;

namespace {

constexpr kernel::Duration BetweenEvents = 5ms;
constexpr kernel::Duration LongBetweenEvents = 20ms; ///< So that streams meet faults.
constexpr std::size_t Versions = 3;
constexpr kernel::Duration BetweenLongStreamEvents = 600ms; ///< Five take three seconds.
constexpr int LongStreamTimeoutMs = 6000;
constexpr int LongStreamObjectiveMs = 2000; ///< Well above the pause between two events.
constexpr kernel::Duration ScarceWork = 40ms;
constexpr std::size_t PlentifulSlots = 8; ///< As listed; the servers themselves have no limit.
constexpr kernel::Duration EntryLapsesIn = 1500ms; ///< Once its server has ended.

// With one slot more than its part of the callers, a server is short of slots in rushes only.
std::size_t scarceSlots(const SoakPlan &plan)
{
    return plan.scarce ? 1 + (plan.callers + plan.servers - 1) / plan.servers : 0;
}

json route(const std::string &prefix, const std::string &kind, int attempts)
{
    return {{"name", "r" + prefix},
            {"host", "calls.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", 3000},
            {"goal_ms", 500},
            {"priority", 1},
            {"service", "pool"},
            {"max_attempts", attempts},
            {"anonymous", false},
            {"sticky", kind == "streaming"},
            {"can_resume", false},
            {"gap_goal_ms", 400}};
}

json poolOf(bool states, std::size_t slots)
{
    json pool = {{"name", "pool"},
                 {"health_path", "/health"},
                 {"max_conns", 100},
                 {"engine", {{"slots", slots}, {"moves", true}}}};
    if (states) {
        pool["cold_start_s"] = kernel::seconds(ColdFor);
        pool["cold_per_s"] = ColdPerSecond;
    }
    return pool;
}

json configurationOf(int version, const std::string &changingKey, const json &pool,
                     const SoakPlan &plan)
{
    json resume = route("/resume/", "streaming", 2);
    resume["can_resume"] = true;
    json probe = route("/version-" + std::to_string(version) + "/", "idempotent", 2);
    probe["anonymous"] = true;
    json organisations = json::array({{{"name", "one"},
                                       {"api_keys", json::array({"key-one", changingKey})},
                                       {"priority", 3}}});
    if (plan.scarce) {
        organisations.push_back(
                {{"name", "two"}, {"api_keys", json::array({KeyTwo})}, {"priority", 3}});
    }
    json stream = route("/stream/", "streaming", 1);
    for (json *const route : {&stream, &resume}) {
        if (plan.longStreams) {
            (*route)["timeout_ms"] = LongStreamTimeoutMs;
            (*route)["goal_ms"] = LongStreamObjectiveMs;
        }
    }
    return {{"version", version},
            {"routes", json::array({route("/once/", "non_idempotent", 1),
                                    route("/again/", "idempotent", 2), stream, resume, probe})},
            {"services", json::array({pool})},
            {"limits",
             {{"max_header_bytes", 8192},
              {"max_body_bytes", 65536},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 60000}}},
            {"tenants", organisations}};
}

// Objects of the store's lists, so that odd names come to stand at the end of a page.
constexpr std::size_t PageSize = 2;

// Entries of other writers, before the soak's servers, among them and behind them.
constexpr std::array<const char *, 10> OddNames = {"a00%",      "a01%zz",      "a02&b=", "a03+",
                                                   "a04%C3%A9", "a05\xC3\xA9", "i-0 #x", "i-1%",
                                                   "i-2/?y",    "z%"};

using PageFault = standin::StoreStandin::PageFault;
constexpr std::array<PageFault, 10> PageFaults = {
        PageFault::Refusal,     PageFault::NotFound, PageFault::TooMany,   PageFault::Failure,
        PageFault::Unavailable, PageFault::Reset,    PageFault::CutAnswer, PageFault::Silence,
        PageFault::NoPage,      PageFault::FirstPage};

json entryElsewhere()
{
    return {{"service", "elsewhere"},
            {"address", "127.0.0.1:9"},
            {"zone", ServerHalls[0]},
            {"version", "v1"},
            {"slots", 1},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"call_seq", 1}};
}

} // namespace

SoakWorld::SoakWorld(boost::asio::io_context &io, SoakFleet &fleet, const SoakPlan &plan)
    : io_(io)
    , plan_(plan)
    , scarceSlots_(scarceSlots(plan))
{
    const kernel::Endpoint storeAt = support::freeEndpoint();
    store_ = std::make_unique<standin::StoreStandin>(io, storeAt);
    for (const SoakBox &box : fleet.boxes()) {
        storeProxies_.push_back(std::make_unique<LoopbackProxy>(io, box.store, storeAt));
    }
    store_->pageSize = PageSize;
    nextConfiguration();
    for (const char *name : OddNames) {
        store_->put("servers", name, entryElsewhere());
    }
    if (plan.pageFaults) {
        const char *const name = OddNames[plan.seed % OddNames.size()];
        store_->faultsBehind[name] = PageFaults[plan.seed / OddNames.size() % PageFaults.size()];
    }
    for (std::size_t count = 0; count < plan.servers; ++count) {
        addServer();
    }
    started_ = true;
}

std::string SoakWorld::nextConfiguration()
{
    std::string taken = changingKey_;
    ++version_;
    changingKey_ = "key-changing-" + std::to_string(version_);
    store_->put("config", "main",
                configurationOf(version_, changingKey_, poolOf(plan_.serverStates, listedSlots()),
                                plan_));
    return taken;
}

void SoakWorld::addServer()
{
    SoakServer server;
    server.runner = std::make_unique<standin::RunnerStandin>(
            io_, "i-" + std::to_string(servers_.size()), support::freeEndpoint());
    server.runner->pause = plan_.longStreams ? BetweenLongStreamEvents : BetweenEvents;
    if (plan_.versions) {
        server.runner->version = "v" + std::to_string(1 + servers_.size() % Versions);
        server.runner->pause = LongBetweenEvents;
    }
    server.runner->endedBy = plan_.crashing ? CrashingBody : "";
    // Callers use it only in a soak with such parts.
    server.runner->endedByParts = {CrashingPart};
    server.runner->endsAfter = BetweenEvents;
    server.runner->slots = scarceSlots_;
    server.runner->queue = scarceSlots_;
    server.runner->work = ScarceWork;
    server.proxy =
            std::make_unique<LoopbackProxy>(io_, support::freeEndpoint(), server.runner->where());
    server.hall =
            plan_.serverStates ? ServerHalls.at(servers_.size() % ServerHalls.size()) : "hall-0";
    servers_.push_back(std::move(server));
    servers_.back().listed = true;
    servers_.back().cold = plan_.serverStates && started_;
    list(servers_.back(), "ready");
}

std::size_t SoakWorld::listedSlots() const
{
    return plan_.scarce ? scarceSlots_ : PlentifulSlots;
}

void SoakWorld::setSlowness(SoakServer &server, int factor)
{
    server.slow = factor > 1;
    server.runner->work = factor * ScarceWork;
}

void SoakWorld::list(const SoakServer &server, const std::string &state)
{
    store_->put("servers", server.runner->name(),
                {{"service", "pool"},
                 {"address", kernel::text(server.proxy->where())},
                 {"zone", server.hall},
                 {"version", plan_.versions ? server.runner->version : "v1"},
                 {"slots", listedSlots()},
                 {"state", state},
                 {"cold_left_ms", server.cold ? ColdFor / 1ms : 0},
                 {"call_seq", 1}});
}

void SoakWorld::unlist(SoakServer &server)
{
    server.listed = false;
    store_->remove("servers", server.runner->name());
}

void SoakWorld::drainHall(const std::string &hall)
{
    store_->put("evacuations", hall, json::object());
}

void SoakWorld::returnHall(const std::string &hall)
{
    for (SoakServer &server : servers_) {
        if (server.listed && server.hall == hall) {
            server.cold = true;
            list(server, "ready");
        }
    }
    store_->remove("evacuations", hall);
}

std::vector<std::size_t> SoakWorld::listedServers() const
{
    std::vector<std::size_t> positions;
    for (std::size_t position = 0; position < servers_.size(); ++position) {
        if (servers_[position].listed && !servers_[position].endedAt) {
            positions.push_back(position);
        }
    }
    return positions;
}

void SoakWorld::noteEnded(SoakJudge &judge, kernel::Instant now)
{
    std::size_t lapsed = 0;
    for (SoakServer &server : servers_) {
        if (server.runner->crashed() && !server.endedAt) {
            server.endedAt = now;
            server.proxy->close();
            judge.noteServerEnd(now);
        }
        if (server.endedAt && server.listed && now - *server.endedAt >= EntryLapsesIn) {
            unlist(server);
            ++lapsed;
        }
    }
    for (std::size_t count = 0; count < lapsed; ++count) {
        addServer();
    }
}

void SoakWorld::collect(SoakJudge &judge, kernel::Instant now)
{
    for (SoakServer &server : servers_) {
        const auto &records = server.runner->records();
        for (; server.judged < records.size(); ++server.judged) {
            const standin::RunnerRecord &record = records[server.judged];
            SoakArrival arrival{record.id,
                                server.runner->name(),
                                std::string(record.request.fields.get("X-Tenant")),
                                record.ran,
                                now,
                                server.hall};
            judge.noteArrival(arrival);
        }
    }
}

} // namespace limereel::soak
