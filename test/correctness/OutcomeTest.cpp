// Results, retries and claims: the result reported is true, and no request that must not be
// repeated runs twice.

#include "outcome/Attempt.h"
#include "outcome/AttemptSummary.h"
#include "outcome/Claim.h"
#include "outcome/NextStep.h"
#include "outcome/RetryBudget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <random>
#include <vector>

using namespace limereel::outcome;

namespace {

constexpr FailurePoint AllPoints[] = {FailurePoint::BeforeConnect,    FailurePoint::ConnectedUnsent,
                                      FailurePoint::PartSent,         FailurePoint::AllSent,
                                      FailurePoint::RefusedUnstarted, FailurePoint::AnswerBegun,
                                      FailurePoint::AnsweredFailure,  FailurePoint::AnswerForeign};

/** Whether a backend server may have begun a request that failed at \a point. */
bool mayHaveRun(FailurePoint point)
{
    return point != FailurePoint::BeforeConnect && point != FailurePoint::ConnectedUnsent
           && point != FailurePoint::RefusedUnstarted;
}

/** A platform with one object, whose answers and writes may be lost. */
class NaiveStore
{
public:
    explicit NaiveStore(std::uint64_t seed)
        : random_(seed)
    {
    }

    StoreAnswer create(const std::string &attempt)
    {
        switch (random_() % 5) {
        case 0:
            return StoreAnswer::Unavailable;
        case 1:
            return StoreAnswer::Lost; // Without effect.
        case 2:
            if (!holder_) {
                holder_ = attempt; // With effect.
            }
            return StoreAnswer::Lost;
        default:
            if (holder_) {
                return StoreAnswer::Conflict;
            }
            holder_ = attempt;
            return StoreAnswer::Done;
        }
    }

    StoreAnswer read(std::optional<std::string> &holder)
    {
        if (random_() % 4 == 0) {
            return StoreAnswer::Lost;
        }
        holder = holder_;
        return holder_ ? StoreAnswer::Done : StoreAnswer::Absent;
    }

private:
    std::mt19937_64 random_;
    std::optional<std::string> holder_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(OutcomeTest)

BOOST_AUTO_TEST_CASE(classifyFailure_everyPoint_saysNotRunOnlyIfItCannotHaveRun)
{
    for (const FailurePoint point : AllPoints) {
        for (const bool repeatable : {false, true}) {
            for (const bool callerHasBytes : {false, true}) {
                const Verdict verdict = classifyFailure(point, {repeatable, callerHasBytes});
                BOOST_TEST((verdict.ran == Ran::NotRun) == !mayHaveRun(point));
                BOOST_TEST((info(verdict.code).ran == verdict.ran));
                if (verdict.mayRetry) {
                    BOOST_TEST((repeatable || !mayHaveRun(point)));
                    BOOST_TEST(!callerHasBytes);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(resultTable_everyRow_isSortedUniqueAndMatchesItsHundred)
{
    const auto table = resultTable();
    BOOST_TEST(std::ranges::is_sorted(table, std::ranges::less_equal(), &ResultInfo::code));
    for (const ResultInfo &row : table) {
        const int hundred = static_cast<int>(row.code) / 100;
        BOOST_TEST((row.ran == Ran::NotRun) == (hundred == 1 || hundred == 2));
        BOOST_TEST(!row.remedy.empty());
    }
}

BOOST_AUTO_TEST_CASE(attemptSummary_earlierAttemptMayHaveRun_lastRefusalDoesNotHideIt)
{
    AttemptSummary summary;
    summary.add(classifyFailure(FailurePoint::AllSent, {true, false}));
    const Verdict withoutRetry = summary.finalVerdict({ResultCode::NoEngine, Ran::NotRun, false});
    BOOST_TEST((withoutRetry.ran == Ran::Unknown));
    BOOST_TEST((withoutRetry.code == ResultCode::AnswerLost));
    summary.add(classifyFailure(FailurePoint::AnswerBegun, {true, false}));
    BOOST_TEST((summary.finalVerdict({ResultCode::NoEngine, Ran::NotRun, false}).ran == Ran::Ran));
}

BOOST_AUTO_TEST_CASE(attemptSummary_noEngineLeft_reportsLatestFailure)
{
    const Verdict noEngine{ResultCode::NoEngine, Ran::NotRun, false};
    AttemptSummary summary;
    BOOST_TEST((summary.finalVerdict(noEngine).code == ResultCode::NoEngine));
    summary.add(classifyFailure(FailurePoint::RefusedUnstarted, {true, false}));
    BOOST_TEST((summary.finalVerdict(noEngine).code == ResultCode::BackendRefused));
}

BOOST_AUTO_TEST_CASE(retryBudget_failingPool_getsAtMostTheRatioOfRetries)
{
    RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int request = 0; request < 10000; ++request) {
        budget.earn();
        while (budget.spend()) {
            ++retries;
        }
    }
    BOOST_TEST(retries <= 10000 / 10 + 10);
    BOOST_TEST(retries >= 10000 / 10 - 10);
}

BOOST_AUTO_TEST_CASE(afterFailure_eachRow_decidesAsExpected)
{
    struct Row
    {
        Verdict verdict;
        int number;
        double budget;
        NextStep expected;
    };
    const Verdict refused = classifyFailure(FailurePoint::RefusedUnstarted, {false, false});
    const Verdict lost = classifyFailure(FailurePoint::AllSent, {false, false});
    const Verdict lostRepeatable = classifyFailure(FailurePoint::AllSent, {true, false});
    const Verdict spent{ResultCode::RetryBudgetSpent, Ran::NotRun, false};
    const auto withoutRetry = [](Verdict verdict) {
        verdict.mayRetry = false;
        return verdict;
    };
    const Row rows[] = {
            {refused, 1, 5, {true, refused}},
            {refused, 3, 5, {false, withoutRetry(refused)}},
            {refused, 1, 0, {false, spent}},
            {lost, 1, 5, {false, lost}},
            {lostRepeatable, 1, 5, {true, lostRepeatable}},
            // It may have run, so a spent budget must not turn the result into "not run".
            {lostRepeatable, 1, 0, {false, withoutRetry(lostRepeatable)}},
    };
    for (const Row &row : rows) {
        RetryBudget budget(0, row.budget);
        BOOST_TEST((afterFailure(row.verdict, row.number, 3, budget) == row.expected));
    }
}

BOOST_AUTO_TEST_CASE(claim_manyAttemptsAtOnceWithLostAnswers_atMostOneSends)
{
    for (std::uint64_t seed = 0; seed < 5000; ++seed) {
        NaiveStore store(seed);
        std::mt19937_64 order(seed);
        struct Running
        {
            Claim claim;
            ClaimStep step;
        };
        std::vector<Running> attempts;
        for (const char *name : {"a", "b", "c"}) {
            Claim claim(name, 5);
            const ClaimStep first = claim.begin();
            attempts.push_back({claim, first});
        }
        int sends = 0;
        int open = 3;
        while (open > 0) {
            Running &running = attempts[order() % attempts.size()];
            std::optional<std::string> holder;
            if (running.step == ClaimStep::Create) {
                running.step = running.claim.onCreate(store.create(running.claim.attempt()));
            } else if (running.step == ClaimStep::Read) {
                const StoreAnswer answer = store.read(holder);
                running.step = running.claim.onRead(answer, holder);
            } else {
                continue;
            }
            if (running.step == ClaimStep::Send) {
                ++sends;
                --open;
            } else if (running.step == ClaimStep::Refuse) {
                --open;
            }
        }
        BOOST_TEST(sends <= 1);
    }
}

BOOST_AUTO_TEST_CASE(claim_lostAnswer_isReadBackAndRecognised)
{
    // Shows why the claim is read back after a lost answer: an attempt that trusts a conflict would
    // refuse a claim that it holds itself.
    Claim claim("mine", 5);
    BOOST_TEST((claim.begin() == ClaimStep::Create));
    BOOST_TEST((claim.onCreate(StoreAnswer::Lost) == ClaimStep::Read));
    BOOST_TEST((claim.onRead(StoreAnswer::Done, "mine") == ClaimStep::Send));
}

BOOST_AUTO_TEST_CASE(claim_platformUnreachable_isRefusedAsUnavailableAndNeverSent)
{
    Claim claim("mine", 3);
    ClaimStep step = claim.begin();
    while (step == ClaimStep::Create) {
        step = claim.onCreate(StoreAnswer::Unavailable);
    }
    BOOST_TEST((step == ClaimStep::Refuse));
    BOOST_TEST((claim.refusal() == ResultCode::ClaimUnavailable));
}

BOOST_AUTO_TEST_CASE(claim_platformUnreachableAfterLostAnswer_saysThatTheKeyMayBeTaken)
{
    Claim claim("mine", 3);
    claim.begin();
    ClaimStep step = claim.onCreate(StoreAnswer::Lost);
    while (step == ClaimStep::Read) {
        step = claim.onRead(StoreAnswer::Unavailable, std::nullopt);
    }
    BOOST_TEST((step == ClaimStep::Refuse));
    BOOST_TEST((claim.refusal() == ResultCode::ClaimUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
