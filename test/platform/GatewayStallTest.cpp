// Found by reading, after a caller's request had been lost to a time limit; no record shows it:
// requests end with 504 or are sent again, and stores are called lost, though the answer has come.
// How: the gateway's event loop stands still, by a long handler on a slow box, past the end of a
// wait, and the answer arrives while another handler of the next pass runs ahead of the timer.
// Cause: the timer closed the connection without a look at what had arrived on it; a pass handles
// only what had come when it began.

#include "gateway/FleetView.h"
#include "gateway/GatewayServices.h"
#include "gateway/ObjectFeed.h"
#include "platform/GatewayFixture.h"
#include "support/Crowd.h"
#include "support/HeldServer.h"
#include "support/Ports.h"
#include "support/Standstill.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace {

using Clock = std::chrono::steady_clock;

// Several reads long, and short enough for the system's buffers of a new connection.
const std::string LongBody(40000, 'x');
std::string listOf(const nlohmann::json &items)
{
    return nlohmann::json{{"items", items}, {"more", false}, {"at", 1001}}.dump();
}

const std::string EmptyList =
        wholeAnswer("200 OK", "", R"({"items":[],"more":false,"at":7})" + std::string(40000, ' '));

/** A gateway with one backend server, whose answers the test holds back. */
class HeldGateway : public GatewayFixture
{
public:
    /** \param objectiveMilliseconds of all routes. */
    void startHeld(int objectiveMilliseconds)
    {
        nlohmann::json spec = configuration(1);
        for (nlohmann::json &route : spec["routes"]) {
            route["goal_ms"] = objectiveMilliseconds;
        }
        putConfiguration(spec);
        store().put("servers", "i-held",
                    {{"service", "pool"},
                     {"address", kernel::text(server.where())},
                     {"zone", "hall-a"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"call_seq", 1}});
        start();
        until([this] { return ready(); }, "readiness");
    }

    /** Begins a call and runs the loop until the server has it. */
    std::shared_ptr<PendingCall> beginHeld(http::Request request)
    {
        auto pending = begin(std::move(request));
        until([this] { return server.asked(); }, "the request's arrival");
        return pending;
    }

    /** The loop stands still for \a longest; \a bytes arrive when its next pass has begun. */
    void sendAfterStandstill(kernel::Duration longest, const std::string &bytes)
    {
        standStill(io_, {Clock::now() + longest, {}, [this, bytes] { server.send(bytes); }});
    }

    /** The loop stands still for \a longest; \a bytes arrive meanwhile. */
    void sendInStandstill(kernel::Duration longest, const std::string &bytes)
    {
        standStill(io_, {Clock::now() + longest, [this, bytes] { server.send(bytes); }, {}});
    }

    /** Begins a planned stop and runs the loop until no connection is taken any more. */
    void beginStop()
    {
        context().kernel.find<gateway::GatewayStop>("stop").begin();
        const boost::asio::ip::tcp::endpoint where(
                boost::asio::ip::make_address(callerEndpoint().address), callerEndpoint().port);
        // A connection that rests is closed then.
        boost::asio::io_context unused;
        boost::asio::ip::tcp::socket rests(unused);
        rests.connect(where);
        const auto closed = [&] {
            return http::arrivedAt(rests.native_handle()) == http::Arrived::End;
        };
        until(closed, "the drain");
    }

    /** The gateway's clock goes on by \a time, and the box is awake in it. */
    void passAwake(kernel::Duration time)
    {
        constexpr kernel::Duration Step = 100ms;
        forward::ServerTable &book = context().kernel.find<gateway::FleetView>("world").servers();
        book.noteAwake(context().now());
        for (kernel::Duration passed = 0ms; passed < time; passed += Step) {
            stepForward(Step);
            book.noteAwake(context().now());
        }
    }

    static std::string head(const std::string &more)
    {
        return "X-Attempt-Id: a1\r\nX-Response-Stamp: i-held.a1\r\n" + more;
    }

    HeldServer server;
};

http::Request patient(const std::string &method, const std::string &target,
                      const std::string &milliseconds)
{
    return GatewayFixture::request(method, target,
                                   http::Fields().with("X-Deadline-Ms", milliseconds));
}

/** A feed on a loop of its own whose store is held by the test. */
class HeldFeed
{
public:
    HeldFeed()
        : context(io, settings())
    {
        context.kernel.add(std::make_unique<services::MembershipService>(context, noOthers()));
        sources.emplace(context, 1000);
        gateway::FeedPaces paces;
        paces.alone.answer = Answer;
        paces.sources.storePauseFirst = 10s;
        paces.sources.storePauseMax = 10s;
        gateway::FeedHooks hooks;
        hooks.changed = [this](std::span<const store::StoredObject> objects) {
            mostAtOnce = std::max(mostAtOnce, objects.size());
        };
        hooks.listComplete = [this](const std::set<std::string> &names) { listed = names.size(); };
        hooks.confirmed = [](kernel::Instant) {};
        feed.emplace(context, adapter.store, adapter.serverKind, paces, *sources, std::move(hooks));
    }

    void until(const std::function<bool()> &condition)
    {
        const Clock::time_point latest = Clock::now() + 30s;
        while (!condition()) {
            BOOST_REQUIRE(Clock::now() < latest);
            io.run_one_for(10ms);
            io.restart();
        }
    }

    static constexpr kernel::Duration Answer = 100ms;

    HeldServer store;
    boost::asio::io_context io{1};
    gateway::Adapter adapter = platform::adapter();
    services::Context context;
    std::optional<std::size_t> listed;
    std::size_t mostAtOnce = 0; ///< Objects that the feed told in one turn.
    std::optional<gateway::FeedSources> sources;
    std::optional<gateway::ObjectFeed> feed;

private:
    static services::PeerDiscovery noOthers() { return {}; }

    kernel::BoxSettings settings() const
    {
        const std::string own = kernel::text(freeEndpoint());
        return kernel::settingsFrom("[box]\nname = box-1\nhall = hall-a\nregion = region-a\n"
                                    "seed = 1\n[listen]\ncaller = "
                                    + own + "\ncontrol = " + kernel::text(freeEndpoint())
                                    + "\npeer = " + kernel::text(freeEndpoint())
                                    + "\n[platform]\naddress = " + kernel::text(store.where())
                                    + "\n[peers]\nkeys = " + std::string(64, 'a') + "\n")
                .value();
    }
};

/** A gateway whose store goes on while the gateway's loop stands still. */
class OwnStoreGateway : public GatewayFixture
{
public:
    OwnStoreGateway()
    {
        store_.reset();
        store_ = std::make_unique<standin::StoreStandin>(storeIo_, storeEndpoint());
    }

    /** The store goes before its loop. */
    ~OwnStoreGateway() { store_.reset(); }

    void startWithOneServer()
    {
        putConfiguration(configuration(1));
        list(runner(0), "pool");
        start();
        untilHere([this] { return listed() && ready(); }, "readiness");
    }

    /** Like until(), with the store running. */
    void untilHere(const std::function<bool()> &condition, const std::string &what)
    {
        const auto both = [&] {
            runStore();
            return condition();
        };
        until(both, what);
    }

    void runStore()
    {
        storeIo_.poll();
        storeIo_.restart();
    }

    /** The store sends what it has to the watches that wait there, and the gateway's system has
     * it. */
    void storeTells()
    {
        runStore();
        runStore();
    }

    /** The entry of the first server goes while the store gives no answers; it does again after. */
    void loseServerInOutage()
    {
        const auto noteGone = [this](const forward::ListedServer &) { ++gone; };
        context().kernel.find<gateway::FleetView>("world").onServerGone(noteGone);
        untilHere([this] { return watches(); }, "the store's watches");
        // A change ends the watch, and the next one finds the store away.
        store().faults.status = 503;
        list(runner(1), "pool");
        const auto failed = [this] { return context().counters.value("store_failures", Servers); };
        untilHere([&] { return failed() > 0; }, "the outage");
        store().remove("servers", "i-one");
        store().faults.status = 0;
    }

    bool listed()
    {
        return context()
                .kernel.find<gateway::FleetView>("world")
                .servers()
                .find("i-one")
                .has_value();
    }

    /** Whether both kinds of objects are followed and nothing is on its way. */
    bool watches() const { return store_->watching() == 2; }

    const kernel::Labels Servers = {{"kind", "servers"}};
    int gone = 0; ///< Servers that were dropped since loseServerInOutage() began.

private:
    boost::asio::io_context storeIo_{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayStallTest)

BOOST_FIXTURE_TEST_CASE(wholeAnswer_arrivedWhenDeadlineIsHandled_isDelivered, HeldGateway)
{
    startHeld(10000);
    const auto pending = beginHeld(patient("POST", "/once/x", "200"));
    sendAfterStandstill(200ms, wholeAnswer("200 OK", head(""), LongBody));
    const auto answer = finish(pending);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
    BOOST_TEST((answer.body == LongBody));
    BOOST_TEST(context().counters.value("late_looks", {{"wait", "deadline"}}) == 1U);
}

BOOST_FIXTURE_TEST_CASE(longAnswer_arrivedInStandstillPastDeadline_isDelivered, HeldGateway)
{
    startHeld(10000);
    const auto pending = beginHeld(patient("POST", "/once/x", "200"));
    sendInStandstill(200ms, wholeAnswer("200 OK", head(""), LongBody));
    const auto answer = finish(pending);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST((answer.body == LongBody));
}

BOOST_FIXTURE_TEST_CASE(bodyOfBegunAnswer_arrivedWhenDeadlineIsHandled_isDelivered, HeldGateway)
{
    startHeld(10000);
    const auto pending = beginHeld(patient("POST", "/once/x", "200"));
    const std::string whole = wholeAnswer("200 OK", head(""), LongBody);
    const std::size_t begun = whole.size() - LongBody.size() / 2;
    server.send(whole.substr(0, begun));
    sendAfterStandstill(200ms, whole.substr(begun));
    const auto answer = finish(pending);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST((answer.body == LongBody));
}

BOOST_FIXTURE_TEST_CASE(endOfStream_arrivedWhenDeadlineIsHandled_isDelivered, HeldGateway)
{
    startHeld(10000);
    http::Fields fields = http::Fields().with("X-Deadline-Ms", "200");
    const auto pending = beginHeld(promptRequest("/stream/x", fields));
    const std::string first = "id: 1\ndata: piece 1\n\n";
    const std::string second = "id: 2\ndata: piece 2\n\n";
    server.send("HTTP/1.1 200 OK\r\n" + head("Transfer-Encoding: chunked\r\n\r\n") + "15\r\n"
                + first + "\r\n");
    until([&] { return pending->answer.body == first; }, "the first event");
    sendAfterStandstill(200ms, "15\r\n" + second + "\r\n0\r\n\r\n");
    const auto answer = finish(pending);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.body == first + second);
}

BOOST_FIXTURE_TEST_CASE(streamThatGoesOn_deadlinePassed_isCut, HeldGateway)
{
    startHeld(10000);
    http::Fields fields = http::Fields().with("X-Deadline-Ms", "200");
    const auto pending = beginHeld(promptRequest("/stream/x", fields));
    server.send("HTTP/1.1 200 OK\r\n" + head("Transfer-Encoding: chunked\r\n\r\n"));
    const std::string event = "data: piece\n\n";
    std::size_t sent = 0;
    // Each event only after its predecessor has come, so that this server never waits for room.
    const auto sendOneMore = [&] {
        if (!pending->done && pending->answer.body.size() == sent) {
            server.sendIfOpen("d\r\n" + event + "\r\n");
            sent += event.size();
        }
        return pending->done;
    };
    until(sendOneMore, "the end of the stream");
    BOOST_TEST(pending->answer.status == 200);
    BOOST_TEST(!pending->answer.whole);
}

BOOST_FIXTURE_TEST_CASE(nothingArrived_deadlineHandledLate_isGivenUp, HeldGateway)
{
    startHeld(10000);
    const auto pending = beginHeld(patient("POST", "/once/x", "200"));
    standStill(io_, {Clock::now() + 200ms, {}, {}});
    BOOST_TEST(finish(pending).status == 504);
    BOOST_TEST(context().counters.total("late_looks") == 0U);
}

BOOST_FIXTURE_TEST_CASE(answer_arrivedWhenSilenceIsHandled_serverIsNotSilent, HeldGateway)
{
    startHeld(100);
    const auto pending = beginHeld(patient("GET", "/again/x", "15000"));
    const std::string bytes = wholeAnswer("200 OK", head(""), LongBody);
    // A standstill itself counts for no server's silence, so more time passes after it, in which
    // the box is awake: longer than any server may be silent.
    standStill(io_, {Clock::now() + 1s, {}, [this, bytes] {
                         passAwake(300ms);
                         server.send(bytes);
                     }});
    const auto answer = finish(pending);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(context().counters.total("attempt_failures") == 0U);
    BOOST_TEST(context().counters.value("late_looks", {{"wait", "silence"}}) == 1U);
}

// The head's first part is read ahead of the end of the silence, the rest right behind it.
BOOST_FIXTURE_TEST_CASE(longHead_isReadButNotHandledWhenSilenceEnds_serverIsNotSilent, HeldGateway)
{
    startHeld(100);
    const auto pending = beginHeld(patient("GET", "/again/x", "15000"));
    // Two reads of a new connection, of 512 bytes each.
    const std::string fields = head("X-Long: " + std::string(600, 'x') + "\r\n");
    const std::string whole = wholeAnswer("200 OK", fields, "whole");
    boost::asio::post(io_, [this, &whole] {
        blockPast(1s);
        passAwake(300ms);
        server.send(whole.substr(0, whole.size() - 1));
    });
    const auto looked = [this] {
        return context().counters.value("late_looks", {{"wait", "silence"}}) > 0U
               || context().counters.total("attempt_failures") > 0U;
    };
    until(looked, "the end of the silence");
    server.sendIfOpen(whole.substr(whole.size() - 1));
    const auto answer = finish(pending);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "whole");
    BOOST_TEST(context().counters.total("attempt_failures") == 0U);
}

// What has come of a head and can't be read to its end is no answer that waits for its reader.
BOOST_FIXTURE_TEST_CASE(halfAHead_serverThenSaysNothing_serverIsSilent, HeldGateway)
{
    startHeld(100);
    const auto pending = beginHeld(patient("GET", "/again/x", "5000"));
    // Without another server the silent one would be waited for.
    list(runner(0), "pool");
    const auto &servers = context().kernel.find<gateway::FleetView>("world").servers();
    until([&] { return servers.ids().size() == 2; }, "the other server");
    server.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n");
    passAwake(1s);
    until([&] { return pending->done; }, "the end of the request");
    const auto silent = context().counters.value("attempt_failures", {{"reason", "silent"}});
    BOOST_TEST(silent == 1U);
}

BOOST_FIXTURE_TEST_CASE(list_arrivedWhenEndOfCallIsHandled_storeIsNotLost, HeldFeed)
{
    until([this] { return store.asked(); });
    standStill(io, {Clock::now() + Answer, {}, [&] { store.send(EmptyList); }});
    until([this] { return listed || feed->lastFailure(); });
    BOOST_TEST(listed.has_value());
    BOOST_TEST(!feed->lastFailure().has_value());
    BOOST_TEST(context.counters.value("late_looks", {{"wait", "store"}}) == 1U);
}

BOOST_FIXTURE_TEST_CASE(longList_arrivedInStandstillPastEndOfCall_storeIsNotLost, HeldFeed)
{
    until([this] { return store.asked(); });
    standStill(io, {Clock::now() + Answer, [&] { store.send(EmptyList); }, {}});
    until([this] { return listed || feed->lastFailure(); });
    BOOST_TEST(listed.has_value());
    BOOST_TEST(!feed->lastFailure().has_value());
}

// A page of megabytes takes a slow link longer than a silent store is waited for. Given up, it came
// again from its beginning and was never read.
BOOST_FIXTURE_TEST_CASE(list_pageComesSlowly_isWaitedForWhileBytesCome, HeldFeed)
{
    until([this] { return store.asked(); });
    constexpr int Parts = 60;
    const std::string answer =
            wholeAnswer("200 OK", "", std::string(Parts, ' ') + listOf(nlohmann::json::array()));
    const std::size_t headEnd = answer.find("\r\n\r\n") + 4;
    std::size_t sent = headEnd;
    store.send(answer.substr(0, headEnd));
    const Clock::time_point begun = Clock::now();
    while (!listed && !feed->lastFailure()) {
        // A byte each tenth of the wait, for six times as long: unread bytes alone are waited for
        // twice that.
        if (Clock::now() >= begun + (sent - headEnd) * Answer / 10 && sent < headEnd + Parts) {
            store.sendIfOpen(answer.substr(sent++, 1));
        } else if (sent == headEnd + Parts) {
            store.sendIfOpen(answer.substr(sent));
            sent = answer.size();
        }
        io.run_one_for(1ms);
        io.restart();
    }
    BOOST_TEST(listed.has_value());
}

BOOST_FIXTURE_TEST_CASE(list_manyObjects_areTakenInSomeAtATime, HeldFeed)
{
    constexpr int Servers = 1000;
    nlohmann::json items = nlohmann::json::array();
    for (int number = 0; number < Servers; ++number) {
        const std::string name = "i-" + std::to_string(number);
        items.push_back({{"metadata", {{"name", name}, {"revision", 1 + number}}}});
    }
    until([this] { return store.asked(); });
    store.send(wholeAnswer("200 OK", "", listOf(items)));
    until([this] { return listed || feed->lastFailure(); });
    BOOST_TEST_REQUIRE(listed.has_value());
    BOOST_TEST(*listed == Servers);
    BOOST_TEST(mostAtOnce <= 64U);
}

BOOST_FIXTURE_TEST_CASE(list_nothingArrivedWhenEndOfCallIsHandled_storeIsLost, HeldFeed)
{
    until([this] { return store.asked(); });
    standStill(io, {Clock::now() + Answer, {}, {}});
    until([this] { return listed || feed->lastFailure(); });
    BOOST_TEST(!listed.has_value());
}

// Its server counts the rest from when the answer left. A once-only request that goes out as the
// server closes is lost, and nobody knows whether it ran.
BOOST_FIXTURE_TEST_CASE(answer_waitedUnreadForMostOfTheRest_connectionIsNotTakenAgain, HeldGateway)
{
    startHeld(10000);
    const auto first = beginHeld(patient("POST", "/once/x", "15000"));
    sendInStandstill(600ms, wholeAnswer("200 OK", head("Keep-Alive: timeout=1\r\n"), "first"));
    BOOST_TEST(finish(first).status == 200);
    server.forgetRequest();
    const auto before = context().counters.value("backend_connections");
    const auto second = begin(patient("POST", "/once/x", "15000"));
    const auto went = [&] {
        return server.asked() || context().counters.value("backend_connections") > before;
    };
    until(went, "the second request");
    BOOST_TEST(context().counters.value("backend_connections") == before + 1);
}

BOOST_FIXTURE_TEST_CASE(answer_arrivedInStandstillPastEndOfStop_isDelivered, HeldGateway)
{
    moreSettings = "stop-within = 1s\n";
    startHeld(10000);
    const auto pending = beginHeld(patient("POST", "/once/x", "15000"));
    beginStop();
    sendInStandstill(1s, wholeAnswer("200 OK", head(""), LongBody));
    until([this] { return stopped_; }, "the end of the stop");
    BOOST_TEST(context().kernel.find<gateway::FrontService>("front").active() == 0U);
    const auto answer = finish(pending);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST((answer.body == LongBody));
}

BOOST_FIXTURE_TEST_CASE(nothingArrived_standstillPastEndOfStop_stopEndsAllTheSame, HeldGateway)
{
    moreSettings = "stop-within = 1s\n";
    startHeld(10000);
    const auto pending = beginHeld(patient("POST", "/once/x", "15000"));
    beginStop();
    standStill(io_, {Clock::now() + 1s, {}, {}});
    until([this] { return stopped_; }, "the end of the stop");
    BOOST_TEST(!pending->done);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(GatewayStallListTest, OwnStoreGateway)

BOOST_AUTO_TEST_CASE(leavingOfServer_arrivedInStandstillBeforeTheRequest_serverGetsNothing)
{
    startWithOneServer();
    const auto first = begin(request("POST", "/once/x"));
    untilHere([&] { return first->done; }, "the first answer");
    BOOST_REQUIRE(first->answer.status == 200);
    untilHere([this] { return watches(); }, "the store's watches");
    const std::string question =
            "POST /once/x HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: a2\r\n"
            "X-Deadline-Ms: 15000\r\nX-Api-Key: key-one\r\nContent-Length: 0\r\n\r\n";
    boost::asio::io_context unused;
    boost::asio::ip::tcp::socket caller(unused);
    caller.connect(
            {boost::asio::ip::make_address(callerEndpoint().address), callerEndpoint().port});
    boost::asio::write(caller, boost::asio::buffer(question.substr(0, 1)));
    io_.poll();
    io_.restart();
    const auto leavesThenAsked = [&] {
        list(runner(0), "pool", "draining");
        storeTells();
        boost::asio::write(caller, boost::asio::buffer(question.substr(1)));
    };
    standStill(io_, {Clock::now() + 300ms, leavesThenAsked, {}});
    untilHere([&] { return caller.available() > 0; }, "the answer");
    BOOST_TEST(runner(0).records().size() == 1U);
}

// How long a server is kept whose entry has gone in an outage counts from when the word came.
BOOST_AUTO_TEST_CASE(serverThatWentInOutage_wordLayUnreadForTheWholeGrace_isDroppedAtOnce)
{
    moreSettings = "drain-within = 1s\n";
    startWithOneServer();
    loseServerInOutage();
    const auto before = context().counters.value("store_calls", Servers);
    const auto asked = [&] { return context().counters.value("store_calls", Servers) > before; };
    until(asked, "the question for the list");
    bool told = false;
    const auto answer = [&] {
        for (int turns = 0; turns < 10; ++turns) {
            runStore();
        }
        told = true;
    };
    standStill(io_, {Clock::now() + 600ms, answer, {}});
    untilHere([&] { return told && watches(); }, "the list without the server");
    BOOST_TEST(gone == 1);
}

// An entry that has gone soon after an outage is kept until its server had time to be listed again.
BOOST_AUTO_TEST_CASE(serverThatWentInOutage_isListedAgainInStandstill_isKept)
{
    moreSettings = "drain-within = 60s\nlist-beat = 20s\n";
    startWithOneServer();
    loseServerInOutage();
    untilHere([this] { return watches(); }, "the list without the server");
    BOOST_REQUIRE(gone == 0);
    bool told = false;
    const auto listAgain = [&] {
        // Past the time for which the server is kept.
        stepForward(60s);
        list(runner(0), "pool");
        storeTells();
        told = true;
    };
    standStill(io_, {Clock::now() + 300ms, listAgain, {}});
    untilHere([&] { return told && watches(); }, "the list with the server");
    BOOST_TEST(gone == 0);
    BOOST_TEST(listed());
}

BOOST_AUTO_TEST_SUITE_END()

// Seen while the waits above were looked at: the deadline of a request whose whole answer was being
// passed to a slow caller closed the connection to the server, which was in use for another request
// by then. Cause: the run gave the connection back and kept hold of it.
BOOST_AUTO_TEST_SUITE(GatewayGivenBackTest)

BOOST_FIXTURE_TEST_CASE(connection_givenBackBySlowCallersRun_isNotClosedAtItsDeadline, HeldGateway)
{
    startHeld(10000);
    boost::asio::io_context unused;
    boost::asio::ip::tcp::socket slow(unused, boost::asio::ip::tcp::v4());
    slow.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    slow.connect({boost::asio::ip::make_address(callerEndpoint().address), callerEndpoint().port});
    // Long enough for all that comes before its end, on a busy machine too.
    const std::string question =
            "POST /again/x HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: a1\r\n"
            "X-Deadline-Ms: 3000\r\nX-Api-Key: key-one\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(slow, boost::asio::buffer(question));
    until([this] { return server.asked(); }, "the first request's arrival");
    const Clock::time_point over = Clock::now() + 3s;
    server.forgetRequest();
    // More than the system takes for a caller that reads nothing.
    std::string body;
    for (int part = 0; part < 300; ++part) {
        body += LongBody;
    }
    std::string answer = wholeAnswer("200 OK", head(""), body);
    const auto sendMore = [&] {
        server.sendSome(answer);
        return answer.empty();
    };
    until(sendMore, "the first answer's departure");
    until(
            [this] {
                return context().counters.value("results", {{"kind", "passed"}, {"code", "ok"}})
                       == 1U;
            },
            "the first answer's arrival");
    const auto pending = beginHeld(patient("POST", "/once/x", "15000"));
    // Timers are handled in the order of their ends.
    bool isOver = false;
    boost::asio::steady_timer later(io_, over);
    later.async_wait([&](boost::system::error_code) { isOver = true; });
    until([&] { return isOver; }, "the end of the first request's time");
    server.sendIfOpen(wholeAnswer("200 OK", head(""), "second"));
    const auto second = finish(pending);
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == "second");
}

BOOST_AUTO_TEST_SUITE_END()
