// Who gives way when a box holds as many bytes of requests as it may.

#include "http/ByteBudget.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using limereel::http::ByteBudget;

namespace {

constexpr std::size_t Limit = 100;

struct ByteBudgetFixture
{
    /** A holder; it notes its number when it gives way. */
    std::unique_ptr<ByteBudget::Share> share(int number)
    {
        return std::make_unique<ByteBudget::Share>(budget,
                                                   [this, number] { gaveWay.push_back(number); });
    }

    std::shared_ptr<ByteBudget> budget = std::make_shared<ByteBudget>(Limit);
    std::vector<int> gaveWay;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ByteBudgetTest, ByteBudgetFixture)

BOOST_AUTO_TEST_CASE(resize_thereIsRoom_nobodyGivesWay)
{
    const auto first = share(1);
    const auto second = share(2);
    BOOST_TEST(first->resize(40));
    BOOST_TEST(second->resize(60));
    BOOST_TEST(budget->held() == Limit);
    BOOST_TEST(gaveWay.empty());
}

// Guards against clients that stop short of their end and keep others out.
BOOST_AUTO_TEST_CASE(resize_noRoom_oldestGivesWay)
{
    const auto first = share(1);
    const auto second = share(2);
    const auto third = share(3);
    first->resize(40);
    second->resize(60);
    BOOST_TEST(third->resize(30));
    BOOST_TEST(gaveWay == std::vector<int>{1});
    BOOST_TEST(first->gaveWay());
    BOOST_TEST(!first->resize(1));
    BOOST_TEST(budget->held() == 90U);
}

// Guards against an old request that takes the room of those that are being read.
BOOST_AUTO_TEST_CASE(resize_askerIsOldest_isRefused)
{
    const auto first = share(1);
    const auto second = share(2);
    first->resize(50);
    second->resize(50);
    BOOST_TEST(!first->resize(51));
    BOOST_TEST(gaveWay.empty());
    BOOST_TEST(budget->held() == Limit);
}

// Guards against a request that runs and whose memory is given to another one.
BOOST_AUTO_TEST_CASE(resize_oldestIsKept_nextOldestGivesWay)
{
    const auto first = share(1);
    const auto second = share(2);
    const auto third = share(3);
    first->resize(50);
    first->keep();
    second->resize(50);
    BOOST_TEST(third->resize(50));
    BOOST_TEST(gaveWay == std::vector<int>{2});
    BOOST_TEST(!third->resize(51));
}

// Guards against a single request inside the limits that a small box never serves.
BOOST_AUTO_TEST_CASE(resize_aloneAndLargerThanTheLimit_isHeld)
{
    const auto only = share(1);
    BOOST_TEST(only->resize(10 * Limit));
}

BOOST_AUTO_TEST_CASE(resize_oldestHoldsNothing_staysAndTheNextGivesWay)
{
    const auto first = share(1);
    const auto second = share(2);
    const auto third = share(3);
    second->resize(80);
    third->resize(80);
    BOOST_TEST(gaveWay == std::vector<int>{2});
    BOOST_TEST(first->resize(10));
}

// Guards against an answer without an end that takes the room of all others.
BOOST_AUTO_TEST_CASE(resize_largestGivesWay_smallOldOnesStay)
{
    budget = std::make_shared<ByteBudget>(Limit, limereel::http::GivesWay::Largest);
    const auto first = share(1);
    const auto second = share(2);
    const auto third = share(3);
    first->resize(10);
    second->resize(70);
    BOOST_TEST(third->resize(30));
    BOOST_TEST(gaveWay == std::vector<int>{2});
    BOOST_TEST(!third->resize(91));
    BOOST_TEST(!first->gaveWay());
    BOOST_TEST(budget->held() == 40U);
}

// Guards against bytes that are never given back.
BOOST_AUTO_TEST_CASE(randomHolders_allEnd_nothingIsHeld)
{
    std::mt19937_64 random(7);
    std::vector<std::unique_ptr<ByteBudget::Share>> shares;
    for (int round = 0; round < 20000; ++round) {
        if (random() % 3 == 0) {
            shares.push_back(share(round));
        } else if (!shares.empty()) {
            const std::size_t place = random() % shares.size();
            const std::uint64_t what = random() % 8;
            if (what == 0) {
                shares.erase(shares.begin() + static_cast<std::ptrdiff_t>(place));
            } else if (what == 1) {
                shares[place]->keep();
            } else {
                shares[place]->resize(random() % Limit);
            }
        }
        const bool alone = shares.size() <= 1;
        BOOST_REQUIRE((alone || budget->held() <= Limit));
    }
    shares.clear();
    BOOST_TEST(budget->held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
