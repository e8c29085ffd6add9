// Which engines are asked for a chat if its preferred engines are full or have failed it.
//
// Guards against a refusal as "engines full" beside an empty engine, seen with one of six engines
// refusing everything. The router that owned the chat's home engine had named five engines to ask:
// the one that had just refused the chat, and four full ones. The empty engine was sixth and was
// left out. The fixture brings a hall into that state.

#include "membership/Ownership.h"
#include "routing/Placement.h"
#include "services/ConfigService.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PermitService.h"
#include "support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
namespace asio = boost::asio;
using peer::PermitResult;
using support::Fleet;

namespace {

constexpr std::size_t Failed = 3;
constexpr std::size_t WithFreeSlot = 2;
/** Failures in a row after which an owner considers an engine unusable. */
constexpr int FailuresToUnusable = 2;
constexpr int Chats = 24; ///< Enough that each engine comes last for some.

/** Six engines with one slot each, so that one request fills an engine whatever the mean is. */
struct SlotsFixture
{
    SlotsFixture()
    {
        // Slots that a test takes stay taken during the test, although their permits aren't
        // renewed.
        fleet.settings([](kernel::BoxSettings &settings) { settings.permitLease = 300s; });
        fleet.engines("hall-a", 6).routers("hall-a", 3);
        fleet.start();
        BOOST_REQUIRE(fleet.set(0, "pool:small", "slots", "1").status == 200);
        BOOST_REQUIRE(fleet.until([this] { return slotsAreKnown(); }));
    }

    template <typename Service>
    Service &at(std::size_t router, const char *name)
    {
        return fleet.context(router).kernel.find<Service>(name);
    }

    services::OwnerService &owner(std::size_t router)
    {
        return at<services::OwnerService>(router, "owner");
    }

    bool slotsAreKnown()
    {
        for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
            const auto &effective = at<services::ConfigService>(router, "config").effective();
            if (effective.poolOfModelHash(model)->slots != 1) {
                return false;
            }
        }
        return true;
    }

    std::uint64_t hashOf(std::size_t engine)
    {
        return owner(0).view().backends.at(engine).listed.backend.hash();
    }

    std::size_t ownerOf(std::size_t engine)
    {
        const auto owners = at<services::MembershipService>(0, "membership").owners();
        const auto box = membership::ownerOf(hashOf(engine), owners);
        std::size_t router = 0;
        while (fleet.context(router).settings.box.hash() != box) {
            ++router;
        }
        return router;
    }

    /** Takes the slots of all engines but \a free, and waits until every box knows it. */
    void fillAllBut(const std::set<std::size_t> &free)
    {
        for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
            if (free.contains(engine)) {
                continue;
            }
            const std::size_t router = ownerOf(engine);
            const peer::AskPermit ask{.kind = peer::AskKind::Engine,
                                      .request = engine + 1,
                                      .router = fleet.context(router).settings.box.hash(),
                                      .resource = hashOf(engine),
                                      .model = model};
            BOOST_REQUIRE((owner(router).decide(ask).result == PermitResult::Granted));
        }
        BOOST_REQUIRE(fleet.until([this, free] { return onlyFree(free); }));
    }

    /** Whether every box considers exactly the engines \a free empty. */
    bool onlyFree(const std::set<std::size_t> &free)
    {
        for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
            const auto &backends = owner(router).view().backends;
            for (std::size_t engine = 0; engine < backends.size(); ++engine) {
                if ((backends[engine].state.inFlight == 0) != free.contains(engine)) {
                    return false;
                }
            }
        }
        return true;
    }

    services::EngineRequirements needOf(int chat)
    {
        const kernel::OrganisationId organisation("/accra/hauler-a");
        return {.organisation = organisation.hash(),
                .chat = kernel::chatKey(organisation, kernel::ModelId("small"),
                                        "c" + std::to_string(chat)),
                .model = model,
                .candidates = 5};
    }

    tl::expected<services::Permit, services::PermitRefusal>
    acquire(std::size_t router, services::EngineRequirements need)
    {
        tl::expected<services::Permit, services::PermitRefusal> result;
        fleet.await([&]() -> asio::awaitable<void> {
            result = co_await at<services::PermitService>(router, "permits").acquireEngine(need);
        });
        return result;
    }

    /** Takes \a engines down and informs only their owners. Other boxes learn of it with the next
     * heartbeat, so a test that asks without a wait asks before that. */
    void failKnownToOwnersOnly(const std::set<std::size_t> &engines)
    {
        for (const std::size_t engine : engines) {
            fleet.takeDown(engine);
            services::OwnerService &owned = owner(ownerOf(engine));
            for (int failure = 0; failure < FailuresToUnusable; ++failure) {
                owned.take(peer::GiveBack{.request = 0,
                                          .resource = hashOf(engine),
                                          .observed = peer::Observed::Unreachable});
            }
            BOOST_REQUIRE(!owned.view().backends.at(engine).open());
        }
    }

    bool openAt(std::size_t router, std::size_t engine)
    {
        return owner(router).view().backends.at(engine).open();
    }

    std::set<std::size_t> allBut(const std::set<std::size_t> &left)
    {
        std::set<std::size_t> engines;
        for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
            if (!left.contains(engine)) {
                engines.insert(engine);
            }
        }
        return engines;
    }

    /** A chat whose first candidate is \a engine, while all are open. */
    services::EngineRequirements needWithHome(std::size_t engine)
    {
        int chat = 0;
        const auto engines = owner(0).view().enginesOf(model);
        while (routing::candidatesFor(needOf(chat).chat, engines, 1).front().engine
               != hashOf(engine)) {
            ++chat;
        }
        return needOf(chat);
    }

    /** Asks at \a router while only the owners of \a failed know that these are down. */
    tl::expected<services::Permit, services::PermitRefusal>
    acquireWithFailureKnownToOwnersOnly(std::size_t router, services::EngineRequirements need,
                                        const std::set<std::size_t> &failed)
    {
        tl::expected<services::Permit, services::PermitRefusal> result;
        fleet.await([&]() -> asio::awaitable<void> {
            failKnownToOwnersOnly(failed);
            BOOST_TEST(std::ranges::any_of(
                    failed, [&](std::size_t engine) { return openAt(router, engine); }));
            result = co_await at<services::PermitService>(router, "permits").acquireEngine(need);
        });
        return result;
    }

    /** Lets chats at all routers take the only free slot, one after the other. */
    void eachChatFindsTheFreeSlot(const std::set<std::size_t> &free,
                                  const std::set<std::uint64_t> &excluded)
    {
        fillAllBut(free);
        for (int chat = 0; chat < Chats; ++chat) {
            const std::size_t router = static_cast<std::size_t>(chat) % fleet.routerCount();
            services::EngineRequirements need = needOf(chat);
            need.excluded = excluded;
            const auto permit = acquire(router, need);
            BOOST_TEST_CONTEXT("chat " << chat)
            {
                BOOST_TEST(permit.has_value());
            }
            if (permit) {
                BOOST_TEST(permit->resource == hashOf(WithFreeSlot));
                at<services::PermitService>(router, "permits")
                        .giveBack(*permit, peer::Observed::Unused);
            }
            BOOST_REQUIRE(fleet.until([this, free] { return onlyFree(free); }));
        }
    }

    Fleet fleet;
    const membership::ShortHash model = membership::shortHash(kernel::ModelId("small").hash());
};

} // namespace

BOOST_AUTO_TEST_SUITE(ShortlistTest)

BOOST_AUTO_TEST_CASE(shortlist_anyOrder_dropsTheLastCandidatesAndKeepsThoseOfThePool)
{
    for (std::uint64_t candidates = 0; candidates <= 16; ++candidates) {
        for (std::uint64_t ofPool = 0; ofPool <= 2; ++ofPool) {
            std::vector<routing::Choice> order;
            for (std::uint64_t engine = 0; engine < candidates + ofPool; ++engine) {
                order.push_back({engine, engine < candidates ? routing::Reason::LeastLoaded
                                                             : routing::Reason::Spilled});
            }
            const auto kept = routing::shortlist(order, 8);
            BOOST_TEST(kept.size() == std::min<std::size_t>(order.size(), 8));
            BOOST_TEST((std::equal(kept.rbegin(), kept.rbegin() + static_cast<int>(ofPool),
                                   order.rbegin())));
            const auto front = kept.size() - ofPool;
            BOOST_TEST((std::equal(kept.begin(), kept.begin() + static_cast<int>(front),
                                   order.begin())));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(EngineChoiceTest, SlotsFixture)

BOOST_AUTO_TEST_CASE(engineFailedTheChat_isNotAmongTheEnginesAsked)
{
    eachChatFindsTheFreeSlot({Failed, WithFreeSlot}, {hashOf(Failed)});
}

BOOST_AUTO_TEST_CASE(candidatesAreFull_engineWithAFreeSlotBeyondThemIsAsked)
{
    eachChatFindsTheFreeSlot({WithFreeSlot}, {});
}

// A holder that another box owns is tried before all candidates, so the router that owns the chat's
// home engine tries none of these itself.
BOOST_AUTO_TEST_CASE(holderAndCandidatesAreFull_engineWithAFreeSlotBeyondThemIsAsked)
{
    for (int chat = 0; chat < Chats; ++chat) {
        constexpr std::array<std::size_t, 3> Holders = {0, 1, 4};
        const std::uint64_t holder = hashOf(Holders.at(static_cast<std::size_t>(chat) % 3));
        for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
            owner(router).take(peer::Placed{.chat = needOf(chat).chat,
                                            .home = holder,
                                            .engine = membership::shortHash(holder),
                                            .model = model,
                                            .passedOn = true});
        }
    }
    eachChatFindsTheFreeSlot({WithFreeSlot}, {});
}

BOOST_AUTO_TEST_CASE(onlyTheEngineThatFailedTheChatHasAFreeSlot_chatIsRefusedAsFull)
{
    fillAllBut({Failed});
    for (int chat = 0; chat < Chats; ++chat) {
        services::EngineRequirements need = needOf(chat);
        need.excluded = {hashOf(Failed)};
        const auto permit = acquire(static_cast<std::size_t>(chat) % fleet.routerCount(), need);
        BOOST_REQUIRE(!permit.has_value());
        BOOST_TEST((permit.error().code == outcome::ResultCode::EnginesFull));
        BOOST_REQUIRE(fleet.until([this] { return onlyFree({Failed}); }));
    }
}

// Unreachable engines must not be reported as full: that would tell the operator to add engines,
// and the caller that the existing ones work.
BOOST_AUTO_TEST_CASE(ownersKnowThatAllEnginesAreDown_chatIsRefusedAsNoEngine)
{
    const auto permit = acquireWithFailureKnownToOwnersOnly(0, needOf(0), allBut({}));
    BOOST_REQUIRE(!permit.has_value());
    BOOST_TEST((permit.error().code == outcome::ResultCode::NoEngine));
    BOOST_TEST((permit.error().retryDelay > 0ms));
}

BOOST_AUTO_TEST_CASE(ownersKnowThatAllEnginesAreDown_refusalSaysSoAndWhenToRetry)
{
    std::vector<support::CallerAnswer> answers;
    fleet.await([this]() -> asio::awaitable<void> {
        failKnownToOwnersOnly(allBut({}));
        co_return;
    });
    fleet.forEach(Chats, Chats, [&](int chat) -> asio::awaitable<void> {
        const support::Turn turn{.chat = "c" + std::to_string(chat)};
        answers.push_back(co_await fleet.chatAsync(
                static_cast<std::size_t>(chat) % fleet.routerCount(), turn));
    });
    for (const support::CallerAnswer &answer : answers) {
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.resultCode == "204");
        BOOST_TEST(answer.ran == "not-run");
        BOOST_TEST(!answer.retryAfter.empty());
    }
}

BOOST_AUTO_TEST_CASE(allBoxesKnowThatAllEnginesAreDown_refusalSaysSoAndWhenToRetry)
{
    failKnownToOwnersOnly(allBut({}));
    BOOST_REQUIRE(fleet.until([this] {
        const auto engines = allBut({});
        return std::ranges::none_of(engines, [this](std::size_t engine) {
            return openAt(0, engine) || openAt(1, engine) || openAt(2, engine);
        });
    }));
    for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
        const auto answer = fleet.chat(router, support::Turn{});
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.resultCode == "204");
        BOOST_TEST(answer.ran == "not-run");
        BOOST_TEST(!answer.retryAfter.empty());
    }
}

BOOST_AUTO_TEST_CASE(allEnginesAreFull_chatIsRefusedAsFull)
{
    fillAllBut({});
    for (int chat = 0; chat < Chats; ++chat) {
        const auto permit =
                acquire(static_cast<std::size_t>(chat) % fleet.routerCount(), needOf(chat));
        BOOST_REQUIRE(!permit.has_value());
        BOOST_TEST((permit.error().code == outcome::ResultCode::EnginesFull));
        BOOST_TEST((permit.error().retryDelay > 0ms));
    }
}

BOOST_AUTO_TEST_CASE(oneEngineIsDownAndTheRestAreFull_chatIsRefusedAsFull)
{
    fillAllBut({Failed});
    for (int chat = 0; chat < Chats; ++chat) {
        const std::size_t router = static_cast<std::size_t>(chat) % fleet.routerCount();
        const auto permit =
                chat == 0 ? acquireWithFailureKnownToOwnersOnly(
                        (ownerOf(Failed) + 1) % fleet.routerCount(), needWithHome(Failed), {Failed})
                          : acquire(router, needOf(chat));
        BOOST_REQUIRE(!permit.has_value());
        BOOST_TEST((permit.error().code == outcome::ResultCode::EnginesFull));
    }
}

// The router that owns the home engine tries that engine itself and names only the others, which
// are down.
BOOST_AUTO_TEST_CASE(homesOwnEngineIsFullAndTheRestAreDown_chatIsRefusedAsFull)
{
    constexpr std::size_t Full = 0;
    const services::EngineRequirements need = needWithHome(Full);
    const std::size_t home = ownerOf(Full);
    // All have the same load, so the chat's first candidate is the first choice.
    fillAllBut({});
    const auto permit = acquireWithFailureKnownToOwnersOnly(home, need, allBut({Full}));
    BOOST_REQUIRE(!permit.has_value());
    BOOST_TEST((permit.error().code == outcome::ResultCode::EnginesFull));
}

BOOST_AUTO_TEST_SUITE_END()
