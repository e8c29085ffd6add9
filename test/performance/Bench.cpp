// limereel-bench: figures for docs/CAPACITY.md and docs/design. Reports, never judges.

#include "config/Effective.h"
#include "config/TreeJson.h"
#include "forward/CrashTable.h"
#include "forward/ServerTable.h"
#include "membership/HeartbeatTable.h"
#include "membership/Rendezvous.h"
#include "peer/Envelope.h"
#include "performance/AdmissionBench.h"
#include "performance/PaceBench.h"
#include "performance/Plot.h"
#include "performance/PolicyBench.h"
#include "performance/RestBench.h"
#include "routing/ChatIndex.h"
#include "routing/PermitLedger.h"
#include "routing/Placement.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace limereel;
using nlohmann::json;

namespace {

constexpr std::size_t IpAndUdpHeaders = 28;
constexpr std::size_t EnginesPerBox = 6;

struct Options
{
    bool asJson = false;
    std::uint64_t seed = 1;
    std::string only;
    std::string plots; ///< Folder for SVG files; empty: none.
};

/** Prints rows as a table and keeps them for JSON. */
class Report
{
public:
    explicit Report(bool asJson)
        : asJson_(asJson)
    {
    }

    void section(const std::string &name)
    {
        section_ = name;
        if (!asJson_) {
            std::cout << '\n' << name << '\n';
        }
    }

    void row(const std::string &name, const std::vector<std::pair<std::string, double>> &values)
    {
        json row = {{"section", section_}, {"name", name}};
        if (!asJson_) {
            std::cout << "  " << std::left << std::setw(34) << name << std::right;
        }
        for (const auto &[key, value] : values) {
            row[key] = value;
            if (!asJson_) {
                std::cout << "  " << key << ' ' << std::setprecision(4) << value;
            }
        }
        rows_.push_back(row);
        if (!asJson_) {
            std::cout << '\n';
        }
    }

    /** The values \a y against \a x of the rows whose section begins with \a section. */
    performance::Series series(const std::string &name, const std::string &section,
                               const std::string &x, const std::string &y) const
    {
        performance::Series line{name, {}};
        for (const json &row : rows_) {
            if (row["section"].get<std::string>().starts_with(section) && row.contains(x)
                && row.contains(y)) {
                line.points.emplace_back(row[x].get<double>(), row[y].get<double>());
            }
        }
        return line;
    }

    void finish() const
    {
        if (asJson_) {
            std::cout << rows_.dump(2) << '\n';
        }
    }

private:
    bool asJson_;
    std::string section_;
    json rows_ = json::array();
};

/** Nanoseconds of one call, the median of several rounds. */
double nanoseconds(const std::function<void(std::uint64_t)> &work, int calls)
{
    constexpr int Rounds = 7;
    std::vector<double> rounds;
    std::uint64_t number = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto begun = std::chrono::steady_clock::now();
        for (int call = 0; call < calls; ++call) {
            work(++number);
        }
        rounds.push_back(
                std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begun)
                        .count()
                / calls);
    }
    std::ranges::sort(rounds);
    return rounds[Rounds / 2];
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::vector<routing::Candidate> poolOf(std::size_t count)
{
    std::vector<routing::Candidate> pool;
    for (std::size_t index = 0; index < count; ++index) {
        pool.push_back({kernel::hashOf("engine-" + std::to_string(index)), 1,
                        static_cast<std::uint32_t>(index % 7)});
    }
    return pool;
}

void timeDecisions(Report &report)
{
    report.section("time of decisions");
    for (const std::size_t engines : {50U, 218U, 2400U}) {
        const auto pool = poolOf(engines);
        const routing::PoolView view{3 * engines, engines, 6};
        std::size_t sum = 0;
        const double place = nanoseconds(
                [&](std::uint64_t chat) {
                    const auto candidates =
                            routing::candidatesFor(chat * 0x9e3779b97f4a7c15ULL, pool, 5);
                    sum += routing::placeChat(candidates, std::nullopt, pool, view).size();
                },
                2000);
        report.row("place a chat, " + std::to_string(engines) + " engines",
                   {{"engines", static_cast<double>(engines)}, {"us", place / 1000}});
    }
    routing::PermitLedger ledger({}, kernel::Instant(), false);
    const double permit = nanoseconds(
            [&](std::uint64_t request) {
                ledger.ask({request, 1, request % 50}, {100, 100, 1000, 0}, kernel::Instant());
                ledger.giveBack(request);
            },
            20000);
    report.row("permit granted and returned", {{"us", permit / 1000}});
    routing::ChatIndex index(65536);
    report.row("chat index put and find", {{"us", nanoseconds(
                                                          [&](std::uint64_t chat) {
                                                              index.put(chat % 100000, {1, 1});
                                                              index.find(chat % 7777);
                                                          },
                                                          20000)
                                                          / 1000}});
}

/** What it costs to know a request again. */
void timeIdentity(Report &report)
{
    std::uint64_t sum = 0;
    forward::IdentityParts parts{.organisation = "/accra/hauler-a",
                                 .method = "POST",
                                 .host = "calls.example",
                                 .target = "/v1/chat/completions",
                                 .body = {}};
    const double shape = nanoseconds([&](std::uint64_t) { sum += forward::shapeOf(parts); }, 20000);
    report.row("shape of a request", {{"us", shape / 1000}});
    for (const std::size_t kilobytes : {1U, 72U, 1000U}) {
        const std::string body(1000 * kilobytes, 'x');
        parts.body = body;
        const double whole =
                nanoseconds([&](std::uint64_t) { sum += forward::identityOf(parts).low; }, 200);
        report.row("identity of a request, " + std::to_string(kilobytes) + " kB",
                   {{"kB", static_cast<double>(kilobytes)}, {"us", whole / 1000}});
    }
    forward::CrashTable book;
    const std::size_t before = heapBytes();
    constexpr std::uint64_t Records = 1000;
    for (std::uint64_t number = 1; number <= Records; ++number) {
        const std::uint64_t hash = number * 0x9e3779b97f4a7c15ULL;
        book.noteCrash({hash, hash, hash}, hash, false, kernel::Instant());
        book.noteCrash({hash, hash, hash}, hash + 1, false, kernel::Instant());
    }
    report.row(
            "a request under which two servers ended",
            {{"B", static_cast<double>(heapBytes() - before) / Records},
             {"B told",
              static_cast<double>(
                      peer::encode(peer::CrashWord{.records = {book.shared().front()}}).size())}});
}

membership::BoxState boxState(std::uint64_t box)
{
    membership::BoxState state{.box = kernel::hashOf("box-" + std::to_string(box)),
                               .incarnation = 1764668800000,
                               .version = 40000,
                               .configRevision = 20000};
    for (std::size_t engine = 0; engine < EnginesPerBox; ++engine) {
        state.backends.push_back({.backend = static_cast<std::uint32_t>(
                                          kernel::hashOf(std::to_string(box * 100 + engine))),
                                  .inFlight = static_cast<std::uint32_t>(engine + 2),
                                  .incarnation = 1764668800,
                                  .models = {3000000000U}});
    }
    return state;
}

std::size_t wireBytes(const peer::Message &message)
{
    return peer::encode(message).size() + peer::EnvelopeBytes + IpAndUdpHeaders;
}

/** A hall whose heartbeats all arrive; loads change each period, as under traffic. */
class HeartbeatHall
{
public:
    HeartbeatHall(std::size_t boxes, std::uint64_t seed)
        : random_(seed)
    {
        std::vector<std::uint64_t> all;
        for (std::uint64_t box = 0; box < boxes; ++box) {
            all.push_back(boxState(box).box);
        }
        for (std::uint64_t box = 0; box < boxes; ++box) {
            tables_.emplace(all[box], membership::HeartbeatTable({}, boxState(box)));
            tables_.at(all[box]).setListed(all, now_);
        }
    }

    std::size_t period(bool loadsChange)
    {
        std::size_t bytes = 0;
        now_ += 1s;
        for (auto &[box, table] : tables_) {
            if (box == dead_) {
                continue;
            }
            membership::BoxState self = table.self();
            if (loadsChange) {
                self.backends[random_() % EnginesPerBox].inFlight =
                        static_cast<std::uint32_t>(random_() % 12);
            }
            table.setSelf(self);
            for (const auto &message : table.tick(now_, random_)) {
                bytes += wireBytes(peer::Heartbeat{message.states, message.ages});
                if (message.to != dead_) {
                    tables_.at(message.to).receive(message.states, message.ages, now_);
                }
            }
        }
        return bytes;
    }

    int periodsUntilDeathIsKnown()
    {
        dead_ = tables_.begin()->first;
        for (int waited = 1; waited < 60; ++waited) {
            period(true);
            const bool known = std::ranges::all_of(tables_, [&](const auto &entry) {
                return entry.first == dead_
                       || entry.second.liveness(dead_, now_) != membership::Liveness::Live;
            });
            if (known) {
                return waited;
            }
        }
        return 60;
    }

private:
    kernel::Instant now_{kernel::Duration(3600s)};
    std::mt19937_64 random_;
    std::map<std::uint64_t, membership::HeartbeatTable> tables_;
    std::uint64_t dead_ = 0;
};

forward::ListedServer serverNumber(std::size_t number)
{
    forward::ListedServer server;
    server.id = "server-" + std::to_string(number);
    // As in the largest fleet known: 3 of 100 servers are no engines.
    server.engine = number % 33 != 0;
    server.service = server.engine ? "engines" : "plain";
    server.hall = "hall-" + std::to_string(number % 5);
    server.address = {"10.0.0.1", 80};
    server.slots = server.engine ? 64 : 6;
    return server;
}

// A box that has sent single requests to a hundred servers lately, as it is left with when its
// fleet is large.
void timeServerChoices(Report &report)
{
    constexpr std::size_t UsedLately = 100;
    report.section("choice of a backend server, and what each takes");
    for (const std::size_t servers : {100U, 1000U, 10000U, 30000U}) {
        const std::size_t before = heapBytes();
        forward::ServerTable book{forward::ServerPolicy{.hall = "hall-0"}};
        for (std::size_t number = 0; number < servers; ++number) {
            book.put(serverNumber(number));
        }
        const double bytes = static_cast<double>(heapBytes() - before);
        const kernel::Instant now(1000s);
        for (std::size_t number = 0; number < UsedLately; ++number) {
            book.setOthers("server-" + std::to_string(number * 7 % servers), 1, now);
        }
        std::mt19937_64 random(1);
        forward::Prompt prompt;
        prompt.model = "m";
        forward::ServerRequirements wish;
        wish.service = "engines";
        wish.prompt = &prompt;
        wish.takeParts = true;
        const int calls = servers > 1000 ? 200 : 2000;
        const double engine = nanoseconds(
                [&](std::uint64_t number) {
                    prompt.parts = {{number, 100}, {number + 1, 10}};
                    book.choose(wish, now, random);
                },
                calls);
        wish.service = "plain";
        wish.prompt = nullptr;
        const double plain =
                nanoseconds([&](std::uint64_t) { book.choose(wish, now, random); }, calls);
        // Afterwards, so that the figures before stay those of a fleet in which none rests.
        for (std::size_t number = 0; number < servers; number += 3) {
            book.noteBackoff(serverNumber(number), 30s, now);
        }
        wish.service = "engines";
        wish.prompt = &prompt;
        const double third = nanoseconds(
                [&](std::uint64_t number) {
                    prompt.parts = {{number, 100}, {number + 1, 10}};
                    book.choose(wish, now, random);
                },
                calls);
        const double change = nanoseconds(
                [&](std::uint64_t number) {
                    book.remove("server-" + std::to_string(number % servers));
                    book.put(serverNumber(number % servers));
                },
                calls);
        report.row(std::to_string(servers) + " servers",
                   {{"engine_us", engine / 1000},
                    {"plain_us", plain / 1000},
                    {"engine_third_rests_us", third / 1000},
                    {"replaced_us", change / 1000},
                    {"bytes_a_server", bytes / static_cast<double>(servers)}});
    }
}

// One heartbeat that names all boxes, with the look for what its sender lacks, and the list of
// owners that a request asks for.
void timeHeartbeats(Report &report)
{
    report.section("time of a heartbeat that is taken in");
    for (const std::size_t boxes : {100U, 300U, 1000U, 3000U}) {
        const kernel::Instant now(1000s);
        membership::HeartbeatTable table({}, {.box = 1, .incarnation = 1});
        membership::HeartbeatTable sender({}, {.box = 2, .incarnation = 1});
        for (std::uint64_t number = 3; number < boxes; ++number) {
            const std::uint64_t box = kernel::hashOf(std::to_string(number));
            table.receive({{.box = box, .incarnation = 1, .version = 1}}, {}, now);
            sender.receive({{.box = box, .incarnation = 1, .version = 1}}, {}, now);
        }
        std::mt19937_64 random(1);
        sender.receive({{.box = 1, .incarnation = 1, .version = 1}}, {}, now);
        const membership::HeartbeatMessage message = sender.tick(now, random).front();
        const double taken = nanoseconds(
                [&](std::uint64_t) {
                    table.receive(message.states, message.ages, now);
                    table.introductionFor(message.states, message.ages, now, random);
                },
                20);
        const double owners = nanoseconds([&](std::uint64_t) { table.owners(now); }, 100);
        report.row(std::to_string(boxes) + " boxes",
                   {{"taken_us", taken / 1000}, {"owners_us", owners / 1000}});
    }
}

void countBytes(Report &report, std::uint64_t seed)
{
    report.section("bytes on the wire, headers and authentication included");
    for (const std::size_t boxes : {2U, 3U, 7U, 12U, 20U, 37U}) {
        HeartbeatHall hall(boxes, seed);
        for (int period = 0; period < 30; ++period) {
            hall.period(true);
        }
        std::size_t busy = 0;
        std::size_t idle = 0;
        constexpr int Periods = 60;
        for (int period = 0; period < Periods; ++period) {
            busy += hall.period(true);
        }
        for (int period = 0; period < Periods; ++period) {
            idle += hall.period(false);
        }
        const double share = Periods * static_cast<double>(boxes);
        report.row("heartbeats, " + std::to_string(boxes) + " boxes a hall",
                   {{"boxes", static_cast<double>(boxes)},
                    {"busy B/s", static_cast<double>(busy) / share},
                    {"idle B/s", static_cast<double>(idle) / share},
                    {"death known after s", hall.periodsUntilDeathIsKnown()}});
    }
    const std::uint64_t any = 0xfedcba9876543210ULL;
    const double ask = static_cast<double>(wireBytes(
            peer::AskPermit{peer::AskKind::Home, any, any, any, any, any, 4000000000U, 30}));
    const double answer = static_cast<double>(wireBytes(
            peer::PermitAnswer{any, peer::PermitResult::Granted, {{4000000000U, 1}}, 1500, 30}));
    const double redirect = static_cast<double>(wireBytes(
            peer::PermitAnswer{any, peer::PermitResult::Redirected,
                               std::vector<peer::Suggestion>(5, {4000000000U, 1}), 1500, 30}));
    const double back =
            static_cast<double>(wireBytes(peer::GiveBack{any, any, peer::Observed::Served}));
    const double renew = static_cast<double>(wireBytes(peer::Renew{any, {{any, any, any}}}));
    const double placed =
            static_cast<double>(wireBytes(peer::Placed{any, any, 4000000000U, 4000000000U, false}));
    report.row("ask", {{"B", ask}});
    report.row("answer", {{"B", answer}});
    report.row("answer that redirects", {{"B", redirect}});
    report.row("return", {{"B", back}});
    report.row("renewal of one permit", {{"B", renew}});
    report.row("where a chat was placed", {{"B", placed}});
    report.row("a permit with one ask, in all", {{"B", ask + answer + back}});
    report.row("a permit with a redirect, in all", {{"B", 2 * ask + redirect + answer + back}});
}

config::Tree treeOf(std::size_t organisations)
{
    config::Update update{.revision = 1,
                          .id = "x",
                          .author = "olga",
                          .at = "2026-01-01T00:00:00Z",
                          .changes = {{"/", "allow-pools", "*"}}};
    for (std::size_t index = 0; index < organisations; ++index) {
        const std::string path = "/organisation-" + std::to_string(index);
        std::string hash = std::to_string(kernel::hashOf(path));
        hash.resize(64, '0');
        update.changes.push_back({path, "api-key-hashes", hash});
        update.changes.push_back({path, "max-in-flight", "40"});
    }
    for (int model = 0; model < 16; ++model) {
        update.changes.push_back(
                {"pool:p" + std::to_string(model), "models", "model-" + std::to_string(model)});
    }
    config::Tree tree = config::applyUpdate(config::emptyTree(), update);
    tree.history.clear();
    return tree;
}

void measureMemory(Report &report)
{
    report.section("memory on the heap");
    {
        const std::size_t before = heapBytes();
        routing::ChatIndex index(65536);
        for (std::uint64_t chat = 0; chat < 65536; ++chat) {
            index.put(chat * 0x9e3779b97f4a7c15ULL, {chat, 1});
        }
        report.row("one chat in the index",
                   {{"B", static_cast<double>(heapBytes() - before) / 65536}});
    }
    {
        const std::size_t before = heapBytes();
        routing::PermitLedger ledger({}, kernel::Instant(), false);
        for (std::uint64_t request = 0; request < 10000; ++request) {
            ledger.ask({request, 1, request % 50}, {20000, 20000, 20000, 0}, kernel::Instant());
        }
        report.row("one permit", {{"B", static_cast<double>(heapBytes() - before) / 10000}});
    }
    for (const std::size_t organisations : {10U, 1500U}) {
        const std::size_t before = heapBytes();
        const config::Tree tree = treeOf(organisations);
        const std::size_t treeBytes = heapBytes() - before;
        const config::EffectiveSettings settings(tree);
        const double both = static_cast<double>(heapBytes() - before);
        report.row("settings of " + std::to_string(organisations) + " organisations",
                   {{"tree kB", static_cast<double>(treeBytes) / 1000},
                    {"with lookups kB", both / 1000},
                    {"JSON kB", static_cast<double>(config::toJson(tree).size()) / 1000},
                    {"work out ms",
                     nanoseconds(
                             [&](std::uint64_t) { const config::EffectiveSettings again(tree); }, 3)
                             / 1e6}});
    }
}

void timeCodecs(Report &report)
{
    report.section("time of messages");
    const peer::PeerKey key{1};
    const peer::Message ask = peer::AskPermit{peer::AskKind::Home, 1, 2, 3, 4, 5, 6, 7};
    const peer::Bytes sealed = peer::seal(peer::encode(ask), key);
    report.row("ask out",
               {{"us", nanoseconds([&](std::uint64_t) { peer::seal(peer::encode(ask), key); }, 5000)
                               / 1000}});
    report.row("ask in", {{"us", nanoseconds(
                                         [&](std::uint64_t) {
                                             peer::decode(*peer::open(sealed, std::span(&key, 1)));
                                         },
                                         5000)
                                         / 1000}});
    peer::Heartbeat beat;
    for (std::uint64_t box = 0; box < 5; ++box) {
        beat.states.push_back(boxState(box));
    }
    for (std::uint32_t box = 0; box < 37; ++box) {
        beat.ages.push_back({4000000000U + box, 4});
    }
    const peer::Bytes sealedBeat = peer::seal(peer::encode(beat), key);
    report.row(
            "heartbeat out",
            {{"us", nanoseconds([&](std::uint64_t) { peer::seal(peer::encode(beat), key); }, 2000)
                            / 1000}});
    report.row("heartbeat in",
               {{"us", nanoseconds(
                               [&](std::uint64_t) {
                                   peer::decode(*peer::open(sealedBeat, std::span(&key, 1)));
                               },
                               2000)
                               / 1000}});
}

void compareRests(Report &report, std::uint64_t seed)
{
    for (const std::size_t boxes : {6, 30}) {
        for (const kernel::Duration rest : {kernel::Duration(300ms), kernel::Duration(3s)}) {
            report.section("rests of " + std::to_string(rest / 1ms) + " ms, "
                           + std::to_string(boxes) + " boxes");
            for (const std::string &way : performance::restWays()) {
                const auto result = performance::runRests({way, boxes, rest, seed});
                report.row(way, {{"served", result.served},
                                 {"turned-away", result.turnedAway},
                                 {"into-rest", result.intoRest},
                                 {"refused-twice", result.refusedTwice},
                                 {"herd", result.herd}});
            }
        }
    }
}

void comparePaces(Report &report, std::uint64_t seed)
{
    constexpr std::uint64_t Seeds = 20;
    for (const std::string load : {"0.2", "0.4", "0.5"}) {
        report.section("pace, load " + load + " of what the servers run, mean of 20 seeds");
        for (const std::string &way : performance::paceWays()) {
            performance::PaceResult sum;
            for (std::uint64_t next = seed; next < seed + Seeds; ++next) {
                const auto one = performance::runPaces({way, std::stod(load), next});
                sum.calmWithin += one.calmWithin / Seeds;
                sum.within += one.within / Seeds;
                sum.p99 += one.p99 / Seeds;
                sum.slowShare += one.slowShare / Seeds;
                sum.backAfter += one.backAfter / Seeds;
            }
            report.row(way, {{"calm-within", sum.calmWithin},
                             {"within", sum.within},
                             {"p99-ms", sum.p99},
                             {"slow-share", sum.slowShare},
                             {"back-after", sum.backAfter}});
        }
    }
}

void compareAdmission(Report &report, std::uint64_t seed)
{
    for (const bool engines : {false, true}) {
        for (const std::size_t boxes : {6, 83, 300}) {
            for (const double load : {1.0, 1.5, 2.0, 5.0}) {
                report.section("admission, " + std::string(engines ? "engines" : "plain service")
                               + ", " + std::to_string(boxes) + " boxes, "
                               + std::to_string(load).substr(0, 3) + " times capacity");
                performance::AdmissionCase what{"", boxes, engines, load, seed};
                const double oracle = performance::oracleInTime(what);
                for (const std::string &way : performance::admissionWays()) {
                    what.way = way;
                    const auto result = performance::runAdmission(what);
                    report.row(way, {{"in-time", result.inTime / oracle},
                                     {"answered", result.answered},
                                     {"rejected", result.rejected},
                                     {"p99-ms", result.p99},
                                     {"least-served", result.leastServed},
                                     {"refused-twice", result.refusedTwice},
                                     {"withdrawn", result.withdrawn},
                                     {"messages/s", result.messages},
                                     {"B/s", result.bytes}});
                }
            }
        }
    }
}

void comparePolicies(Report &report, std::uint64_t seed)
{
    const auto run = [&](const performance::PolicyCase &what, const std::string &name) {
        const auto result = performance::runPolicy(what);
        report.row(name, {{"c", what.loadFactor},
                          {"reuse", result.reuse},
                          {"skew99", result.skew99},
                          {"worst", result.worst},
                          {"over-bound", result.overBound},
                          {"over-grants", result.overGrants},
                          {"refused", result.refused},
                          {"asks", result.asks}});
    };
    for (const double mean : {0.5, 1.0, 2.0}) {
        report.section("floor of the bound, mean load " + std::to_string(mean).substr(0, 3)
                       + ", c = 1.5");
        for (const std::uint32_t floor : {1U, 2U, 3U, 4U}) {
            run({.policy = "limereel", .meanLoad = mean, .floor = floor, .seed = seed},
                "floor " + std::to_string(floor));
        }
    }
    for (const double mean : {5.0, 20.0}) {
        report.section("policies, 50 engines, mean load " + std::to_string(static_cast<int>(mean))
                       + ", c = 1.5");
        for (const std::string &policy : performance::policyNames()) {
            run({.policy = policy, .meanLoad = mean, .seed = seed}, policy);
        }
        report.section("c, mean load " + std::to_string(static_cast<int>(mean)));
        for (const double c : {1.1, 1.25, 1.5, 1.75, 2.0}) {
            run({.policy = "limereel", .meanLoad = mean, .loadFactor = c, .seed = seed},
                "c = " + std::to_string(c).substr(0, 4));
        }
        report.section("candidates, mean load " + std::to_string(static_cast<int>(mean)));
        for (const std::size_t candidates : {2U, 3U, 5U, 8U}) {
            run({.policy = "limereel", .meanLoad = mean, .candidates = candidates, .seed = seed},
                std::to_string(candidates) + " candidates");
        }
        report.section("one organisation surges tenfold, mean load "
                       + std::to_string(static_cast<int>(mean)));
        for (const std::string policy : {"random", "least-reported", "two-choices", "limereel"}) {
            run({.policy = policy, .meanLoad = mean, .seed = seed, .surge = 10}, policy);
        }
    }
}

void draw(const Report &report, const std::filesystem::path &folder)
{
    const auto write = [&folder](const char *name, const performance::Plot &plot) {
        const bool drawable = std::ranges::none_of(
                plot.series, [](const auto &series) { return series.points.empty(); });
        if (drawable) {
            std::ofstream(folder / name) << performance::svgOf(plot);
        }
    };
    std::filesystem::create_directories(folder);
    const std::string bytes = "bytes on the wire";
    write("heartbeat-bytes.svg", {"Heartbeats, 6 engines a box",
                                  "boxes a hall",
                                  "bytes a second sent by a box",
                                  {report.series("loads change", bytes, "boxes", "busy B/s"),
                                   report.series("idle", bytes, "boxes", "idle B/s")}});
    write("place-time.svg", {"Time to place a chat",
                             "engines",
                             "microseconds",
                             {report.series("place", "time of decisions", "engines", "us")}});
    write("reuse-by-c.svg", {"Reuse by load factor",
                             "c",
                             "reuse, part of the oracle's",
                             {report.series("mean load 5", "c, mean load 5", "c", "reuse"),
                              report.series("mean load 20", "c, mean load 20", "c", "reuse")}});
    write("skew-by-c.svg", {"Skew by load factor",
                            "c",
                            "greatest load by mean, 99th percentile",
                            {report.series("mean load 5", "c, mean load 5", "c", "skew99"),
                             report.series("mean load 20", "c, mean load 20", "c", "skew99")}});
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app("limereel-bench: figures, no verdicts");
    app.add_flag("--json", options.asJson);
    app.add_option("--seed", options.seed);
    app.add_option("--only", options.only,
                   "decisions, servers, bytes, memory, codecs, policies, rests, pace or "
                   "admission");
    app.add_option("--plots", options.plots, "Folder for SVG files");
    CLI11_PARSE(app, argc, argv);
    Report report(options.asJson);
    const auto wanted = [&](const std::string &name) {
        return options.only.empty() || options.only == name;
    };
    if (wanted("decisions")) {
        timeDecisions(report);
        timeIdentity(report);
    }
    if (wanted("servers")) {
        timeServerChoices(report);
        timeHeartbeats(report);
    }
    if (wanted("codecs")) {
        timeCodecs(report);
    }
    if (wanted("bytes")) {
        countBytes(report, options.seed);
    }
    if (wanted("memory")) {
        measureMemory(report);
    }
    if (wanted("policies")) {
        comparePolicies(report, options.seed);
    }
    if (wanted("rests")) {
        compareRests(report, options.seed);
    }
    if (wanted("pace")) {
        comparePaces(report, options.seed);
    }
    if (wanted("admission")) {
        compareAdmission(report, options.seed);
    }
    if (!options.plots.empty()) {
        draw(report, options.plots);
    }
    report.finish();
    return 0;
}
