// Compares rendezvous order, load bound, chat index and placement each with a plain reference.

#include "membership/Ownership.h"
#include "membership/Rendezvous.h"
#include "routing/ChatIndex.h"
#include "routing/ChatToken.h"
#include "routing/LoadBound.h"
#include "routing/LoadEstimate.h"
#include "routing/LoadTable.h"
#include "routing/PermitHistory.h"
#include "routing/Placement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <random>

using namespace limereel;
using routing::Candidate;
using routing::ChatIndex;
using routing::Holder;

namespace {

std::vector<std::uint64_t> members(std::size_t count)
{
    std::vector<std::uint64_t> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(kernel::hashOf("member-" + std::to_string(index)));
    }
    return result;
}

/** The naive index: a list searched from the front, whose last entry is dropped. */
class NaiveIndex
{
public:
    explicit NaiveIndex(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    std::optional<Holder> find(std::uint64_t chat)
    {
        const auto position =
                std::ranges::find(entries_, chat, &std::pair<std::uint64_t, Holder>::first);
        if (position == entries_.end()) {
            return std::nullopt;
        }
        const auto entry = *position;
        entries_.erase(position);
        entries_.push_front(entry);
        return entry.second;
    }

    void put(std::uint64_t chat, Holder holder)
    {
        std::erase_if(entries_, [chat](const auto &entry) { return entry.first == chat; });
        entries_.push_front({chat, holder});
        entries_.resize(std::min(entries_.size(), capacity_));
    }

private:
    std::size_t capacity_;
    std::deque<std::pair<std::uint64_t, Holder>> entries_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutingTest)

BOOST_AUTO_TEST_CASE(rendezvousOrder_anyCount_isPrefixOfFullOrder)
{
    const auto all = members(50);
    for (std::uint64_t key = 1; key < 200; ++key) {
        const auto full = membership::rendezvousOrder(key, all, all.size());
        const auto first = membership::rendezvousOrder(key, all, 5);
        BOOST_TEST(std::equal(first.begin(), first.end(), full.begin()));
        std::vector<std::size_t> sorted = full;
        std::ranges::sort(sorted);
        BOOST_TEST((std::ranges::adjacent_find(sorted) == sorted.end()));
    }
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_memberLost_movesOnlyItsKeys)
{
    const auto all = members(20);
    auto fewer = all;
    fewer.erase(fewer.begin() + 7);
    for (std::uint64_t key = 1; key < 2000; ++key) {
        const auto before = membership::rendezvousOwner(key, all);
        const auto after = membership::rendezvousOwner(key, fewer);
        BOOST_TEST((before == after || before == all[7]));
    }
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_manyKeys_spreadsEvenly)
{
    const auto all = members(10);
    std::map<std::uint64_t, int> counts;
    constexpr int Keys = 20000;
    for (int key = 0; key < Keys; ++key) {
        ++counts[*membership::rendezvousOwner(kernel::hashOf(std::to_string(key)), all)];
    }
    for (const auto &[member, count] : counts) {
        BOOST_TEST(std::abs(count - Keys / 10) < Keys / 100);
    }
}

BOOST_AUTO_TEST_CASE(rendezvousOrder_noMembersOrNoCount_isEmpty)
{
    BOOST_TEST(membership::rendezvousOrder(1, {}, 5).empty());
    BOOST_TEST(membership::rendezvousOrder(1, members(3), 0).empty());
    BOOST_TEST(!membership::rendezvousOwner(1, {}).has_value());
}

BOOST_AUTO_TEST_CASE(rankedOwners_firstFails_secondTakesOver)
{
    const auto all = members(6);
    for (std::uint64_t resource = 1; resource < 100; ++resource) {
        const auto ranked = membership::rankedOwners(resource, all, 3);
        auto rest = all;
        std::erase(rest, ranked[0]);
        BOOST_TEST(*membership::ownerOf(resource, rest) == ranked[1]);
    }
}

BOOST_AUTO_TEST_CASE(loadBound_anyLoad_isTheMultipleRoundedUp)
{
    for (std::uint64_t load = 0; load < 300; load += 7) {
        for (const double c : {1.05, 1.25, 1.5, 2.0}) {
            const double multiple = c * static_cast<double>(load + 1) / 50;
            const std::uint32_t bound = routing::loadBound(c, load, 50);
            BOOST_TEST(bound >= multiple);
            BOOST_TEST((bound == 1 || bound - 1 < multiple));
        }
    }
    BOOST_TEST(routing::loadBound(1.25, 249, 50) == 7U);
    BOOST_TEST(routing::loadBound(1.25, 0, 0) == 1U);
}

BOOST_AUTO_TEST_CASE(estimateInFlight_ownLoadChanged_othersAreAssumedToChangeAlike)
{
    using routing::OwnerReport;
    const std::vector<OwnerReport> others = {{.inFlight = 30, .engines = 20, .ownAtReport = 10},
                                             {.inFlight = 10, .engines = 20, .ownAtReport = 20}};
    BOOST_TEST(routing::estimateInFlight(20, 10, others) == 20U + 50U + 10U);
    BOOST_TEST(routing::estimateInFlight(0, 10, others) == 0U + 10U + 0U);
    BOOST_TEST(routing::estimateInFlight(0, 0, others) == 40U);
    BOOST_TEST(routing::estimateInFlight(7, 3, {}) == 7U);
}

BOOST_AUTO_TEST_CASE(loadTable_reportsAndHeartbeats_newerOneIsExtrapolated)
{
    const auto at = [](int milliseconds) {
        return kernel::Instant(kernel::Duration(std::chrono::milliseconds(milliseconds)));
    };
    constexpr membership::ShortHash Model = 7;
    constexpr std::uint64_t Other = 99;
    routing::LoadTable table(1s);
    const std::vector<routing::KnownLoad> engines = {
            {1, 6, 0}, {2, 4, 0}, {3, 5, Other}, {4, 5, Other}};
    // No past heartbeat is known, so the whole own load counts as gained.
    BOOST_TEST(table.inFlight(Model, engines, at(5000)) == 10U + 10U + 10U);
    table.noteHeartbeat({{1, 5}, {2, 3}}, 1);
    BOOST_TEST(table.inFlight(Model, engines, at(5000)) == 10U + 10U + 2U);
    table.noteReport(Other, Model, 20, 9, at(4500));
    BOOST_TEST(table.inFlight(Model, engines, at(5000)) == 10U + 20U + 1U);
    // A report older than the heartbeats no longer counts, nor does one on another model.
    BOOST_TEST(table.inFlight(Model, engines, at(5600)) == 10U + 10U + 2U);
    table.noteReport(Other, Model + 1, 70, 9, at(5600));
    BOOST_TEST(table.inFlight(Model, engines, at(5600)) == 10U + 10U + 2U);
}

// Compared with a search through all entries ever noted.
BOOST_AUTO_TEST_CASE(permitHistory_randomHeartbeats_agreesWithTheWholeHistory)
{
    std::mt19937_64 random(17);
    constexpr kernel::Duration Kept = 2s;
    routing::PermitHistory history(Kept);
    std::vector<std::pair<kernel::Instant, std::uint32_t>> all;
    kernel::Instant now(1000s);
    for (int heartbeat = 0; heartbeat < 3000; ++heartbeat) {
        // Mostly on time, occasionally after a pause.
        now += 1ms * (random() % 20 == 0 ? 900 : 10 + random() % 100);
        const auto permits = static_cast<std::uint32_t>(random() % 30);
        history.note({{7, permits}}, now);
        all.emplace_back(now, permits);
        const kernel::Instant since = now - 1ms * (random() % 2000);
        std::uint32_t expected = 0;
        for (auto entry = all.rbegin(); entry != all.rend(); ++entry) {
            expected = std::max(expected, entry->second);
            if (entry->first < since) {
                break;
            }
        }
        BOOST_REQUIRE(history.maxPermitsSince(7, since) == expected);
        BOOST_REQUIRE(history.maxPermitsSince(8, since) == 0U);
    }
}

BOOST_AUTO_TEST_CASE(chatIndex_randomHistory_agreesWithNaiveList)
{
    std::mt19937_64 random(11);
    ChatIndex index(40);
    NaiveIndex naive(40);
    for (int step = 0; step < 20000; ++step) {
        const std::uint64_t chat = random() % 80;
        if (random() % 2 == 0) {
            const Holder holder{random() % 9, random() % 3};
            index.put(chat, holder);
            naive.put(chat, holder);
        } else {
            BOOST_TEST((index.find(chat) == naive.find(chat)));
        }
        BOOST_TEST(index.size() <= 40U);
    }
}

BOOST_AUTO_TEST_CASE(chatIndex_noCapacity_holdsNothing)
{
    ChatIndex index(0);
    index.put(1, {2, 3});
    BOOST_TEST(!index.find(1).has_value());
}

struct PoolFixture
{
    PoolFixture()
    {
        for (const std::uint64_t engine : members(8)) {
            pool.push_back({engine, 1, 2});
        }
        candidates = routing::candidatesFor(99, pool, 3);
    }

    Candidate &inPool(std::uint64_t engine)
    {
        return *std::ranges::find(pool, engine, &Candidate::engine);
    }

    std::vector<Candidate> pool;
    std::vector<Candidate> candidates;
    routing::PoolView view{.inFlight = 16, .engines = 8, .bound = 3};
};

BOOST_FIXTURE_TEST_CASE(placeChat_coldAndFirstIsQuiet_staysOnFirst, PoolFixture)
{
    const auto order = routing::placeChat(candidates, std::nullopt, pool, view);
    BOOST_TEST(order.front().engine == candidates.front().engine);
    BOOST_TEST((order.front().reason == routing::Reason::First));
}

BOOST_FIXTURE_TEST_CASE(placeChat_coldAndFirstIsBusy_goesToLeastLoaded, PoolFixture)
{
    candidates[0].inFlight = 3;
    candidates[1].inFlight = 2;
    candidates[2].inFlight = 1;
    const auto order = routing::placeChat(candidates, std::nullopt, pool, view);
    BOOST_TEST(order.front().engine == candidates[2].engine);
}

BOOST_FIXTURE_TEST_CASE(placeChat_warmAndHolderHasCapacity_goesToHolder, PoolFixture)
{
    const Holder holder{pool[5].engine, 1};
    const auto order = routing::placeChat(candidates, holder, pool, view);
    BOOST_TEST(order.front().engine == pool[5].engine);
    BOOST_TEST((order.front().reason == routing::Reason::Holder));
}

BOOST_FIXTURE_TEST_CASE(placeChat_holderRestarted_countsAsCold, PoolFixture)
{
    const Holder holder{pool[5].engine, 7};
    const auto order = routing::placeChat(candidates, holder, pool, view);
    BOOST_TEST((order.front().reason == routing::Reason::First));
}

BOOST_FIXTURE_TEST_CASE(placeChat_holderFull_isNotSuggestedFirst, PoolFixture)
{
    inPool(pool[5].engine).inFlight = 3;
    const auto order = routing::placeChat(candidates, Holder{pool[5].engine, 1}, pool, view);
    BOOST_TEST(order.front().engine != pool[5].engine);
}

BOOST_FIXTURE_TEST_CASE(placeChat_anyCase_namesEachEngineOnce, PoolFixture)
{
    auto order = routing::placeChat(candidates, Holder{candidates[1].engine, 1}, pool, view);
    std::ranges::sort(order, {}, &routing::Choice::engine);
    BOOST_TEST((std::ranges::adjacent_find(order, {}, &routing::Choice::engine) == order.end()));
}

BOOST_AUTO_TEST_CASE(chatKey_sameChatOfTwoOrganisations_differs)
{
    const kernel::ModelId model("small");
    BOOST_TEST(kernel::chatKey(kernel::OrganisationId("/a"), model, "chat")
               != kernel::chatKey(kernel::OrganisationId("/b"), model, "chat"));
}

BOOST_AUTO_TEST_CASE(chatToken_ofAnotherChatOrKeyOrChanged_isRefused)
{
    const peer::PeerKey key{1};
    const peer::PeerKey other{2};
    const std::string token = routing::makeChatToken(5, {77, 3}, key);
    const std::array<peer::PeerKey, 2> both = {other, key};
    BOOST_TEST((routing::readChatToken(token, 5, both) == Holder{77, 3}));
    BOOST_TEST(!routing::readChatToken(token, 6, both).has_value());
    BOOST_TEST(!routing::readChatToken(token, 5, std::span(&other, 1)).has_value());
    for (std::size_t position = 0; position < token.size(); ++position) {
        std::string changed = token;
        changed[position] = changed[position] == '0' ? '1' : '0';
        BOOST_TEST(!routing::readChatToken(changed, 5, both).has_value());
    }
    BOOST_TEST(!routing::readChatToken("", 5, both).has_value());
    BOOST_TEST(!routing::readChatToken("zz", 5, both).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
