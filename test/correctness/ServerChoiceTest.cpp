// Compares the choice among many backend servers with the same rule written as simple loops over
// all servers, for seeded histories of listings, requests, failures and silences.

#include "forward/ServerTable.h"
#include "kernel/decisions/Name.h"
#include "membership/Rendezvous.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>
#include <set>

using namespace limereel;
using namespace limereel::forward;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

/** The state of a server for the reference implementation. */
struct ReferenceServer
{
    ListedServer listed;
    std::uint32_t own = 0;
    double others = 0;
    kernel::Instant othersAt;
    std::uint32_t failuresInARow = 0;
    kernel::Instant suspectedUntil;
    kernel::Instant fullUntil;
    double errors = 0;
    kernel::Instant errorsAt;
    kernel::Instant lastHeard;
    kernel::Instant noResponseAt;
    kernel::Instant dueSince;
    double pace = 0; ///< Smoothed time of an answer, in seconds.
    kernel::Instant pacedAt;
};

double faded(double value, kernel::Duration age, double halfLife)
{
    const double left = value * std::exp2(-kernel::seconds(age) / halfLife);
    return left < 0.01 ? 0 : left;
}

/** The reference implementation, by loops over all servers. Without stalls and holders of parts. */
class ReferenceTable
{
public:
    explicit ReferenceTable(ServerPolicy policy)
        : policy_(std::move(policy))
    {
    }

    double load(const ReferenceServer &server, kernel::Instant now) const
    {
        return server.own + faded(server.others, now - server.othersAt, 1.5);
    }

    double errors(const ReferenceServer &server, kernel::Instant now) const
    {
        return faded(server.errors, now - server.errorsAt, 4);
    }

    bool silent(const ReferenceServer &server, kernel::Instant now) const
    {
        const auto since = std::max(server.lastHeard, server.dueSince);
        const auto most = server.listed.engine ? policy_.engineSilence : policy_.silence;
        return server.own > 0 && now - since > most;
    }

    bool isSuspected(const ReferenceServer &server, kernel::Instant now) const
    {
        return now < server.suspectedUntil || (server.failuresInARow > 0 && server.own > 0)
               || silent(server, now);
    }

    /** Whether so many servers of the hall are unresponsive that the network path to it is
     * suspected. */
    bool hallSuspected(const std::string &hall, kernel::Instant now) const
    {
        const kernel::Instant heard = heard_.contains(hall) ? heard_.at(hall) : kernel::Instant();
        std::size_t quiet = 0;
        for (const auto &[id, server] : servers) {
            const bool unanswered = now - server.noResponseAt < 10s && server.noResponseAt > heard;
            const bool nothing = now - heard > policy_.silence && silent(server, now);
            quiet += server.listed.hall == hall && (unanswered || nothing) ? 1 : 0;
        }
        return quiet >= policy_.quietServers;
    }

    bool hallClosed(const std::string &hall, kernel::Instant now) const
    {
        const auto last = attempts.find(hall);
        return last != attempts.end() && now - last->second < policy_.hallTrial
               && hallSuspected(hall, now);
    }

    std::vector<const ReferenceServer *> usable(const ServerRequirements &requirements,
                                                kernel::Instant now) const
    {
        std::vector<const ReferenceServer *> listed;
        double errorSum = 0;
        for (const auto &[id, server] : servers) {
            const bool tried =
                    std::ranges::find(requirements.tried, id) != requirements.tried.end();
            if (server.listed.service == requirements.service && !server.listed.leaving && !tried
                && !drained.contains(server.listed.hall)) {
                listed.push_back(&server);
                errorSum += errors(server, now);
            }
        }
        const double mean = listed.empty() ? 0 : errorSum / static_cast<double>(listed.size());
        std::vector<const ReferenceServer *> good;
        std::vector<const ReferenceServer *> fair;
        for (const ReferenceServer *server : listed) {
            if (isSuspected(*server, now) || hallClosed(server->listed.hall, now)) {
                continue;
            }
            fair.push_back(server);
            if (errors(*server, now) < mean + 0.22 && now >= server->fullUntil) {
                good.push_back(server);
            }
        }
        return !good.empty() ? good : !fair.empty() ? fair : listed;
    }

    double cost(const ReferenceServer &server, kernel::Instant now) const
    {
        return load(server, now) / std::max<std::uint32_t>(1, server.listed.slots)
               + errors(server, now) + (server.listed.hall == policy_.hall ? 0 : 0.25);
    }

    /** The share of failed answers beyond the one that cost() counts, in a retry. */
    double retryCost(const ReferenceServer &server, kernel::Instant now) const
    {
        return 9 * errors(server, now);
    }

    void noteAnswerTime(ReferenceServer &server, kernel::Duration taken, kernel::Instant now)
    {
        if (server.listed.engine) {
            return;
        }
        const kernel::Duration age = now - server.pacedAt;
        const double kept =
                age < 12s && server.pace > 0 ? std::exp2(-1.0 / 3 - kernel::seconds(age) / 3) : 0;
        server.pace = server.pace * kept + kernel::seconds(taken) * (1 - kept);
        server.pacedAt = now;
    }

    /** How many times slower a server is than the best of \a among; 1: not notably. */
    double slowness(const ReferenceServer &server,
                    const std::vector<const ReferenceServer *> &among, kernel::Instant now) const
    {
        double best = 1e9;
        for (const ReferenceServer *other : among) {
            const bool known = other->pace > 0 && now - other->pacedAt < 12s;
            best = known ? std::min(best, other->pace) : best;
        }
        const kernel::Duration age = now - server.pacedAt;
        const double current = age < 12s ? server.pace * std::exp2(-kernel::seconds(age) / 3) : 0;
        return current < 2 * best ? 1 : current / best;
    }

    /** The id of the server for a plain service that is short; empty if there is none. */
    std::string inOrder(const ServerRequirements &requirements, kernel::Instant now) const
    {
        const auto entries = usable(requirements, now);
        std::map<std::pair<bool, std::uint64_t>, std::string> order;
        for (const ReferenceServer *server : entries) {
            const std::string &id = server->listed.id;
            if (std::ranges::find(requirements.full, id) == requirements.full.end()) {
                const auto weight =
                        membership::rendezvousWeight(requirements.order, server->listed.hash());
                order[{slowness(*server, entries, now) > 1, ~weight}] = id;
            }
        }
        return order.empty() ? "" : order.begin()->second;
    }

    /** The id of the server for a prompt; empty if there is none. */
    std::string forPrompt(const ServerRequirements &requirements, kernel::Instant now) const
    {
        const auto entries = usable(requirements, now);
        double sum = 0;
        std::vector<std::uint64_t> hashes;
        for (const ReferenceServer *server : entries) {
            sum += load(*server, now);
            hashes.push_back(server->listed.hash());
        }
        const double bound = 2 * sum / static_cast<double>(entries.size()) * 0.85 + 3;
        const std::uint64_t key = sharedPartsKey(*requirements.prompt);
        for (const std::size_t position :
             membership::rendezvousOrder(key, hashes, entries.size())) {
            if (load(*entries[position], now) <= bound) {
                return entries[position]->listed.id;
            }
        }
        return {};
    }

    void noteFailure(ReferenceServer &server, Failure failure, kernel::Instant now)
    {
        if (failure == Failure::Full) {
            server.fullUntil = now + 150ms;
            return;
        }
        server.noResponseAt = failure == Failure::NoResponse ? now : server.noResponseAt;
        server.errors = errors(server, now) * 0.88 + 0.12;
        server.errorsAt = now;
        if (failure != Failure::Error && failure != Failure::Lost) {
            const std::uint32_t doublings = std::min(server.failuresInARow++, 8U);
            server.suspectedUntil =
                    now
                    + std::min<kernel::Duration>(policy_.firstSuspicion * (1U << doublings), 4s);
        }
    }

    void noteSuccess(ReferenceServer &server, kernel::Instant now)
    {
        server.failuresInARow = 0;
        server.suspectedUntil = now;
        server.errors = errors(server, now) * 0.88;
        server.errorsAt = now;
    }

    void noteHeard(ReferenceServer &server, kernel::Instant now)
    {
        server.lastHeard = now;
        heard_[server.listed.hall] = now;
    }

    std::map<std::string, ReferenceServer> servers;
    std::map<std::string, kernel::Instant> attempts;
    std::set<std::string> drained;

private:
    ServerPolicy policy_;
    std::map<std::string, kernel::Instant> heard_;
};

/** One history, applied to both implementations. */
class History
{
public:
    explicit History(std::uint64_t seed, bool comparePaces = false)
        : random_(seed)
        , policy_{.hall = "a", .comparePaces = comparePaces}
    {
    }

    void play()
    {
        const std::size_t servers = 5 + random_() % 60;
        for (std::size_t count = 0; count < servers; ++count) {
            list(std::to_string(count));
        }
        for (int step = 0; step < 300; ++step) {
            now_ += std::chrono::milliseconds(random_() % 60);
            change();
            if (policy_.comparePaces) {
                noteAnswerTime();
            }
            table_.noteAwake(now_);
            compare();
        }
    }

private:
    void list(const std::string &id)
    {
        ListedServer made;
        made.id = id;
        made.service = random_() % 4 == 0 ? "plain" : "pool";
        made.engine = made.service == "pool";
        made.hall = std::string(1, static_cast<char>('a' + random_() % 3));
        made.slots = made.engine ? 64 : 6;
        made.leaving = random_() % 10 == 0;
        table_.put(made, now_);
        reference_.servers[id].listed = made;
    }

    ReferenceServer &any()
    {
        auto place = reference_.servers.begin();
        std::advance(place, static_cast<std::ptrdiff_t>(random_() % reference_.servers.size()));
        return place->second;
    }

    void noteAnswerTime()
    {
        ReferenceServer &server = any();
        // Every fifth server is slow.
        const bool slow = server.listed.hash() % 5 == 0;
        const kernel::Duration taken =
                std::chrono::milliseconds(10 + random_() % 20) * (slow ? 8 : 1);
        reference_.noteAnswerTime(server, taken, now_);
        table_.noteAnswerTime(server.listed.id, taken, now_);
    }

    void change()
    {
        ReferenceServer &server = any();
        const std::string id = server.listed.id;
        switch (random_() % 12) {
        case 0:
            list(random_() % 2 == 0 ? id : "new-" + std::to_string(random_() % 20));
            break;
        case 1:
            if (reference_.servers.size() > 3) {
                table_.remove(id);
                reference_.servers.erase(id);
            }
            break;
        case 2:
            reference_.drained =
                    random_() % 4 == 0 ? std::set<std::string>{"b"} : std::set<std::string>();
            table_.setDrainedHalls(reference_.drained);
            break;
        case 3:
        case 4:
            server.dueSince = server.own == 0 ? now_ : server.dueSince;
            ++server.own;
            table_.begin(id, nullptr, now_);
            break;
        case 5:
            server.own -= server.own > 0 ? 1 : 0;
            table_.end(id);
            break;
        case 6:
            server.others = static_cast<double>(random_() % 20);
            server.othersAt = now_;
            table_.setOthers(id, server.others, now_);
            break;
        case 7:
            reference_.attempts[server.listed.hall] = now_;
            table_.noteAttempt(id, now_);
            break;
        case 8:
            reference_.noteHeard(server, now_);
            table_.noteHeard(id, now_);
            break;
        case 9:
            reference_.noteSuccess(server, now_);
            table_.noteSuccess(id, now_);
            break;
        default:
            const auto failure = static_cast<Failure>(random_() % 6);
            reference_.noteFailure(server, failure, now_);
            table_.noteFailure(id, failure, now_);
        }
    }

    void compare()
    {
        Prompt prompt;
        prompt.model = "m";
        prompt.parts = {{random_() % 50, 100}, {7, 10}};
        ServerRequirements requirements;
        requirements.service = "pool";
        requirements.prompt = &prompt;
        if (random_() % 3 == 0) {
            requirements.tried = {any().listed.id, any().listed.id};
        }
        const auto engines = reference_.usable(requirements, now_);
        const auto engine = table_.choose(requirements, now_, random_);
        BOOST_REQUIRE(engine.has_value() == !engines.empty());
        if (engine && engine->server.id != reference_.forPrompt(requirements, now_)) {
            // All are over the bound; the least loaded one is chosen.
            BOOST_REQUIRE(reference_.forPrompt(requirements, now_).empty());
        }
        requirements.service = "plain";
        requirements.prompt = nullptr;
        comparePlain(requirements);
        if (policy_.comparePaces) {
            compareOrder(requirements);
        }
        BOOST_REQUIRE(table_.ownLoad("pool") + table_.ownLoad("plain") == ownLoad());
        const ReferenceServer &one = any();
        BOOST_REQUIRE(table_.isSuspected(one.listed.id, now_) == reference_.isSuspected(one, now_));
    }

    void comparePlain(const ServerRequirements &requirements)
    {
        const auto usable = reference_.usable(requirements, now_);
        const auto choice = table_.choose(requirements, now_, random_);
        BOOST_REQUIRE(choice.has_value() == !usable.empty());
        if (!choice) {
            return;
        }
        const ReferenceServer &chosen = reference_.servers.at(choice->server.id);
        BOOST_REQUIRE(std::ranges::find(usable, &chosen) != usable.end());
        const bool retry = policy_.comparePaces && !requirements.tried.empty();
        const auto cost = [&](const ReferenceServer &server) {
            return reference_.cost(server, now_) + (retry ? reference_.retryCost(server, now_) : 0);
        };
        for (const ReferenceServer *other : usable) {
            BOOST_REQUIRE(cost(chosen) <= cost(*other) + extraTime(*other, usable) + 1e-9);
        }
    }

    /** The extra time of a slow server, which may count in its cost or not. */
    double extraTime(const ReferenceServer &server,
                     const std::vector<const ReferenceServer *> &usable) const
    {
        if (!policy_.comparePaces) {
            return 0;
        }
        // The table rounds to microseconds.
        return (reference_.slowness(server, usable, now_) - 1) * 1.001 / server.listed.slots;
    }

    void compareOrder(ServerRequirements requirements)
    {
        requirements.order = 1 + random_() % 1000;
        requirements.full = {any().listed.id, any().listed.id};
        const auto choice = table_.choose(requirements, now_, random_);
        const std::string expected = reference_.inOrder(requirements, now_);
        BOOST_REQUIRE((choice ? choice->server.id : "") == expected);
    }

    std::uint32_t ownLoad() const
    {
        std::uint32_t sum = 0;
        for (const auto &[id, server] : reference_.servers) {
            sum += server.own;
        }
        return sum;
    }

    std::mt19937_64 random_;
    kernel::Instant now_ = at(0s);
    ServerPolicy policy_;
    ServerTable table_{policy_};
    ReferenceTable reference_{policy_};
};

/** A table of servers with random hashes. */
class Table
{
public:
    explicit Table(std::size_t servers)
        : records(servers)
    {
        std::mt19937_64 random(3);
        for (ServerRecord &record : records) {
            record.hash = random();
            hashes.push_back(record.hash);
            table.insert(record);
        }
    }

    std::vector<ServerRecord> records;
    std::vector<std::uint64_t> hashes;
    RendezvousTable table;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerChoiceTest)

BOOST_AUTO_TEST_CASE(choose_seededHistories_matchesTheReference)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            History(seed).play();
        }
    }
}

// Guards against servers that drop out of the count of tracked and untracked ones because of their
// pace, and against another order of servers than the one that all boxes have.
BOOST_AUTO_TEST_CASE(choose_pacesComparedInSeededHistories_matchesTheReference)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            History(seed, true).play();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServerOrderTest)

BOOST_AUTO_TEST_CASE(next_allServers_isTheRendezvousOrder)
{
    for (const std::size_t servers : {0U, 1U, 15U, 16U, 17U, 700U}) {
        const Table all(servers);
        for (std::uint64_t key = 1; key < 20; ++key) {
            CandidateOrder order(all.table, key, [](const ServerRecord &) { return true; });
            for (const std::size_t row : membership::rendezvousOrder(key, all.hashes, servers)) {
                BOOST_REQUIRE(order.next() == &all.records[row]);
            }
            BOOST_REQUIRE(order.next() == nullptr);
        }
    }
}

BOOST_AUTO_TEST_CASE(next_someServersAreWanted_theOthersAreSkipped)
{
    const Table all(500);
    const auto odd = [](const ServerRecord &record) { return record.hash % 2 == 1; };
    for (std::uint64_t key = 1; key < 20; ++key) {
        CandidateOrder order(all.table, key, odd);
        for (const std::size_t row : membership::rendezvousOrder(key, all.hashes, 500)) {
            if (odd(all.records[row])) {
                BOOST_REQUIRE(order.next() == &all.records[row]);
            }
        }
        BOOST_REQUIRE(order.next() == nullptr);
    }
}

BOOST_AUTO_TEST_CASE(next_serversAddedAndRemoved_isTheOrderOfTheListedOnes)
{
    Table all(100);
    std::mt19937_64 random(4);
    std::set<std::size_t> out;
    for (int change = 0; change < 300; ++change) {
        const std::size_t row = random() % all.records.size();
        if (out.erase(row) > 0) {
            all.table.insert(all.records[row]);
        } else if (out.insert(row).second) {
            all.table.erase(all.records[row]);
        }
        const std::uint64_t key = random() % 3;
        CandidateOrder order(all.table, key, [](const ServerRecord &) { return true; });
        for (const std::size_t there : membership::rendezvousOrder(key, all.hashes, 100)) {
            if (!out.contains(there)) {
                BOOST_REQUIRE(order.next() == &all.records[there]);
            }
        }
        BOOST_REQUIRE(order.next() == nullptr);
    }
}

// Guards against evaluating the condition for all of ten thousand servers several times a request.
// Only servers at the front of the order may be evaluated.
BOOST_AUTO_TEST_CASE(next_tenThousandServers_evaluatesOneOfThem)
{
    const Table all(10000);
    std::size_t asked = 0;
    for (std::uint64_t key = 1; key <= 100; ++key) {
        CandidateOrder order(all.table, key, [&asked](const ServerRecord &) {
            ++asked;
            return true;
        });
        order.next();
    }
    BOOST_TEST(asked == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
