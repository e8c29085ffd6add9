// A short soak with a fixed seed, each seed that ever failed, and the judge itself: each promise
// that it checks is broken on purpose, so that a soak without a finding means something.

#include "platform/soak/Soak.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

using namespace limereel;
using namespace limereel::soak;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

class JudgeFixture
{
public:
    JudgeFixture() { judge.noteDisturbance(at(-100s)); }

    void attempt(const std::string &id, Kind kind, kernel::Duration sent = 0s,
                 const std::string &key = "key-one", int version = 0)
    {
        judge.noteAttempt({id, kind, key, 0, 1, version, at(sent)});
    }

    void run(const std::string &id, const std::string &server = "i-1")
    {
        judge.noteArrival({id, server, "one", true, at(0s)});
    }

    void answer(const std::string &id, int status, const std::string &body, bool whole = true,
                kernel::Duration when = 0s)
    {
        judge.noteAnswer(id, {whole, status, "i-1." + id, body, at(when)});
    }

    std::string broken() const
    {
        return judge.violations().empty() ? "" : judge.violations().front().promise;
    }

    SoakJudge judge{{3s, 1s, 4s, 3s, 2s, 3}};
};

class ScarceJudgeFixture : public JudgeFixture
{
public:
    ScarceJudgeFixture()
    {
        judge = SoakJudge({.revoke = 3s, .drain = 1s, .calm = 4s, .served = 6s});
        judge.noteDisturbance(at(-100s));
        judge.noteShortage(at(0s));
    }

    void refuse(const std::string &id, const std::string &type, const std::string &retryAfter)
    {
        SoakAnswer answer{true, 503, "", "{\"type\":\"" + type + "\"}", at(0s), retryAfter};
        judge.noteAnswer(id, answer);
    }
};

SoakReport play(std::uint64_t seed, kernel::Duration faultsFor, SoakPlan plan = {})
{
    plan.seed = seed;
    plan.faultsFor = faultsFor;
    plan.folder = std::filesystem::temp_directory_path()
                  / ("limereel-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
    SoakReport report = playSoak(plan);
    for (const Violation &violation : report.violations) {
        BOOST_ERROR(violation.promise + ": " + violation.what);
    }
    std::filesystem::remove_all(plan.folder);
    return report;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoakJudgeTest, JudgeFixture)

BOOST_AUTO_TEST_CASE(repeats_moreInAWindowThanAllowed_breaksThePromise)
{
    judge = SoakJudge({.repeats = {.ratio = 0.2, .window = 10s, .slack = 2}});
    for (int count = 0; count < 5; ++count) {
        attempt("a" + std::to_string(count), Kind::Repeatable, 5s);
        run("a" + std::to_string(count));
    }
    // The requests are those of the window before.
    for (int count = 0; count < 3; ++count) {
        judge.noteArrival({"a" + std::to_string(count), "i-2", "one", false, at(9s)});
    }
    judge.judgeRepeats();
    BOOST_TEST(broken().empty());
    judge.noteArrival({"a3", "i-2", "one", false, at(11s)});
    BOOST_TEST(judge.worstRepeats().repeats == 4U);
    judge.judgeRepeats();
    BOOST_TEST(broken() == "repeats stay within the fleet's budget");
}

BOOST_AUTO_TEST_CASE(requests_runOnMoreServersThanMaxAttempts_breaksThePromise)
{
    for (int count = 0; count < 4; ++count) {
        const std::string id = "a" + std::to_string(count);
        attempt(id, Kind::Repeatable);
        for (const char *server : {"i-1", "i-2", "i-3"}) {
            judge.judgeRepeats();
            BOOST_TEST(broken().empty());
            run(id, server);
        }
    }
    judge.judgeRepeats();
    BOOST_TEST(broken() == "no request runs more often than max_attempts");
}

BOOST_AUTO_TEST_CASE(goodDay_everyKind_nothingIsBroken)
{
    attempt("a1", Kind::Once);
    run("a1");
    answer("a1", 200, "done by i-1");
    attempt("a2", Kind::Once);
    answer("a2", 503, "");
    attempt("a3", Kind::ResumableStream);
    run("a3");
    run("a3");
    answer("a3", 200, SoakJudge::wholeStream());
    BOOST_TEST(broken() == "");
    BOOST_TEST(judge.served() == 2U);
    BOOST_TEST(judge.refused() == 1U);
}

BOOST_AUTO_TEST_CASE(onceOnly_runsTwice_isSeen)
{
    attempt("a1", Kind::OnceStream);
    run("a1");
    run("a1", "i-2");
    BOOST_TEST(broken() == "at most once");
}

BOOST_AUTO_TEST_CASE(onceOnly_refusedAndRunsBeforeOrAfter_isSeen)
{
    attempt("a1", Kind::Once);
    answer("a1", 503, "");
    run("a1");
    BOOST_TEST(broken() == "refused means not run");
    attempt("a2", Kind::Once);
    run("a2");
    answer("a2", 429, "");
    BOOST_TEST(judge.violations().size() == 2U);
}

BOOST_AUTO_TEST_CASE(requestEndsItsServers_reachesMoreThanItMay_isSeen)
{
    const auto crash = [this](const std::string &id, kernel::Duration sent) {
        judge.noteAttempt({id, Kind::OnceStream, "key-one", 0, 1, 0, at(sent), true});
        judge.noteArrival({id, "i-" + id, "one", true, at(sent)});
    };
    for (const char *id : {"a1", "a2", "a3", "a4"}) {
        crash(id, 0s);
    }
    for (const char *id : {"a5", "a6", "a7"}) {
        crash(id, 10s);
    }
    BOOST_TEST(broken() == "");
    crash("a8", 20s);
    BOOST_TEST(broken() == "a request that ends its servers is stopped");
}

BOOST_AUTO_TEST_CASE(partEndsItsServers_requestsWithItReachMoreThanTheyMay_isSeen)
{
    const auto crash = [this](const std::string &id, kernel::Duration sent) {
        judge.noteAttempt({id, Kind::OnceStream, "key-one", 0, 1, 0, at(sent), false, true});
        judge.noteArrival({id, "i-" + id, "one", true, at(sent)});
    };
    for (const char *id : {"a1", "a2", "a3", "a4", "a5"}) {
        crash(id, 0s);
    }
    for (const char *id : {"a6", "a7", "a8"}) {
        crash(id, 10s);
    }
    BOOST_TEST(broken() == "");
    crash("a9", 20s);
    BOOST_TEST(broken() == "a request that ends its servers is stopped");
}

BOOST_AUTO_TEST_CASE(answer_ofAnotherRequestOrNotWhole_isSeen)
{
    attempt("a1", Kind::Repeatable);
    attempt("a2", Kind::Repeatable);
    run("a1");
    run("a2");
    judge.noteAnswer("a1", {true, 200, "i-1.a2", "done by i-1", at(0s)});
    BOOST_TEST(broken() == "whole answer to its own request");
    answer("a2", 200, "done by");
    BOOST_TEST(judge.violations().size() == 2U);
}

BOOST_AUTO_TEST_CASE(stream_repeatsAPiece_isSeenAlsoWhenCut)
{
    attempt("a1", Kind::ResumableStream);
    run("a1");
    answer("a1", 200, "id: 1\ndata: piece 1\n\nid: 1\n", false);
    BOOST_TEST(broken() == "pieces in order");
}

BOOST_AUTO_TEST_CASE(arrival_ofUnknownRequest_isSeen)
{
    run("unknown");
    BOOST_TEST(broken() == "nothing runs unasked");
}

BOOST_AUTO_TEST_CASE(key_takenAway_isSeenOnlyAfterTheBound)
{
    judge.noteKeyTakenAway("key-two", at(0s));
    attempt("a1", Kind::Once, 2s, "key-two");
    run("a1");
    BOOST_TEST(broken() == "");
    attempt("a2", Kind::Once, 4s, "key-two");
    run("a2");
    BOOST_TEST(broken() == "a key that was taken away runs nothing");
}

BOOST_AUTO_TEST_CASE(olderVersion_afterANewerOneInTheSameProcess_isSeen)
{
    attempt("a1", Kind::VersionProbe, 0s, "", 2);
    run("a1");
    answer("a1", 200, "done by i-1", true, 1s);
    attempt("a2", Kind::VersionProbe, 500ms, "", 1);
    run("a2");
    answer("a2", 200, "done by i-1", true, 2s);
    BOOST_TEST(broken() == "");
    attempt("a3", Kind::VersionProbe, 3s, "", 1);
    run("a3");
    answer("a3", 200, "done by i-1", true, 4s);
    BOOST_TEST(broken() == "settings never go back");
}

BOOST_AUTO_TEST_CASE(leavingServer_getsNewWork_isSeenInCalmOnly)
{
    judge.noteLeaving("i-1", at(0s));
    attempt("a1", Kind::Once, 2s);
    judge.noteDisturbance(at(-1s));
    run("a1");
    BOOST_TEST(broken() == "");
    judge.noteLeaving("i-2", at(10s));
    attempt("a2", Kind::Once, 12s);
    run("a2", "i-2");
    BOOST_TEST(broken() == "a leaving server gets nothing new");
}

BOOST_AUTO_TEST_CASE(plannedStop_cutsWhatItHadRead_isSeenInCalmOnly)
{
    attempt("a1", Kind::OnceStream, 1s);
    judge.noteStop(0, 1, at(2s));
    judge.noteDisturbance(at(0s));
    answer("a1", 0, "", false);
    BOOST_TEST(broken() == "");
    attempt("a2", Kind::OnceStream, 10s);
    judge.noteStop(0, 1, at(11s));
    answer("a2", 200, "id: 1\n", false);
    BOOST_TEST(broken() == "a planned stop cuts nothing");
}

// Guards against a judge that looks away from what comes during a stop.
BOOST_AUTO_TEST_CASE(plannedStop_cutsWhatItTookLate_isSeen)
{
    judge = SoakJudge({.calm = 4s, .stop = 8s});
    judge.noteDisturbance(at(-100s));
    judge.noteStop(0, 1, at(0s));
    attempt("refused", Kind::OnceStream, 5s);
    answer("refused", 503, "", true, 5s);
    attempt("unread", Kind::OnceStream, 5s);
    answer("unread", 0, "", false, 5s);
    attempt("early", Kind::OnceStream, 3s);
    run("early");
    answer("early", 200, "id: 1\n", false, 7s);
    BOOST_TEST(broken() == "");
    attempt("late", Kind::OnceStream, 4s);
    run("late");
    answer("late", 200, "id: 1\n", false, 7800ms);
    attempt("cutEarly", Kind::Once, 1s);
    run("cutEarly");
    answer("cutEarly", 0, "", false, 4s);
    BOOST_TEST(broken() == "a planned stop cuts nothing");
    BOOST_TEST(judge.violations().size() == 2U);
}

BOOST_AUTO_TEST_CASE(drainedHall_getsNewWork_isSeenAfterItsBoundUntilItIsTakenBack)
{
    judge.noteHallDrained("hall-1", at(0s));
    attempt("a1", Kind::Once, 2s);
    judge.noteArrival({"a1", "i-1", "one", true, at(2s), "hall-1"});
    attempt("a2", Kind::Once, 9s);
    judge.noteArrival({"a2", "i-2", "one", true, at(9s), "hall-0"});
    BOOST_TEST(broken() == "");
    attempt("a3", Kind::Once, 9s);
    judge.noteArrival({"a3", "i-1", "one", true, at(9s), "hall-1"});
    BOOST_TEST(broken() == "a drained hall gets nothing new");
    judge.noteHallReturned("hall-1", at(10s));
    attempt("a4", Kind::Once, 11s);
    judge.noteArrival({"a4", "i-1", "one", true, at(11s), "hall-1"});
    BOOST_TEST(judge.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(coldServer_getsMoreThanItsBound_isSeenWhileItIsCold)
{
    judge.noteCold("i-1", at(0s));
    for (int number = 0; number < 4; ++number) {
        const std::string id = "a" + std::to_string(number);
        attempt(id, Kind::Once, 0s);
        judge.noteArrival({id, "i-1", "one", true, at(100ms * number), ""});
        BOOST_TEST(broken() == (number < 3 ? "" : "a cold server gets no more than its bound"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ScarceJudgeTest, ScarceJudgeFixture)

BOOST_AUTO_TEST_CASE(refusal_withoutRetryAfter_isSeenUnlessItsResultHasNone)
{
    attempt("a1", Kind::Once);
    refuse("a1", "servers-full", "0.25");
    attempt("a2", Kind::Once);
    refuse("a2", "stopping", "");
    BOOST_TEST(broken() == "");
    attempt("a3", Kind::Once);
    refuse("a3", "servers-full", "");
    BOOST_TEST(broken() == "a refusal says when to come back");
}

BOOST_AUTO_TEST_CASE(refusal_longAfterTheShortage_isSeenInCalmOnly)
{
    judge.noteShortage(at(0s));
    attempt("a1", Kind::Once, 5s);
    refuse("a1", "servers-full", "0.25");
    judge.noteDisturbance(at(6s));
    attempt("a2", Kind::Once, 7s);
    refuse("a2", "servers-full", "0.25");
    BOOST_TEST(broken() == "");
    attempt("a3", Kind::Once, 11s);
    refuse("a3", "servers-full", "0.25");
    BOOST_TEST(broken() == "requests are served again after a shortage");
}

BOOST_AUTO_TEST_CASE(repeatable_isRefusedAndHadRun_isSeen)
{
    attempt("a1", Kind::Repeatable);
    run("a1");
    refuse("a1", "servers-full", "0.25");
    BOOST_TEST(broken() == "refused means not run");
}

BOOST_AUTO_TEST_CASE(repeatable_runsAfterItsRefusal_isSeen)
{
    attempt("a1", Kind::Repeatable);
    refuse("a1", "servers-full", "0.25");
    run("a1");
    BOOST_TEST(broken() == "refused means not run");
}

BOOST_AUTO_TEST_CASE(request_isNotAnsweredByItsDeadline_isSeenUnlessTheBoxWasAbsent)
{
    const auto overdue = [this](const std::string &id, kernel::Duration sent) {
        attempt(id, Kind::Once, sent);
        judge.noteAnswer(id, {.at = at(sent + 5s), .overdue = true});
    };
    judge.noteAbsent(0, at(3s));
    overdue("a1", 2s);
    BOOST_TEST(broken() == "");
    overdue("a2", 4s);
    BOOST_TEST(broken() == "each request is answered by its deadline");
}

BOOST_AUTO_TEST_CASE(secondOrganisation_itsRequestComesAsTheFirst_isSeen)
{
    attempt("a1", Kind::Once, 0s, KeyTwo);
    judge.noteArrival({"a1", "i-1", "two", true, at(0s)});
    BOOST_TEST(broken() == "");
    attempt("a2", Kind::Once, 0s, KeyTwo);
    run("a2");
    BOOST_TEST(broken() == "the organisation is the key's");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SoakTest)

// Halls are drained and servers cold beside all other faults.
BOOST_AUTO_TEST_CASE(shortSoak_serverStates_keepsEveryPromise)
{
    for (const std::uint64_t seed : {3U, 4U}) {
        SoakPlan plan;
        plan.serverStates = true;
        const SoakReport report = play(seed, 6s, plan);
        BOOST_TEST(report.served > 0U);
        BOOST_TEST(!report.faults.empty());
    }
}

// Guards against a page of the store's list that can't be had, beside all other faults: one that
// fails, and one that never comes.
BOOST_AUTO_TEST_CASE(shortSoak_pageFaults_keepsEveryPromise)
{
    for (const std::uint64_t seed : {33U, 76U}) {
        SoakPlan plan;
        plan.pageFaults = true;
        const SoakReport report = play(seed, 6s, plan);
        BOOST_TEST(report.served > 0U);
        BOOST_TEST(!report.faults.empty());
    }
}

// Servers are short of slots and slow beside all other faults.
BOOST_AUTO_TEST_CASE(shortSoak_scarceServers_keepsEveryPromise)
{
    for (const std::uint64_t seed : {5U, 6U}) {
        SoakPlan plan;
        plan.scarce = true;
        const SoakReport report = play(seed, 6s, plan);
        BOOST_TEST(report.served > 0U);
        BOOST_TEST(report.refused > 0U);
        BOOST_TEST(!report.faults.empty());
    }
}

// A part of prompts ends servers beside all other faults.
BOOST_AUTO_TEST_CASE(shortSoak_crashingParts_keepsEveryPromise)
{
    for (const std::uint64_t seed : {9U, 10U}) {
        SoakPlan plan;
        plan.crashingParts = true;
        plan.servers = 6;
        const SoakReport report = play(seed, 6s, plan);
        BOOST_TEST(report.served > 0U);
        BOOST_TEST(report.ends > 0U);
        BOOST_TEST(!report.faults.empty());
    }
}

// Guards against a harmless part that is stopped for minutes where several requests end servers and
// all hold it.
BOOST_AUTO_TEST_CASE(shortSoak_requestsAndPartsEndServers_allServeAgain)
{
    for (const std::uint64_t seed : {11207U, 11218U}) {
        SoakPlan plan;
        plan.crashing = true;
        plan.crashingParts = true;
        plan.boxes = 5;
        plan.servers = 8;
        plan.callers = 14;
        const SoakReport report = play(seed, 7s, plan);
        BOOST_TEST(report.ends > 0U);
    }
}

// Servers of several software versions crash and are replaced beside all other faults, and callers
// take streams up.
BOOST_AUTO_TEST_CASE(shortSoak_severalVersions_keepsEveryPromise)
{
    for (const std::uint64_t seed : {7U, 8U}) {
        SoakPlan plan;
        plan.versions = true;
        plan.servers = 6;
        const SoakReport report = play(seed, 6s, plan);
        BOOST_TEST(report.served > 0U);
        BOOST_TEST(report.takenUp > 0U);
        BOOST_TEST(!report.faults.empty());
    }
}

// Guards against a judge that doesn't see two versions in one stream.
BOOST_FIXTURE_TEST_CASE(stream_eventsOfTwoVersions_breaksThePromise, JudgeFixture)
{
    attempt("a", Kind::ResumableStream);
    run("a");
    answer("a", 200, "id: 1\ndata: piece 1 by v1\n\nid: 2\ndata: piece 2 by v2\n\n", false);
    BOOST_TEST(broken() == "one software version a stream");
}

// Guards against requests that are begun late in a planned stop and cut at its end: streams nearly
// as long as the stop, and the next request on each of their connections.
BOOST_AUTO_TEST_CASE(shortSoak_longStreams_plannedStopsCutNothing)
{
    SoakPlan plan;
    plan.longStreams = true;
    plan.callers = 40;
    const SoakReport report = play(12U, 12s, plan);
    BOOST_TEST(report.served > 0U);
    BOOST_TEST(!report.faults.empty());
}

BOOST_AUTO_TEST_CASE(shortSoak_fixedSeeds_keepsEveryPromise)
{
    for (const std::uint64_t seed : {1U, 2U}) {
        const SoakReport report = play(seed, 6s);
        BOOST_TEST(report.served > 0U);
        BOOST_TEST(!report.faults.empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
