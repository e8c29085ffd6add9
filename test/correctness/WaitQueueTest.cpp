// The order in which requests get a place, and which of them can't get one in time.

#include "admission/WaitQueue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>
#include <tuple>
#include <vector>

using namespace limereel;
using namespace limereel::admission;
using kernel::Duration;
using kernel::Instant;

namespace {

Instant at(Duration since)
{
    return Instant(1000s) + since;
}

/** The plain reference: sorts by the page's rules before every grant, and plays the future to find
 * a position. */
struct ReferenceQueue
{
    std::vector<Waiting> waiting;
    /** By organisation: its grants, and when. */
    std::map<std::uint64_t, std::pair<double, Instant>> shares;

    double shareOf(std::uint64_t organisation, Instant now) const
    {
        const auto found = shares.find(organisation);
        if (found == shares.end()) {
            return 0;
        }
        const double age = kernel::seconds(now - found->second.second)
                           / kernel::seconds(WaitQueuePolicy{}.shareHalfLife);
        // Like the queue it counts in units of 2^-20, as sums of other fractions aren't exact.
        return std::floor(found->second.first * std::exp2(-age) * 1048576) / 1048576;
    }

    auto key(const Waiting &item, Instant now) const
    {
        return std::tuple(now > item.inTimeUntil, item.priority, !item.returning,
                          shareOf(item.organisation, now), item.inTimeUntil, item.usefulUntil,
                          item.request);
    }

    Waiting takeNext(Instant now)
    {
        const auto next = std::min_element(waiting.begin(), waiting.end(),
                                           [&](const Waiting &left, const Waiting &right) {
                                               return key(left, now) < key(right, now);
                                           });
        const Waiting taken = *next;
        waiting.erase(next);
        return taken;
    }

    void noteGranted(std::uint64_t organisation, Instant now)
    {
        shares[organisation] = {shareOf(organisation, now) + 1, now};
    }

    /** All requests in the order in which they are granted if none arrives. */
    std::vector<Waiting> future(Instant now) const
    {
        ReferenceQueue copy = *this;
        std::vector<Waiting> order;
        while (!copy.waiting.empty()) {
            order.push_back(copy.takeNext(now));
            copy.noteGranted(order.back().organisation, now);
        }
        return order;
    }

    std::size_t ahead(const Waiting &request, Instant now) const
    {
        ReferenceQueue copy = *this;
        copy.remove(request.request);
        copy.waiting.push_back(request);
        const std::vector<Waiting> order = copy.future(now);
        return static_cast<std::size_t>(std::find(order.begin(), order.end(), request)
                                        - order.begin());
    }

    bool remove(std::uint64_t request)
    {
        return std::erase_if(waiting, [&](const Waiting &item) { return item.request == request; })
               > 0;
    }
};

Waiting randomRequest(std::mt19937_64 &random, std::uint64_t id, Instant now)
{
    const auto wait = Duration(1000 * (random() % 300));
    const auto late = random() % 2 == 0 ? Duration(0) : Duration(1000 * (random() % 1000));
    return {.request = id,
            .organisation = random() % 5,
            .priority = static_cast<std::uint32_t>(random() % 3),
            .returning = random() % 4 == 0,
            .inTimeUntil = now + wait,
            .usefulUntil = now + wait + late};
}

Waiting requestOf(std::uint64_t id, std::uint64_t organisation = 1, Duration inTime = 1s)
{
    return {.request = id,
            .organisation = organisation,
            .inTimeUntil = at(inTime),
            .usefulUntil = at(inTime)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitQueueTest)

// Guards against a criterion that is missing or at the wrong place: each row's first request goes
// before its second by that criterion, though all later criteria say the opposite.
BOOST_AUTO_TEST_CASE(takeNext_twoRequests_earlierCriterionDecides)
{
    struct Row
    {
        const char *name;
        Waiting first;
        Waiting second;
    };
    // The queue has granted organisation 2 a place, and organisation 1 none.
    const Row rows[] = {
            {"in time before late",
             {1, 2, 9, false, at(2s), at(9s)},
             {2, 1, 0, true, at(-1s), at(8s)}},
            {"priority", {1, 2, 0, false, at(2s), at(2s)}, {2, 1, 1, true, at(1s), at(1s)}},
            {"returning", {1, 2, 1, true, at(2s), at(2s)}, {2, 1, 1, false, at(1s), at(1s)}},
            {"share", {1, 1, 1, true, at(2s), at(2s)}, {2, 2, 1, true, at(1s), at(1s)}},
            {"deadline", {2, 1, 1, true, at(1s), at(2s)}, {1, 1, 1, true, at(2s), at(2s)}},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            WaitQueue queue;
            queue.noteGranted(2, at(0s));
            queue.add(row.second);
            queue.add(row.first);
            BOOST_TEST(queue.ahead(row.first, at(0s)) == 0U);
            BOOST_TEST(queue.ahead(row.second, at(0s)) == 1U);
            BOOST_TEST((queue.takeNext(at(0s)) == row.first));
            BOOST_TEST((queue.takeNext(at(0s)) == row.second));
        }
    }
}

// Guards against an order or a position that differs from the rules in any state that the queue can
// get into. The reference sorts anew for each grant.
BOOST_AUTO_TEST_CASE(randomHistories_asTheReference)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            WaitQueue queue;
            ReferenceQueue reference;
            Instant now = at(0s);
            for (std::uint64_t step = 1; step <= 400; ++step) {
                now += Duration(random() % 4 == 0 ? 1000 * (random() % 60) : 0);
                const auto choice = random() % 20;
                if (choice < 11) {
                    const Waiting request = randomRequest(random, 1 + random() % 200, now);
                    BOOST_REQUIRE_EQUAL(queue.ahead(request, now), reference.ahead(request, now));
                    queue.add(request);
                    reference.remove(request.request);
                    reference.waiting.push_back(request);
                } else if (choice < 13) {
                    const std::uint64_t request = 1 + random() % 200;
                    const bool waited = queue.contains(request);
                    BOOST_REQUIRE_EQUAL(queue.remove(request), waited);
                    BOOST_REQUIRE(!queue.contains(request));
                    BOOST_REQUIRE_EQUAL(reference.remove(request), waited);
                } else if (choice < 17) {
                    const auto next = queue.takeNext(now);
                    BOOST_REQUIRE_EQUAL(next.has_value(), !reference.waiting.empty());
                    if (next) {
                        BOOST_REQUIRE((*next == reference.takeNext(now)));
                        queue.noteGranted(next->organisation, now);
                        reference.noteGranted(next->organisation, now);
                    }
                } else if (choice < 18) {
                    const auto last = queue.takeLast(now);
                    BOOST_REQUIRE_EQUAL(last.has_value(), !reference.waiting.empty());
                    if (last) {
                        BOOST_REQUIRE((*last == reference.future(now).back()));
                        reference.remove(last->request);
                    }
                } else {
                    const Duration turn = Duration(1000 * (1 + random() % 50));
                    const auto waitBehind = [&](std::size_t ahead) {
                        return turn * static_cast<std::int64_t>(ahead + 1);
                    };
                    std::vector<Waiting> unservable;
                    std::vector<Waiting> kept;
                    for (const Waiting &item : reference.future(now)) {
                        const bool lost = now + waitBehind(kept.size()) > item.usefulUntil;
                        (lost ? unservable : kept).push_back(item);
                    }
                    reference.waiting = kept;
                    BOOST_REQUIRE((queue.takeUnservable(now, waitBehind) == unservable));
                }
                BOOST_REQUIRE_EQUAL(queue.size(), reference.waiting.size());
                BOOST_REQUIRE_EQUAL(queue.inTime(now), std::count_if(reference.waiting.begin(),
                                                                     reference.waiting.end(),
                                                                     [&](const Waiting &item) {
                                                                         return now
                                                                                <= item.inTimeUntil;
                                                                     }));
            }
        }
    }
}

// Guards against a position that counts all requests of an organisation with a slightly smaller
// share, though grants alternate: the request would be refused without need.
BOOST_AUTO_TEST_CASE(ahead_otherOrganisationHasManyWaiting_countsOnlyItsTurns)
{
    WaitQueue queue;
    queue.noteGranted(1, at(0s));
    for (std::uint64_t request = 1; request <= 100; ++request) {
        queue.add(requestOf(request, 2));
    }
    // Organisation 2 catches up with one grant, and the tie goes to the earlier deadline.
    BOOST_TEST(queue.ahead(requestOf(200, 1, 500ms), at(0s)) == 1U);
    BOOST_TEST(queue.ahead(requestOf(200, 1, 1500ms), at(0s)) == 2U);
}

// Guards against an organisation that stays behind for a burst that is long past.
BOOST_AUTO_TEST_CASE(noteGranted_longAgo_isForgotten)
{
    WaitQueue queue;
    for (int grant = 0; grant < 1000; ++grant) {
        queue.noteGranted(1, at(0s));
    }
    queue.noteGranted(2, at(301s));
    queue.add(requestOf(1, 1, 310s));
    queue.add(requestOf(2, 2, 305s));
    BOOST_TEST(queue.takeNext(at(301s))->request == 1U);
}

// Guards against a request that is counted twice after a repeated ask.
BOOST_AUTO_TEST_CASE(add_sameRequestTwice_isReplaced)
{
    WaitQueue queue;
    queue.add(requestOf(1, 1, 1s));
    queue.add(requestOf(1, 1, 2s));
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST((queue.takeNext(at(0s)) == requestOf(1, 1, 2s)));
    BOOST_TEST(!queue.takeNext(at(0s)).has_value());
}

// Guards against a queue without bound.
BOOST_AUTO_TEST_CASE(full_atTheBound)
{
    WaitQueue queue({.most = 3});
    for (std::uint64_t request = 1; request <= 3; ++request) {
        BOOST_TEST(!queue.full());
        queue.add(requestOf(request));
    }
    BOOST_TEST(queue.full());
    BOOST_TEST(queue.takeLast(at(0s))->request == 3U);
    BOOST_TEST(!queue.full());
}

// Guards against refusals of requests that get a place once the unservable ones before them are
// gone.
BOOST_AUTO_TEST_CASE(takeUnservable_unservableAhead_doesNotCountForThoseBehind)
{
    WaitQueue queue;
    for (std::uint64_t request = 1; request <= 10; ++request) {
        queue.add(requestOf(request, 1, 50ms));
    }
    queue.add(requestOf(11, 1, 200ms));
    const auto turns = [](std::size_t ahead) {
        return 100ms * static_cast<std::int64_t>(ahead + 1);
    };
    BOOST_TEST(queue.takeUnservable(at(0s), turns).size() == 10U);
    BOOST_TEST(queue.contains(11));
}

// Guards against a request that stays after its time because nothing else happens.
BOOST_AUTO_TEST_CASE(nextLapse_objectiveThenUse_namesTheNextOne)
{
    WaitQueue queue;
    BOOST_TEST(!queue.nextLapse(at(0s)).has_value());
    queue.add({.request = 1, .inTimeUntil = at(1s), .usefulUntil = at(3s)});
    queue.add({.request = 2, .inTimeUntil = at(2s), .usefulUntil = at(2s)});
    BOOST_TEST((*queue.nextLapse(at(0s)) == at(1s) + Duration(1)));
    BOOST_TEST((*queue.nextLapse(at(1s) + Duration(1)) == at(2s) + Duration(1)));
    queue.remove(2);
    BOOST_TEST((*queue.nextLapse(at(1s) + Duration(1)) == at(3s) + Duration(1)));
}

// Guards against requests that are lost when the owner stops.
BOOST_AUTO_TEST_CASE(takeAll_returnsAllAndEmpties)
{
    WaitQueue queue;
    queue.add(requestOf(1));
    queue.add(requestOf(2));
    BOOST_TEST(queue.takeAll().size() == 2U);
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
