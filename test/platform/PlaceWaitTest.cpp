// Waiting for places where admission control is enabled, between gateways and with a box that the
// test plays: what becomes of a request that no server has room for, whatever fails meanwhile.

#include "gateway/GatewayServices.h"
#include "membership/Ownership.h"
#include "platform/GatewayFixture.h"
#include "platform/OtherBox.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"
#include "support/Ports.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using peer::PermitResult;
using standin::RunnerFault;
using support::OtherBox;

namespace {

/** A gateway with admission control and backend servers of one slot each. */
struct Shortage : support::GatewayFixture
{
    Shortage() { moreSettings = "admission = true\n"; }

    void startWith(const std::vector<standin::RunnerStandin *> &servers)
    {
        putConfiguration(configuration(1));
        for (const standin::RunnerStandin *server : servers) {
            listSmall(*server);
        }
        start();
        until([this] { return ready(); }, "readiness");
        until([this, &servers] { return world().servers().ids().size() == servers.size(); },
              "the servers are known");
    }

    void listSmall(const standin::RunnerStandin &server)
    {
        nlohmann::json entry = entryOf(server, "pool");
        entry["slots"] = 1;
        store().put("servers", server.name(), entry);
    }

    gateway::FleetView &world() { return context().kernel.find<gateway::FleetView>("world"); }

    std::uint64_t places(const std::string &result)
    {
        return context().counters.value("places", {{"result", result}});
    }

    std::uint64_t waits(const std::string &outcome)
    {
        return context().counters.value("admission_waits", {{"outcome", outcome}});
    }

    /** A server rejects a request for lack of room. */
    void makeShort(standin::RunnerStandin &server)
    {
        server.faults.push_back(RunnerFault::Reject);
        const auto answer = call(request("POST", "/once/x"));
        BOOST_REQUIRE(answer.status == 503);
        BOOST_REQUIRE(world().shortServices().count(context().now()) == 1U);
    }

    /** One whose answer the server sends in five parts with pauses. */
    static http::Request slowRequest()
    {
        return request("POST", "/once/slow", http::Fields().with("X-Prompt-Prefix", "aa:100"));
    }

    /** Begins slow requests until one of them waits, and returns that one last. */
    std::vector<std::shared_ptr<support::PendingCall>> fillUp()
    {
        std::vector<std::shared_ptr<support::PendingCall>> calls;
        const std::uint64_t before = places("queued");
        while (places("queued") == before) {
            BOOST_REQUIRE(calls.size() < 10U);
            const std::uint64_t answers = places("granted");
            calls.push_back(begin(slowRequest()));
            until([&] { return places("granted") > answers || places("queued") > before; },
                  "a place or a wait");
        }
        return calls;
    }

    /** Lets the owner learn that a place is held for \a pause times five. */
    void holdOnce(standin::RunnerStandin &server, kernel::Duration pause)
    {
        server.pause = pause;
        BOOST_REQUIRE(call(slowRequest()).status == 200);
        until([this] { return places("granted") > 0; }, "the place");
    }
};

/** The same with another box, which the test plays, and a server that this box owns. */
struct ShortageOfTwoBoxes : Shortage
{
    /** Starts with a server that the other box owns, by default while its service is short. */
    void startWithOther(bool isShort = true)
    {
        theirs = std::make_unique<standin::RunnerStandin>(io_, idOwnedBy("box-2"),
                                                          support::freeEndpoint());
        ours = std::make_unique<standin::RunnerStandin>(io_, idOwnedBy("box-1"),
                                                        support::freeEndpoint());
        startWith({theirs.get()});
        context().settings.askTimeout = 20s;
        other = std::make_unique<OtherBox>(peerEndpoint(), std::string(64, 'a'));
        const membership::BoxState state{
                .box = kernel::hashOf("box-2"), .incarnation = 1, .version = 1};
        other->send(peer::Heartbeat{{state}, {}});
        until([this] { return boxes() == 2; }, "the other box is known");
        if (isShort) {
            world().shortServices().noteShort("pool", context().now());
        }
    }

    std::size_t boxes()
    {
        return context().kernel.find<services::MembershipService>("membership").owners().size();
    }

    static std::string idOwnedBy(const std::string &box)
    {
        std::vector<std::uint64_t> owners = {kernel::hashOf("box-1"), kernel::hashOf("box-2")};
        std::ranges::sort(owners);
        std::string id = "i-0";
        for (int number = 1; membership::ownerOf(kernel::hashOf(id), owners) != kernel::hashOf(box);
             ++number) {
            id = "i-" + std::to_string(number);
        }
        return id;
    }

    /** The next message of this kind that the other box gets. */
    template <typename Kind>
    Kind next()
    {
        std::optional<Kind> found;
        until(
                [&] {
                    found = other->arrived<Kind>();
                    return found.has_value();
                },
                "a message to the other box");
        return *found;
    }

    /** Whether another message of this kind has come when the gateway has nothing more to do. */
    template <typename Kind>
    bool more()
    {
        // Behind whatever it sends before.
        context().kernel.find<services::PeerService>("peer").send(other->endpoint(),
                                                                  peer::Placed{});
        bool found = false;
        until(
                [&] {
                    while (const auto message = other->arrivedOf<Kind, peer::Placed>()) {
                        if (std::holds_alternative<peer::Placed>(*message)) {
                            return true;
                        }
                        found = true;
                    }
                    return false;
                },
                "the last message");
        return found;
    }

    /** Begins a request whose place the other box is asked for. */
    std::shared_ptr<support::PendingCall> beginAsking(const http::Fields &more = {})
    {
        auto pending = begin(request("POST", "/once/x", more));
        asked = next<peer::AskPermit>();
        return pending;
    }

    /** Begins a request with a prompt, whose engine the other box owns. */
    std::shared_ptr<support::PendingCall> beginWithPrompt()
    {
        return begin(promptRequest("/stream/x"));
    }

    /** The next ask for a place at an engine; asks for holders of prompt parts are answered. */
    void nextPlaceAsk()
    {
        asked = next<peer::AskPermit>();
        while (asked.kind != peer::AskKind::Engine) {
            answer(PermitResult::Redirected);
            asked = next<peer::AskPermit>();
        }
    }

    void answer(PermitResult result, std::uint32_t waitMs = 0, std::uint32_t comeBackMs = 0)
    {
        peer::PermitAnswer message{
                .request = asked.request, .result = result, .suggestions = {}, .load = 2};
        message.waitMs = waitMs;
        message.comeBackMs = comeBackMs;
        message.limit = 2;
        other->send(message);
    }

    /** An ask of the other box for a place at the own server. */
    peer::AskPermit askOf(std::uint64_t number, std::uint32_t slots)
    {
        peer::AskPermit ask{.kind = peer::AskKind::Engine,
                            .request = number,
                            .router = kernel::hashOf("box-2"),
                            .organisation = kernel::hashOf("pool"),
                            .resource = kernel::hashOf(ours->name())};
        ask.slots = slots;
        return ask;
    }

    peer::PermitAnswer askHere(const peer::AskPermit &ask)
    {
        other->send(ask);
        return next<peer::PermitAnswer>();
    }

    std::unique_ptr<standin::RunnerStandin> theirs;
    std::unique_ptr<standin::RunnerStandin> ours;
    std::unique_ptr<OtherBox> other;
    peer::AskPermit asked;
};

void checkRefused(const support::GatewayAnswer &answer)
{
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.body.find("servers-full") != std::string::npos, answer.body);
    BOOST_TEST(answer.body.find("not-run") != std::string::npos, answer.body);
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlaceWaitTest)

// Failure: requests beyond a server's slots were sent all the same, and the server rejected them.
BOOST_FIXTURE_TEST_CASE(plainRequest_afterARejection_waitsForAPlaceAndIsServed, Shortage)
{
    startWith({&runner(0)});
    makeShort(runner(0));
    // The expected wait that follows from this is far longer than the requests below take.
    holdOnce(runner(0), 400ms);
    runner(0).pause = 10ms;
    const auto calls = fillUp();
    for (const auto &pending : calls) {
        BOOST_TEST(finish(pending).status == 200);
    }
    BOOST_TEST(places("queued") == 1U);
    BOOST_TEST(waits("granted") == 1U);
    BOOST_TEST(context().counters.total("attempt_failures") == 1U);
}

// Failure: a request that can't be served in time was queued until its deadline.
BOOST_FIXTURE_TEST_CASE(plainRequest_placeComesTooLate_isRefusedAtOnce, Shortage)
{
    startWith({&runner(0)});
    makeShort(runner(0));
    holdOnce(runner(0), 400ms);
    const auto calls = fillUp();
    const std::size_t records = runner(0).records().size();
    const auto answer =
            call(request("POST", "/once/x", http::Fields().with("X-Deadline-Ms", "300")));
    checkRefused(answer);
    // It didn't wait, and nothing was sent.
    BOOST_TEST(places("queued") == 1U);
    BOOST_TEST(runner(0).records().size() == records);
    BOOST_TEST(context().counters.value("admission_refusals", {{"reason", "no-time"}}) >= 1U);
}

// Failure: a caller that had left kept its turn in the queue, and got a place that nobody used.
BOOST_FIXTURE_TEST_CASE(waitingRequest_callerLeaves_isWithdrawnAtOnce, ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    answer(PermitResult::Queued, 9000);
    until([this] { return places("queued") == 1; }, "the wait");
    pending->connection->close();
    const auto back = next<peer::GiveBack>();
    BOOST_TEST(back.request == asked.request);
    BOOST_TEST((back.observed == peer::Observed::Unused));
    BOOST_TEST(waits("ended") == 1U);
}

// Failure: the request waited on after its deadline, until the owner's answer.
BOOST_FIXTURE_TEST_CASE(waitingRequest_deadlineComes_isWithdrawnAndRefused, ShortageOfTwoBoxes)
{
    startWithOther();
    // Half of the time to the deadline is no bound here, as the objective is longer.
    const auto pending = beginAsking(http::Fields().with("X-Deadline-Ms", "1000"));
    answer(PermitResult::Queued, 9000);
    checkRefused(finish(pending));
    BOOST_TEST(next<peer::GiveBack>().request == asked.request);
    BOOST_TEST(theirs->records().empty());
}

// Failure: the owner ended while a request waited there, and the request waited for its answer.
BOOST_FIXTURE_TEST_CASE(waitingRequest_ownerFallsSilentAndNoOtherServer_isRefused,
                        ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    context().settings.askTimeout = 300ms;
    answer(PermitResult::Queued, 20);
    checkRefused(finish(pending));
    BOOST_TEST(waits("withdrawn") == 1U);
    BOOST_TEST(places("withdrawn") == 1U);
    BOOST_TEST(next<peer::GiveBack>().request == asked.request);
    BOOST_TEST(theirs->records().empty());
}

// The same where another server has a place.
BOOST_FIXTURE_TEST_CASE(waitingRequest_ownerFallsSilentAndOtherServerHasRoom_isServedThere,
                        ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the other server");
    context().settings.askTimeout = 300ms;
    answer(PermitResult::Queued, 20);
    BOOST_TEST(finish(pending).status == 200);
    BOOST_TEST(ours->runs() == 1U);
    BOOST_TEST(theirs->records().empty());
}

// Failure: a request that others had gone ahead of was withdrawn when its expected wait was over,
// though its owner still had it and would have granted a place.
BOOST_FIXTURE_TEST_CASE(waitingRequest_waitsLongerThanExpected_asksAgainAndIsServed,
                        ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    const std::uint64_t number = asked.request;
    context().settings.askTimeout = 1s;
    answer(PermitResult::Queued, 20);
    for (int repetition = 0; repetition < 2; ++repetition) {
        asked = next<peer::AskPermit>();
        BOOST_TEST(asked.request == number);
        answer(PermitResult::Queued, 20);
        // Its answer shows that the one above has been handled.
        BOOST_TEST((askHere(askOf(77, 1)).result == PermitResult::Granted));
        BOOST_TEST(!pending->done);
    }
    answer(PermitResult::Granted);
    BOOST_TEST(finish(pending).status == 200);
    BOOST_TEST(theirs->runs() == 1U);
    BOOST_TEST(places("queued") == 1U);
    BOOST_TEST(waits("granted") == 1U);
    BOOST_TEST(waits("withdrawn") == 0U);
    BOOST_TEST(next<peer::GiveBack>().request == number);
    BOOST_TEST(!more<peer::GiveBack>());
}

// Failure: a request waited to its deadline at an owner that had ended after it answered a
// repetition.
BOOST_FIXTURE_TEST_CASE(waitingRequest_ownerIsSilentToARepetition_isWithdrawn, ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    const std::uint64_t number = asked.request;
    context().settings.askTimeout = 1s;
    answer(PermitResult::Queued, 20);
    asked = next<peer::AskPermit>();
    BOOST_TEST(asked.request == number);
    answer(PermitResult::Queued, 20);
    asked = next<peer::AskPermit>();
    BOOST_TEST(asked.request == number);
    BOOST_TEST(!pending->done);
    checkRefused(finish(pending));
    BOOST_TEST(waits("withdrawn") == 1U);
    BOOST_TEST(places("withdrawn") == 1U);
    BOOST_TEST(next<peer::GiveBack>().request == number);
    BOOST_TEST(theirs->records().empty());
}

// Failure: an owner was taken for unreachable because callers left while their requests repeated
// their asks there.
BOOST_FIXTURE_TEST_CASE(waitingRequest_callerLeavesDuringARepetition_ownerIsNotSilent,
                        ShortageOfTwoBoxes)
{
    startWithOther();
    for (std::uint64_t round = 1; round <= 2; ++round) {
        const auto pending = beginAsking();
        context().settings.askTimeout = 300ms;
        answer(PermitResult::Queued, 20);
        until([&] { return places("queued") == round; }, "the wait");
        // The repetition has all this time.
        context().settings.askTimeout = 20s;
        asked = next<peer::AskPermit>();
        pending->connection->close();
        BOOST_TEST(next<peer::GiveBack>().request == asked.request);
        BOOST_TEST(waits("ended") == round);
    }
    BOOST_TEST(boxes() == 2U);
}

// Failure: a request was answered Cold by a cold server without a place, and couldn't wait for one.
BOOST_FIXTURE_TEST_CASE(ask_coldServerHasNoPlace_waitsAndIsGranted, ShortageOfTwoBoxes)
{
    startWithOther();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the own server");
    peer::AskPermit ask = askOf(100, 1);
    while (askHere(ask).result == PermitResult::Granted) {
        ++ask.request;
        BOOST_REQUIRE(ask.request < 110U);
    }
    ask.request = 200;
    ask.waitMs = 20000;
    ask.coldMs = 30000;
    ask.coldPerSecond = 1000000;
    BOOST_TEST((askHere(ask).result == PermitResult::Queued));
    other->send(peer::GiveBack{100, ask.resource, peer::Observed::Unused});
    const auto granted = next<peer::PermitAnswer>();
    BOOST_TEST(granted.request == ask.request);
    BOOST_TEST((granted.result == PermitResult::Granted));
}

// Failure: a repeated ask was refused by the load bound, which counted its own place, and nobody
// gave that place back.
BOOST_FIXTURE_TEST_CASE(ask_repeatedAtTheLoadBound_keepsItsPlace, ShortageOfTwoBoxes)
{
    startWithOther();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the own server");
    peer::AskPermit ask = askOf(100, 64);
    ask.chat = 1;
    peer::PermitAnswer reply = askHere(ask);
    BOOST_REQUIRE((reply.result == PermitResult::Granted));
    while (reply.result == PermitResult::Granted) {
        ++ask.request;
        reply = askHere(ask);
        BOOST_REQUIRE(ask.request < 164U);
    }
    BOOST_REQUIRE((reply.result == PermitResult::Full));
    BOOST_REQUIRE(reply.comeBackMs == 0U);
    const std::uint32_t load = reply.load;
    ask.request = 100;
    reply = askHere(ask);
    BOOST_TEST((reply.result == PermitResult::Granted));
    BOOST_TEST(reply.load == load);
}

// Failure: nobody used a place that was granted after the request had stopped waiting, until its
// lease ended. The withdrawal may have been lost, or have passed the ask on its way.
BOOST_FIXTURE_TEST_CASE(withdrawnRequest_grantComesLate_isGivenBackAgain, ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    context().settings.askTimeout = 300ms;
    answer(PermitResult::Queued, 20);
    finish(pending);
    BOOST_TEST(next<peer::GiveBack>().request == asked.request);
    answer(PermitResult::Granted);
    const auto again = next<peer::GiveBack>();
    BOOST_TEST(again.request == asked.request);
    BOOST_TEST(again.resource == asked.resource);
    BOOST_TEST((again.observed == peer::Observed::Unused));
}

// Failure: a grant that arrived twice gave back the place of the request that ran there.
BOOST_FIXTURE_TEST_CASE(runningRequest_grantComesTwice_keepsItsPlace, ShortageOfTwoBoxes)
{
    startWithOther();
    theirs->faults.push_back(RunnerFault::Silent);
    const auto pending = beginAsking();
    answer(PermitResult::Granted);
    until([this] { return theirs->runs() == 1; }, "the request at the server");
    answer(PermitResult::Granted);
    answer(PermitResult::Queued, 10);
    // Behind the two.
    BOOST_TEST((askHere(askOf(77, 1)).result == PermitResult::Granted));
    BOOST_TEST(!more<peer::GiveBack>());
    BOOST_TEST(!pending->done);
}

// Failure: the owner didn't learn what it needs for its decision, or that the server was full.
BOOST_FIXTURE_TEST_CASE(waitingRequest_isGranted_runsAndTellsTheOwnerOfTheRejection,
                        ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    BOOST_TEST(asked.slots == 1U);
    BOOST_TEST(asked.waitMs > 0U);
    BOOST_TEST(asked.priority == 3U);
    BOOST_TEST(asked.caller == kernel::hashOf("one"));
    BOOST_TEST(asked.identity != 0U);
    BOOST_TEST(asked.leaseMs > 10000U);
    answer(PermitResult::Queued, 9000);
    until([this] { return places("queued") == 1; }, "the wait");
    theirs->faults.push_back(RunnerFault::Reject);
    answer(PermitResult::Granted);
    finish(pending);
    const auto back = next<peer::GiveBack>();
    BOOST_TEST(back.request == asked.request);
    BOOST_TEST(back.rejected);
    BOOST_TEST((back.observed == peer::Observed::Served));
}

// Failure: a request of a service that isn't short waited at the first owner, though others might
// have had a place at once; and one that no owner had a place for was refused without a wait.
BOOST_FIXTURE_TEST_CASE(promptRequest_ownersHaveNoPlace_isAskedWithoutWaitingFirst,
                        ShortageOfTwoBoxes)
{
    startWithOther(false);
    const auto pending = beginWithPrompt();
    nextPlaceAsk();
    BOOST_TEST(asked.waitMs + asked.lateMs == 0U);
    answer(PermitResult::Full, 100, 100);
    nextPlaceAsk();
    BOOST_TEST(asked.waitMs > 0U);
    BOOST_TEST(world().shortServices().count(context().now()) == 1U);
    answer(PermitResult::Queued, 9000);
    until([this] { return places("queued") == 1; }, "the wait");
    answer(PermitResult::Granted);
    BOOST_TEST(finish(pending).status == 200);
    BOOST_TEST(theirs->runs() == 1U);
}

// Failure: a refusal by the load bound alone, which says nothing about free slots, refused
// requests.
BOOST_FIXTURE_TEST_CASE(promptRequest_ownersAreAboveTheBound_isSentWithoutAPlace,
                        ShortageOfTwoBoxes)
{
    startWithOther(false);
    const auto pending = beginWithPrompt();
    while (places("full") < 4) {
        nextPlaceAsk();
        BOOST_TEST(asked.waitMs + asked.lateMs == 0U);
        const std::uint64_t before = places("full");
        answer(PermitResult::Full);
        until([&] { return places("full") > before; }, "the answer");
    }
    BOOST_TEST(finish(pending).status == 200);
    BOOST_TEST(world().shortServices().count(context().now()) == 0U);
}

// Failure: a request for which the owner that had queued it refused a place waited once more.
BOOST_FIXTURE_TEST_CASE(waitingRequest_isRefused_isAnsweredAtOnceWithTheOwnersDelay,
                        ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    answer(PermitResult::Queued, 9000);
    until([this] { return places("queued") == 1; }, "the wait");
    answer(PermitResult::Full, 400, 1250);
    const auto refused = finish(pending);
    checkRefused(refused);
    BOOST_TEST(refused.fields.get("Retry-After") == "1.25");
    BOOST_TEST(waits("refused") == 1U);
    // Its repetition is known by its identity, and another request isn't taken for it.
    const std::uint64_t identity = asked.identity;
    const auto again = beginAsking();
    BOOST_TEST(asked.identity == identity);
    answer(PermitResult::Full, 400, 1250);
    finish(again);
    const auto different = begin(request("POST", "/once/y"));
    asked = next<peer::AskPermit>();
    BOOST_TEST(asked.identity != identity);
    answer(PermitResult::Full, 400, 1250);
    finish(different);
}

// Failure: while the owner was silent, requests went to a server that was full.
BOOST_FIXTURE_TEST_CASE(ask_unansweredWhileShort_isSentOnlyWhereASlotIsFree, ShortageOfTwoBoxes)
{
    startWithOther();
    context().settings.askTimeout = 50ms;
    theirs->faults.push_back(RunnerFault::Silent);
    const auto first = begin(request("POST", "/once/x"));
    until([this] { return theirs->runs() == 1; }, "the request at the server");
    checkRefused(call(request("POST", "/once/y")));
    BOOST_TEST(theirs->records().size() == 1U);
    BOOST_TEST(!first->done);
}

// Failure: boxes of the earlier version got no answer, or one that they can't read.
BOOST_FIXTURE_TEST_CASE(ask_ofTheEarlierForm_isAnsweredByTheLoadBound, ShortageOfTwoBoxes)
{
    startWithOther();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the own server");
    peer::AskPermit ask = askOf(100, 0);
    ask.chat = 1;
    std::vector<peer::PermitAnswer> answers;
    for (std::uint64_t number = 0; number < 8; ++number) {
        ask.request = 100 + number;
        answers.push_back(askHere(ask));
        BOOST_TEST(answers.back().request == ask.request);
        BOOST_TEST(answers.back().limit == 0U);
        BOOST_TEST(answers.back().comeBackMs == 0U);
    }
    BOOST_TEST((answers.front().result == PermitResult::Granted));
    BOOST_TEST((answers.back().result == PermitResult::Full));
}

// Failure: the leases of boxes of the earlier version weren't counted, and the server got too many.
BOOST_FIXTURE_TEST_CASE(ask_besidePlacesOfTheEarlierForm_findsThemCounted, ShortageOfTwoBoxes)
{
    startWithOther();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the own server");
    for (std::uint64_t number = 0; number < 4; ++number) {
        BOOST_TEST((askHere(askOf(100 + number, 0)).result == PermitResult::Granted));
    }
    const auto refused = askHere(askOf(200, 1));
    BOOST_TEST((refused.result == PermitResult::Full));
    BOOST_TEST(refused.comeBackMs > 0U);
    BOOST_TEST(refused.load == 4U);
}

// Failure: the places of a box that had ended stayed taken until their leases ended.
BOOST_FIXTURE_TEST_CASE(places_ofABoxThatEnds_comeFree, ShortageOfTwoBoxes)
{
    startWithOther();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the own server");
    for (std::uint64_t number = 0; number < 4; ++number) {
        askHere(askOf(100 + number, 0));
    }
    BOOST_TEST((askHere(askOf(200, 1)).result == PermitResult::Full));
    until([this] { return boxes() == 1; }, "the other box is taken for dead");
    peer::PermitAnswer granted;
    std::uint64_t number = 300;
    while (granted.result != PermitResult::Granted) {
        granted = askHere(askOf(number++, 1));
        BOOST_REQUIRE(number < 100000);
    }
}

// Failure: a request waited at a box that stopped, and learned nothing of it.
BOOST_FIXTURE_TEST_CASE(plannedStop_asksThatWait_areRefused, ShortageOfTwoBoxes)
{
    startWithOther();
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the own server");
    peer::AskPermit ask = askOf(100, 1);
    ask.waitMs = 20000;
    peer::PermitAnswer reply = askHere(ask);
    while (reply.result == PermitResult::Granted) {
        ++ask.request;
        reply = askHere(ask);
    }
    BOOST_REQUIRE((reply.result == PermitResult::Queued));
    context().kernel.find<gateway::GatewayStop>("stop").begin();
    const auto refused = next<peer::PermitAnswer>();
    BOOST_TEST(refused.request == ask.request);
    BOOST_TEST((refused.result == PermitResult::Full));
    BOOST_TEST(refused.comeBackMs == 50U);
    ++ask.request;
    BOOST_TEST((askHere(ask).result == PermitResult::Full));
}

// Failure: requests of a box that stopped waited elsewhere on its behalf.
BOOST_FIXTURE_TEST_CASE(plannedStop_ownRequestThatWaits_isWithdrawnAndRefused, ShortageOfTwoBoxes)
{
    startWithOther();
    const auto pending = beginAsking();
    answer(PermitResult::Queued, 9000);
    until([this] { return places("queued") == 1; }, "the wait");
    context().kernel.find<gateway::GatewayStop>("stop").begin();
    checkRefused(finish(pending));
    BOOST_TEST(next<peer::GiveBack>().request == asked.request);
}

// Failure: a box without the setting asked for places at plain services.
BOOST_FIXTURE_TEST_CASE(settingOff_serverRejects_nobodyIsAsked, ShortageOfTwoBoxes)
{
    moreSettings = "";
    startWithOther();
    theirs->faults = {RunnerFault::Reject, RunnerFault::Reject};
    BOOST_TEST(call(request("POST", "/once/x")).status == 503);
    BOOST_TEST(call(request("POST", "/again/x")).status == 503);
    BOOST_TEST(call(request("POST", "/again/x")).status == 200);
    BOOST_TEST(!more<peer::AskPermit>());
    BOOST_TEST(context().counters.total("places") == 0U);
}

// Guards against an engine that gets a request because its owner didn't answer in time: nobody's
// count bounds what it gets that way.
BOOST_FIXTURE_TEST_CASE(prompt_ownerIsSilent_itsDeputyGrantsThePlace, ShortageOfTwoBoxes)
{
    startWithOther(false);
    context().settings.askTimeout = 100ms;
    BOOST_TEST(finish(beginWithPrompt()).status == 200);
    BOOST_TEST(theirs->runs() == 1U);
    BOOST_TEST(context().counters.value("deputies_asked", {{"result", "answered"}}) == 1U);
    BOOST_TEST(context().counters.value("sends", {{"place", "granted"}}) == 1U);
    BOOST_TEST(context().counters.value("sends", {{"place", "unanswered"}}) == 0U);
    // The owner may count the place that it was asked for.
    BOOST_TEST(next<peer::GiveBack>().request != 0U);
}

// Guards against a new owner of an engine that grants places there up to the bound once more.
BOOST_FIXTURE_TEST_CASE(ownerIsNew_engineIsBelievedAboveTheBound_placeIsntGranted,
                        ShortageOfTwoBoxes)
{
    startWithOther(false);
    listSmall(*ours);
    until([this] { return world().servers().ids().size() == 2; }, "the other server");
    peer::AskPermit ask = askOf(1, 64);
    ask.chat = 5;
    ask.seen = 40;
    BOOST_TEST((askHere(ask).result == PermitResult::Full));
    ask = askOf(2, 64);
    ask.chat = 5;
    BOOST_TEST((askHere(ask).result == PermitResult::Granted));
}

BOOST_AUTO_TEST_SUITE_END()
