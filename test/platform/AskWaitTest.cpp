// Asks of owners against an event loop that stood still.
//
// Found by reading the sources and reproduced here, not in a record of a fleet:
// on boxes with little of a processor, owners were taken for silent again and again, and
// their resources went to other owners for some heartbeats, though they had answered in time. How
// it came about: the loop was held up for longer than the wait for an owner's answer, some tens of
// milliseconds. The answer came meanwhile and lay unread in the socket when the wait's timer ran.
// Cause: the end of the wait was taken for silence without reading what had come.
// The tests make just that state within one handler of the loop, see support/Crowd.h.

#include "gateway/PlaceService.h"
#include "membership/Ownership.h"
#include "platform/GatewayFixture.h"
#include "platform/OtherBox.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PeerService.h"
#include "services/PermitService.h"
#include "support/Crowd.h"
#include "support/Fleet.h"
#include "support/Ports.h"
#include "support/Standstill.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace limereel;
using kernel::Duration;
using support::OtherBox;

namespace {

namespace asio = boost::asio;

constexpr Duration AskWait = 100ms;
constexpr int Rounds = 10;

/** Holds a loop up past the end of an ask's wait until the answer has come behind it. */
class HoldUp
{
public:
    explicit HoldUp(asio::io_context &io)
        : crowd_(io)
    {
    }

    /** Runs in the loop. */
    void operator()()
    {
        support::blockPast(AskWait);
        crowd_.becomeReadable();
        standing_.set_value();
        answered_.get_future().wait();
    }

    void untilStanding() { standing_.get_future().wait(); }
    void release() { answered_.set_value(); }

private:
    support::Crowd crowd_;
    std::promise<void> standing_;
    std::promise<void> answered_;
};

/** Waits in the other thread for the ask number \a which and answers it while the loop stands
 * still, behind \a others. */
void answerLate(asio::io_context &io, OtherBox &box, HoldUp &holdUp, int which, int others = 0)
{
    peer::AskPermit ask = box.nextAsk();
    for (int passedOver = 1; passedOver < which; ++passedOver) {
        ask = box.nextAsk();
    }
    asio::post(io, [&holdUp] { holdUp(); });
    holdUp.untilStanding();
    box.grant(ask, others);
    holdUp.release();
}

/** A gateway that knows one other box. */
struct TwoBoxes : support::GatewayFixture
{
    TwoBoxes()
    {
        startReady();
        context().settings.askTimeout = AskWait;
        other = std::make_unique<OtherBox>(peerEndpoint(), std::string(64, 'a'));
        const membership::BoxState state{
                .box = kernel::hashOf("box-2"), .incarnation = 1, .version = 1};
        other->send(peer::Heartbeat{{state}, {}});
        until([this] { return owners().size() == 2; }, "the other box is known");
    }

    std::vector<std::uint64_t> owners()
    {
        return context().kernel.find<services::MembershipService>("membership").owners();
    }

    /** A server that the other box owns. */
    forward::ListedServer foreignServer()
    {
        forward::ListedServer server;
        server.service = "pool";
        for (int number = 0; server.id.empty(); ++number) {
            const std::string id = "engine-" + std::to_string(number);
            if (membership::ownerOf(kernel::hashOf(id), owners()) == kernel::hashOf("box-2")) {
                server.id = id;
            }
        }
        return server;
    }

    /** Asks for a place there; the other box answers while the loop stands still, behind \a others
     * of its messages. */
    gateway::PlaceOutcome takeWithLateAnswer(int others = 0)
    {
        HoldUp holdUp(io_);
        std::optional<gateway::PlaceOutcome> outcome;
        std::jthread thread([&] { answerLate(io_, *other, holdUp, 1, others); });
        asio::co_spawn(io_, take(foreignServer(), outcome), asio::detached);
        until([&] { return outcome.has_value(); }, "the place");
        return *outcome;
    }

    /** Asks for a place there; the other box answers nothing in time. */
    gateway::PlaceOutcome takeUnanswered()
    {
        std::optional<gateway::PlaceOutcome> outcome;
        asio::co_spawn(io_, take(foreignServer(), outcome), asio::detached);
        until([&] { return outcome.has_value(); }, "the end of the wait");
        return *outcome;
    }

    asio::awaitable<void> take(forward::ListedServer server,
                               std::optional<gateway::PlaceOutcome> &outcome)
    {
        auto &places = context().kernel.find<gateway::PlaceService>("places");
        auto taken = co_await places.acquire(std::move(server), 0);
        outcome.emplace(std::move(taken));
    }

    std::unique_ptr<OtherBox> other;
};

/** A router whose asks go to a box that only this test plays. */
struct OneRouter
{
    OneRouter()
    {
        fleet.engines("hall-a", 1).routers("hall-a", 1);
        fleet.start();
        const auto &settings = fleet.context(0).settings;
        other = std::make_unique<OtherBox>(settings.peer, settings.peerKeys.front());
    }

    /** Asks twice at most; the ask number \a which is answered while the loop stands still. */
    std::optional<peer::PermitAnswer> askWithLateAnswer(int which)
    {
        HoldUp holdUp(fleet.io());
        std::optional<peer::PermitAnswer> answer;
        std::jthread thread([&] { answerLate(fleet.io(), *other, holdUp, which); });
        fleet.await([&]() -> asio::awaitable<void> {
            auto &permits = fleet.context(0).kernel.find<services::PermitService>("permits");
            const peer::AskPermit ask{.request = fleet.context(0).random(), .resource = 1};
            answer = co_await permits.askAt(other->endpoint(), ask, AskWait);
        });
        return answer;
    }

    std::uint64_t retries()
    {
        return fleet.context(0).counters.value("retries", {{"reason", "ask-unanswered"}});
    }

    support::Fleet fleet;
    std::unique_ptr<OtherBox> other;
};

/** A router that owns its hall's only engine, and another box that asks it for permits. */
struct OneOwner
{
    OneOwner()
    {
        fleet.settings([](kernel::BoxSettings &settings) { settings.permitLease = Lease; });
        fleet.engines("hall-a", 1).routers("hall-a", 1);
        fleet.start();
        const auto &settings = fleet.context(0).settings;
        other = std::make_unique<OtherBox>(settings.peer, settings.peerKeys.front());
        permit.resource = owner().view().backends.front().listed.backend.hash();
    }

    services::OwnerService &owner()
    {
        return fleet.context(0).kernel.find<services::OwnerService>("owner");
    }

    peer::AskPermit ask(peer::AskKind kind) const
    {
        return {.kind = kind,
                .request = permit.request,
                .router = Router,
                .resource = permit.resource,
                .model = Model};
    }

    /** The loop stands still past the lease; the renewal arrives before the lease's end is
     * handled. */
    void standStillWithRenewal()
    {
        const auto renew = [this] {
            other->send(peer::Renew{Router, {permit}});
            other->untilUnread();
        };
        support::standStill(fleet.io(), {std::chrono::steady_clock::now() + Lease, {}, renew});
        BOOST_REQUIRE(fleet.until([this] { return renewals() > 0; }));
    }

    std::uint64_t renewals()
    {
        return fleet.context(0).counters.value("peer_bytes",
                                               {{"direction", "in"}, {"kind", "renew"}});
    }

    std::uint64_t expired() { return fleet.context(0).counters.value("permits_expired"); }

    static constexpr Duration Lease = 600ms;
    const std::uint64_t Router = kernel::hashOf("box-2");
    const membership::ShortHash Model = membership::shortHash(kernel::hashOf("small"));

    support::Fleet fleet;
    std::unique_ptr<OtherBox> other;
    peer::HeldPermit permit{.request = 77, .resource = 0, .organisation = 0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(AskWaitTest)

BOOST_FIXTURE_TEST_CASE(placeAsk_answerUnreadWhenWaitEnds_isTaken, TwoBoxes)
{
    for (int round = 0; round < Rounds; ++round) {
        const auto outcome = takeWithLateAnswer();
        BOOST_REQUIRE(outcome.place.has_value());
        BOOST_TEST(outcome.place->owner == kernel::hashOf("box-2"));
        BOOST_REQUIRE(owners().size() == 2U);
    }
    BOOST_TEST(context().counters.value("owners_unreachable") == 0U);
}

// The read that is begun when a message is handled takes the next one from the socket at once, and
// its handler is queued behind a waiter that looks then: the socket is empty and the answer unread.
BOOST_FIXTURE_TEST_CASE(placeAsk_answerUnreadBehindOtherMessagesWhenWaitEnds_isTaken, TwoBoxes)
{
    constexpr int MostOthers = 8;
    for (int others = 1; others <= MostOthers; ++others) {
        const auto outcome = takeWithLateAnswer(others);
        BOOST_REQUIRE(outcome.place.has_value());
        BOOST_TEST_CONTEXT(others << " messages ahead of the answer")
        {
            BOOST_TEST(outcome.place->owner == kernel::hashOf("box-2"));
        }
        BOOST_REQUIRE(owners().size() == 2U);
    }
}

// Told back to the owner, its word that a server is cold would never end: no box sent it anything
// for the rest of a soak.
BOOST_FIXTURE_TEST_CASE(placeAsk_ownerSaysCold_noPlaceIsTakenAndTheWordIsNotToldBack, TwoBoxes)
{
    const auto coldMsAsked = [this] {
        std::optional<gateway::PlaceOutcome> outcome;
        std::atomic<std::uint32_t> coldMs = 0;
        std::jthread thread([&] {
            const peer::AskPermit ask = other->nextAsk();
            coldMs = ask.coldMs;
            other->send(peer::PermitAnswer{.request = ask.request,
                                           .result = peer::PermitResult::Cold,
                                           .suggestions = {},
                                           .load = 1});
        });
        asio::co_spawn(io_, take(foreignServer(), outcome), asio::detached);
        until([&] { return outcome.has_value(); }, "the end of the ask");
        BOOST_TEST(outcome->cold);
        BOOST_TEST(!outcome->place.has_value());
        thread.join();
        return coldMs.load();
    };
    context().settings.askTimeout = 20s;
    context().kernel.find<gateway::FleetView>("world").coldStarts().setServices(
            {{"pool", {3s, 5}}});
    BOOST_TEST(coldMsAsked() == 0U);
    BOOST_TEST(coldMsAsked() == 0U);
}

// An owner that stood still itself reads the ask and grants it when nobody waits any more. Its
// count held the place for the whole lease of 20 s, though the request had long ended.
BOOST_FIXTURE_TEST_CASE(placeAsk_unanswered_isGivenBackToWhoWasAskedAtTheEnd, TwoBoxes)
{
    const auto outcome = takeUnanswered();
    BOOST_REQUIRE(outcome.place.has_value());
    BOOST_TEST(outcome.place->owner == 0U);
    const auto ask = other->nextAsk();
    context().kernel.find<gateway::PlaceService>("places").giveBack(*outcome.place);
    // Behind a give-back, if there was one.
    context().kernel.find<services::PeerService>("peer").send(other->endpoint(), peer::Placed{});
    const auto told = other->nextOf<peer::GiveBack, peer::Placed>();
    BOOST_REQUIRE(std::holds_alternative<peer::GiveBack>(told));
    BOOST_TEST(std::get<peer::GiveBack>(told).request == ask.request);
    BOOST_TEST(std::get<peer::GiveBack>(told).resource == ask.resource);
}

BOOST_FIXTURE_TEST_CASE(permitAsk_answerUnreadWhenFirstWaitEnds_isNotAskedAgain, OneRouter)
{
    for (int round = 0; round < Rounds; ++round) {
        BOOST_TEST(askWithLateAnswer(1).has_value());
    }
    BOOST_TEST(retries() == 0U);
}

BOOST_FIXTURE_TEST_CASE(permitAsk_answerUnreadWhenLastWaitEnds_isTaken, OneRouter)
{
    for (int round = 0; round < Rounds; ++round) {
        BOOST_TEST(askWithLateAnswer(2).has_value());
    }
}

BOOST_FIXTURE_TEST_CASE(permitAsk_neverAnswered_endsWithNothing, OneRouter)
{
    std::optional<peer::PermitAnswer> answer;
    fleet.await([&]() -> asio::awaitable<void> {
        auto &permits = fleet.context(0).kernel.find<services::PermitService>("permits");
        const peer::AskPermit ask{.request = 1, .resource = 1};
        answer = co_await permits.askAt(other->endpoint(), ask, AskWait);
    });
    BOOST_TEST(!answer.has_value());
    BOOST_TEST(retries() == 1U);
}

// An owner that takes a permit for lapsed though its request runs grants one over the bound.
BOOST_FIXTURE_TEST_CASE(permit_renewalUnreadWhenOwnerFindsTheLeaseOver_isKept, OneOwner)
{
    BOOST_REQUIRE(
            (owner().decide(ask(peer::AskKind::Engine)).result == peer::PermitResult::Granted));
    standStillWithRenewal();
    BOOST_TEST(expired() == 0U);
    BOOST_TEST(owner().ownLoad(Model) == 1U);
}

BOOST_FIXTURE_TEST_CASE(permit_neverRenewed_ends, OneOwner)
{
    BOOST_REQUIRE(
            (owner().decide(ask(peer::AskKind::Engine)).result == peer::PermitResult::Granted));
    support::standStill(fleet.io(), {std::chrono::steady_clock::now() + Lease, {}, {}});
    BOOST_TEST(fleet.until([this] { return expired() == 1U; }));
    BOOST_TEST(owner().ownLoad(Model) == 0U);
}

// The same for a place that this box holds for a box of another hall.
BOOST_FIXTURE_TEST_CASE(permitForAnotherHall_renewalUnreadWhenLeaseIsOver_isKept, OneOwner)
{
    other->send(ask(peer::AskKind::Spill));
    BOOST_REQUIRE(fleet.until([this] { return owner().ownLoad(Model) == 1U; }));
    // The owner of that resource must not adopt the permit beside.
    permit.resource = 0;
    standStillWithRenewal();
    BOOST_TEST(owner().ownLoad(Model) == 1U);
}

// A box renews the permits of its own requests itself, at a timer that stood still as well.
BOOST_FIXTURE_TEST_CASE(permitOfOwnRequest_ownerStoodStillPastTheLease_isKept, OneOwner)
{
    bool done = false;
    const auto chat = [&]() -> asio::awaitable<void> {
        support::Turn turn;
        turn.tokens = 500;
        co_await fleet.chatAsync(0, std::move(turn));
        done = true;
    };
    asio::co_spawn(fleet.io(), chat, asio::detached);
    BOOST_REQUIRE(fleet.until([this] { return fleet.engine(0).running() == 1U; }));
    bool handled = false;
    const auto lookFirst = [&] {
        // The owner's look goes before the renewal's timer.
        fleet.context(0).kernel.find<services::MembershipService>("membership").hurry();
        asio::post(fleet.io(), [&] { handled = true; });
    };
    support::standStill(fleet.io(), {std::chrono::steady_clock::now() + Lease, lookFirst, {}});
    BOOST_REQUIRE(fleet.until([&] { return handled; }));
    BOOST_TEST(expired() == 0U);
    BOOST_TEST(fleet.until([&] { return done; }));
}

BOOST_AUTO_TEST_SUITE_END()
