// How often one box asks its relays, without a network.

#include "gateway/FeedPaces.h"
#include "store/FeedPace.h"
#include "store/SourceSelector.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Duration;
using kernel::Instant;
using store::FeedStep;

namespace {

const Instant Begin = Instant(1000s);
const std::vector<std::uint64_t> Relays = {1, 2, 3};

kernel::GatewaySettings settings()
{
    kernel::GatewaySettings settings;
    settings.applyWithin = 2s;
    settings.drainWithin = 2s;
    settings.hallDrainWithin = 5s;
    settings.revokeWithin = 5s;
    settings.contact = 3s;
    settings.refuseUnconfirmedKeys = true;
    return settings;
}

/** The most questions within 100 ms to a relay whose last confirmation is of \c Begin, until the
 * store is asked. */
std::size_t mostQuestions(const gateway::FeedPaces &paces, std::uint64_t self)
{
    constexpr Duration RoundTrip = 2ms;
    store::SourceSelector book(paces.sources);
    book.noteRelayAnswered(Relays.front());
    const Instant until = Begin + store::searchTime(paces.relaying, paces.changeKnownWithin, self);
    std::vector<Instant> questions;
    Instant now = Begin;
    while (now < until) {
        const FeedStep step = book.next(Relays, self, now, true, until);
        if (step.kind != FeedStep::Kind::Relay) {
            break;
        }
        questions.push_back(now);
        Duration hold{};
        if (step.proven) {
            hold = store::relayHoldTime(paces.relaying);
        }
        std::optional<Duration> left;
        if (step.askUntil) {
            left = *step.askUntil - now;
        }
        now += store::askTimes(hold, left).hold + RoundTrip;
        book.noteRelayAnswered(step.relay); // Nothing new, and not too old: ObjectFeed asks on.
    }
    std::size_t most = 0;
    for (auto first = questions.begin(); first != questions.end(); ++first) {
        const auto last = std::lower_bound(first, questions.end(), *first + 100ms);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FeedQuestionsTest)

// A relay that answers, and whose watch of the store is out for long, is asked without a hold from
// 0.4 s before the search's end, one question right behind the other.
BOOST_AUTO_TEST_CASE(relayHasNothingNewer_searchEndsSoon_relayIsNotAskedWithoutPause)
{
    for (const std::uint64_t self : {9U, 500U, 1023U}) {
        BOOST_TEST(mostQuestions(gateway::configurationPaces(settings()), self) <= 5U);
        BOOST_TEST(mostQuestions(gateway::serverPaces(settings()), self) <= 5U);
        BOOST_TEST(mostQuestions(gateway::hallDrainPaces(settings()), self) <= 5U);
    }
}

// A slow store makes confirmations old at relays that work; if their boxes gave them up, all would
// call that store. The oldest confirmation is that of the watch before the one that is out.
BOOST_AUTO_TEST_CASE(slowStore_relayThatWorks_isNeitherGivenUpNorAskedWithoutPause)
{
    for (const gateway::FeedPaces &paces :
         {gateway::configurationPaces(settings()), gateway::serverPaces(settings()),
          gateway::hallDrainPaces(settings())}) {
        for (const Duration latency : std::vector<Duration>{150ms, 300ms, 500ms, 800ms}) {
            const Duration oldest = 2 * (paces.relaying.wait + latency);
            const Duration search = store::searchTime(paces.relaying, paces.changeKnownWithin, 0);
            BOOST_TEST((oldest < search), "store " << latency / 1ms << " ms, bound "
                                                   << paces.changeKnownWithin / 1ms
                                                   << " ms: " << oldest / 1ms << " of "
                                                   << search / 1ms << " ms, the store is asked");
            BOOST_TEST((oldest < search - store::RelayAnswer),
                       "store " << latency / 1ms << " ms, bound " << paces.changeKnownWithin / 1ms
                                << " ms: " << oldest / 1ms << " of " << search / 1ms
                                << " ms, asked without a hold");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
