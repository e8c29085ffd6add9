// What a box holds of its answers: bounded, whatever comes, and always going on.

#include "forward/AnswerLedger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using limereel::forward::AnswerLedger;

namespace {

constexpr std::size_t MiB = std::size_t{1024} * 1024;
constexpr std::size_t Capacity = 48 * MiB;
constexpr std::size_t Longest = 16 * MiB;

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerLedgerTest)

BOOST_AUTO_TEST_CASE(smallAnswers_capacityIsUsedUp_mayBeHeld)
{
    AnswerLedger ledger(Capacity);
    const auto first = ledger.begin();
    BOOST_TEST(ledger.mayHold(first, Capacity + AnswerLedger::FreeBytes));
    for (int answer = 0; answer < 1000; ++answer) {
        BOOST_TEST(ledger.mayHold(ledger.begin(), AnswerLedger::FreeBytes));
    }
    BOOST_TEST(!ledger.mayHold(ledger.begin(), AnswerLedger::FreeBytes + 1));
    ledger.end(first);
    BOOST_TEST(ledger.charged() == 0U);
    BOOST_TEST(ledger.mayHold(ledger.begin(), AnswerLedger::FreeBytes + 1));
}

BOOST_AUTO_TEST_CASE(shrunkAnswer_capacityIsUsedUp_givesItsBytesBack)
{
    AnswerLedger ledger(Capacity);
    const auto old = ledger.begin();
    const auto young = ledger.begin();
    BOOST_TEST(ledger.mayHold(old, Longest));
    BOOST_TEST(!ledger.mayHold(young, Capacity));
    BOOST_TEST(ledger.mayHold(old, 0));
    BOOST_TEST(ledger.mayHold(young, Capacity));
}

// Guards against answers that fill the memory of a box, and against ones that all wait for ever.
BOOST_AUTO_TEST_CASE(thousandLongAnswers_grow_areHeldWithinTheBoundAndAllEnd)
{
    constexpr std::size_t Part = 8192;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        AnswerLedger ledger(Capacity);
        std::vector<std::pair<std::uint64_t, std::size_t>> answers;
        for (int answer = 0; answer < 1000; ++answer) {
            answers.emplace_back(ledger.begin(), 0);
        }
        std::size_t most = 0;
        while (!answers.empty()) {
            std::shuffle(answers.begin(), answers.end(), random);
            bool any = false;
            for (auto &[answer, held] : answers) {
                const std::size_t grown = held + (1 + random() % 64) * Part;
                if (ledger.mayHold(answer, grown)) {
                    held = grown;
                    any = true;
                }
                most = std::max(most, ledger.charged());
            }
            BOOST_REQUIRE(any);
            std::erase_if(answers, [&](const auto &answer) {
                const bool whole = answer.second >= Longest;
                if (whole) {
                    ledger.end(answer.first);
                }
                return whole;
            });
        }
        BOOST_TEST(most <= Capacity + Longest + 64 * Part, "seed " << seed << ": " << most);
        BOOST_TEST(ledger.charged() == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
