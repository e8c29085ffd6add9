// Tests relaying: a few boxes of a hall ask the store for all boxes. First each decision by itself,
// then a whole simulated hall over seeded histories of network cuts, stalls, late messages and
// restarts, compared with a record of what the store held at each time: no confirmation claims more
// than was true, no version goes back, and each box without a fault learns each version in time,
// whatever happens to the others.

#include "forward/Freshness.h"
#include "gateway/FeedPaces.h"
#include "peer/FeedRecord.h"
#include "store/AnswerBudget.h"
#include "store/FeedPace.h"
#include "store/ListWait.h"
#include "store/RelayOrder.h"
#include "store/SourceSelector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <queue>

using namespace limereel;
using kernel::Duration;
using kernel::Instant;
using store::FeedStep;

namespace {

Instant at(Duration since)
{
    return Instant(1000s) + since;
}

store::KeptObject object(const std::string &name, std::uint64_t revision,
                         const std::string &text = "1")
{
    return {name, revision, false, false, text};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayOrderTest)

BOOST_AUTO_TEST_CASE(relayOrder_fastLinksAmongSlowOnes_areAskedFirst)
{
    const auto order = store::relayOrder(7, {{1, 20}, {2, 200}, {3, 20}, {4, 200}, {5, 20}}, 3);
    BOOST_TEST_REQUIRE(order.size() == 3U);
    BOOST_TEST((order[0] == 2 || order[0] == 4));
    BOOST_TEST((order[1] == 2 || order[1] == 4));
    BOOST_TEST((order[2] == 1 || order[2] == 3 || order[2] == 5));
}

BOOST_AUTO_TEST_CASE(relayOrder_oneBoxStops_theOthersKeepTheirOrder)
{
    std::vector<store::RelayCandidate> live;
    for (std::uint64_t box = 1; box <= 60; ++box) {
        live.push_back({box * 977, 20});
    }
    const auto before = store::relayOrder(7, live, 4);
    std::erase_if(live, [&](const auto &candidate) { return candidate.box == before[0]; });
    const auto after = store::relayOrder(7, live, 3);
    BOOST_TEST(std::vector(before.begin() + 1, before.end()) == after,
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(largestRelayed_slowLinkToSixtyBoxes_isWhatItSendsInTime)
{
    // 20 Mbit/s is 2.5 MB a second, which is just enough for 60 copies of 41 kB.
    BOOST_TEST(store::largestRelayed(20, 60, 1.0) == 41666U);
    BOOST_TEST(store::largestRelayed(20, 0, 1.0) == 2500000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SourceSelectorTest)

BOOST_AUTO_TEST_CASE(next_nobodyRelays_isTheStore)
{
    const store::SourceSelector book;
    BOOST_TEST((book.next({}, 1, at(0s)).kind == FeedStep::Kind::Store));
    BOOST_TEST(!book.next({}, 1, at(0s)).relaying);
}

BOOST_AUTO_TEST_CASE(next_firstInLine_asksTheStoreForOthers)
{
    const store::SourceSelector book;
    const std::vector<std::uint64_t> relays = {1, 2, 3};
    BOOST_TEST(book.next(relays, 1, at(0s)).relaying);
    BOOST_TEST((book.next(relays, 2, at(0s)).kind == FeedStep::Kind::Relay));
    BOOST_TEST(book.next(relays, 9, at(0s)).relay == 1U);
}

BOOST_AUTO_TEST_CASE(next_secondInLineIsAsked_followsTheStoreForAWhile)
{
    store::SourceSelector book;
    const std::vector<std::uint64_t> relays = {1, 2, 3};
    book.noteAsked(at(0s));
    BOOST_TEST(book.next(relays, 2, at(2s)).relaying);
    BOOST_TEST((book.next(relays, 2, at(4s)).kind == FeedStep::Kind::Relay));
    // A box that isn't one of the relays still asks a relay when it is asked itself.
    BOOST_TEST((book.next(relays, 9, at(1s)).kind == FeedStep::Kind::Relay));
}

BOOST_AUTO_TEST_CASE(next_relaysFailOneAfterTheOther_storeComesLast)
{
    store::SourceSelector book;
    const std::vector<std::uint64_t> relays = {1, 2};
    book.noteRelayFailed(1, store::RelayFault::Silent, at(0s));
    BOOST_TEST(book.next(relays, 9, at(0s)).relay == 2U);
    book.noteRelayFailed(2, store::RelayFault::Lost, at(0s));
    BOOST_TEST((book.next(relays, 9, at(0s)).kind == FeedStep::Kind::Store));
    BOOST_TEST((book.next(relays, 9, at(0s), false).kind == FeedStep::Kind::Pause));
    BOOST_TEST(book.next(relays, 9, at(600ms)).relay == 1U);
}

// Three relays that failed slowly were asked for ever: the first was trusted again by the time that
// the last had failed.
BOOST_AUTO_TEST_CASE(next_searchEnds_storeIsAskedAlthoughARelayIsLeft)
{
    store::SourceSelector book;
    std::mt19937_64 random(1);
    const std::vector<std::uint64_t> relays = {1, 2};
    const auto next = [&](Duration since, bool allowed) {
        return book.next(relays, 9, at(since), allowed, at(1500ms));
    };
    BOOST_TEST((next(1s, true).kind == FeedStep::Kind::Relay));
    BOOST_TEST((next(1s, true).askUntil == at(1500ms)));
    BOOST_TEST((next(1480ms, true).kind == FeedStep::Kind::Store));
    // The store can't be asked, so the search goes on without a limit.
    BOOST_TEST((next(1500ms, false).kind == FeedStep::Kind::Relay));
    BOOST_TEST(!next(1500ms, false).askUntil.has_value());
    book.noteStoreFailed(true, at(1500ms), random);
    BOOST_TEST((next(1600ms, true).kind == FeedStep::Kind::Relay));
    BOOST_TEST(!next(1600ms, true).askUntil.has_value());
    book.endStorePause();
    BOOST_TEST((next(1600ms, true).kind == FeedStep::Kind::Store));
}

BOOST_AUTO_TEST_CASE(next_relayStaysSilent_isRetriedLessAndLessOften)
{
    store::SourceSelector book;
    const std::vector<std::uint64_t> relays = {1};
    int attempts = 0;
    for (Duration since = 0ms; since < 20s; since += 10ms) {
        if (book.next(relays, 9, at(since), false).kind == FeedStep::Kind::Relay) {
            book.noteRelayFailed(1, store::RelayFault::Silent, at(since));
            ++attempts;
        }
    }
    BOOST_TEST(attempts == 8); // At 0, 0.5, 1.5, 3.5, 7.5, 11.5, 15.5 and 19.5 s.
}

// One of five halls, with 295 boxes in all, that lose the store for eight seconds. Relays retry it
// at least twice a second and the other boxes only a few times: about four calls for each box
// instead of about 20.
BOOST_AUTO_TEST_CASE(next_storeIsDownForAWholeHall_fewCallsAreMade)
{
    constexpr std::uint64_t Boxes = 59;
    const std::vector<std::uint64_t> relays = {1, 2, 3};
    std::mt19937_64 random(1);
    std::vector<store::SourceSelector> books(Boxes);
    int calls = 0;
    for (Duration since = 0ms; since < 8s; since += 5ms) {
        for (std::uint64_t self = 1; self <= Boxes; ++self) {
            store::SourceSelector &book = books[self - 1];
            const FeedStep step = book.next(relays, self, at(since));
            if (step.kind == FeedStep::Kind::Store) {
                ++calls;
                book.noteStoreFailed(!store::SourceSelector::readsStoreDirectly(relays, self),
                                     at(since), random);
            } else if (step.kind == FeedStep::Kind::Relay) {
                books[step.relay - 1].noteAsked(at(since));
                book.noteRelayFailed(step.relay, store::RelayFault::Lost, at(since));
            }
        }
    }
    BOOST_TEST_MESSAGE(calls << " calls of " << Boxes << " boxes in 8 s");
    BOOST_TEST(calls < 5 * static_cast<int>(Boxes));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ObjectHistoryTest)

BOOST_AUTO_TEST_CASE(since_changesAndRemoval_areSentToAskersThatLackThem)
{
    store::ObjectHistory history;
    history.replace({object("a", 3), object("b", 4)}, 10, at(0s));
    history.change({object("b", 12)}, 12, at(1s));
    history.change({{.name = "a", .revision = 13, .gone = true}}, 13, at(2s));
    BOOST_TEST(history.since(13).objects.empty());
    const store::FeedUpdate late = history.since(12);
    BOOST_TEST_REQUIRE(late.objects.size() == 1U);
    BOOST_TEST(late.objects[0].gone);
    BOOST_TEST((late.reportTime == at(2s)));
    BOOST_TEST(history.since(10).objects.size() == 2U);
    BOOST_TEST(!history.since(10).whole);
    // Changes before the first list aren't known, so everything is sent.
    BOOST_TEST(history.since(9).whole);
    BOOST_TEST(history.since(9).objects.size() == 1U);
}

BOOST_AUTO_TEST_CASE(since_askerKnowsMore_getsNothing)
{
    store::ObjectHistory history;
    history.replace({object("a", 3)}, 10, at(0s));
    BOOST_TEST(history.since(11).objects.empty());
    BOOST_TEST(!history.since(11).whole);
    BOOST_TEST(!history.hasChangesSince(11));
}

// At the start of a fleet a hundred boxes list 3,000 servers, and their relay does so a moment
// later. The boxes then need only the names of the objects that they have already, and the contents
// of new ones.
BOOST_AUTO_TEST_CASE(since_askerListedSlightlyEarlier_knownContentsAreLeftOut)
{
    std::vector<store::KeptObject> servers;
    for (std::uint64_t number = 1; number <= 3000; ++number) {
        servers.push_back(object("i-" + std::to_string(number), number, std::string(250, 'x')));
    }
    store::ObjectHistory asker;
    asker.replace(std::vector(servers.begin(), servers.end() - 1), 2999, at(0s));
    servers.erase(servers.begin());
    store::ObjectHistory relay;
    relay.replace(servers, 3001, at(0s));
    peer::FeedAnswer answer;
    const store::FeedUpdate news = relay.since(2999);
    answer.objects = news.objects;
    BOOST_TEST(news.whole);
    BOOST_TEST(peer::encode(answer).size() < 60000U);
    const auto merged = asker.merge(news.objects);
    BOOST_TEST_REQUIRE(merged.has_value());
    BOOST_TEST(merged->changes.size() == 2U);
    BOOST_TEST(merged->all.size() == 2999U);
    // A box that doesn't have the left-out contents can't merge the list and asks for everything.
    BOOST_TEST(!store::ObjectHistory().merge(news.objects).has_value());
}

// Between two lists an object may have been created and removed that only the asking box knows.
BOOST_AUTO_TEST_CASE(since_askerIsBetweenTwoLists_getsEverything)
{
    store::ObjectHistory history;
    history.replace({object("a", 3), object("b", 4)}, 10, at(0s));
    history.replace({object("a", 3)}, 20, at(1s));
    BOOST_TEST(history.since(15).whole);
    const store::FeedUpdate news = history.since(10);
    BOOST_TEST(!news.whole);
    BOOST_TEST_REQUIRE(news.objects.size() == 1U);
    BOOST_TEST(news.objects[0].name == "b");
    BOOST_TEST(news.objects[0].gone);
}

BOOST_AUTO_TEST_CASE(replace_olderList_changesNothing)
{
    store::ObjectHistory history;
    history.replace({object("a", 12)}, 20, at(0s));
    history.replace({object("a", 3)}, 10, at(1s));
    BOOST_TEST(*history.at() == 20U);
    BOOST_TEST(history.since(0).objects[0].revision == 12U);
}

// An asking box ends with the store's state, whatever revision it starts from.
BOOST_DATA_TEST_CASE(since_randomHistories_askerEndsWithTheStoresState,
                     boost::unit_test::data::xrange(50), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::map<std::string, std::uint64_t> current;
    std::vector<std::map<std::string, std::uint64_t>> states = {current};
    std::vector<std::string> changedNames = {""}; // Name that each revision changed.
    for (std::uint64_t revision = 1; revision <= 200; ++revision) {
        const std::string name = "s" + std::to_string(random() % 12);
        if (random() % 3 == 0) {
            current.erase(name);
        } else {
            current[name] = revision;
        }
        states.push_back(current);
        changedNames.push_back(name);
    }
    store::ObjectHistory history;
    std::uint64_t known = 1 + random() % 20;
    const auto listing = [&](std::uint64_t revision) {
        std::vector<store::KeptObject> objects;
        for (const auto &[name, changed] : states[revision]) {
            objects.push_back(object(name, changed));
        }
        return objects;
    };
    history.replace(listing(known), known, at(0s));
    while (known < 200) {
        const std::uint64_t next = std::min<std::uint64_t>(200, known + 1 + random() % 9);
        if (random() % 3 == 0) {
            history.replace(listing(next), next, at(0s));
        } else {
            // A watch reports each changed object, also one that was created and removed again.
            std::vector<store::KeptObject> changes;
            for (std::uint64_t revision = known + 1; revision <= next; ++revision) {
                const auto place = states[next].find(changedNames[revision]);
                const bool gone = place == states[next].end();
                changes.push_back({.name = changedNames[revision],
                                   .revision = gone ? revision : place->second,
                                   .gone = gone});
            }
            history.change(changes, next, at(0s));
        }
        known = next;
        const std::uint64_t asker = random() % 201;
        auto state = states[asker];
        const store::FeedUpdate news = history.since(asker);
        std::vector<store::KeptObject> changes = news.objects;
        if (news.whole) {
            // The asking box has a history too, from which it fills in the left-out contents.
            store::ObjectHistory own;
            if (asker > 0) {
                own.replace(listing(asker), asker, at(0s));
            }
            const auto merged = own.merge(news.objects);
            BOOST_TEST_REQUIRE(merged.has_value());
            BOOST_TEST(merged->all.size() == states[known].size());
            BOOST_TEST(std::ranges::none_of(merged->all, &store::KeptObject::unchanged));
            changes = merged->changes;
        }
        for (const store::KeptObject &changed : changes) {
            if (changed.gone) {
                state.erase(changed.name);
            } else {
                state[changed.name] = changed.revision;
            }
        }
        BOOST_TEST((state == states[std::max(known, asker)]));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FeedMessagesTest)

BOOST_AUTO_TEST_CASE(messages_thereAndBack_areTheSame)
{
    const peer::FeedAsk ask{5, "servers", 17, 880, true};
    BOOST_TEST((peer::decodeFeedAsk(peer::encode(ask)) == ask));
    peer::FeedAnswer answer;
    answer.question = 5;
    answer.at = 20;
    answer.whole = true;
    answer.objects = {object("a", 3, "{\"x\":1}"), {.name = "b", .revision = 9, .gone = true}};
    answer.confirmedMs = -17;
    answer.storeFailedMs = -9000;
    BOOST_TEST((peer::decodeFeedAnswer(peer::encode(answer)) == answer));
    BOOST_TEST(!peer::decodeFeedAnswer(peer::encode(ask)));
    BOOST_TEST(!peer::decode(peer::encode(ask)));
}

BOOST_AUTO_TEST_CASE(decode_cutAndChangedBytes_giveNothingOrAMessage)
{
    peer::FeedAnswer answer;
    answer.objects = {object("a", 3, "{\"x\":1}")};
    const peer::Bytes whole = peer::encode(answer);
    std::mt19937_64 random(3);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!peer::decodeFeedAnswer(std::span(whole).first(length)));
        peer::Bytes changed = whole;
        changed[length] = static_cast<std::uint8_t>(random());
        (void)peer::decodeFeedAnswer(changed);
        (void)peer::decodeFeedAsk(changed);
    }
}

BOOST_AUTO_TEST_CASE(sinceQuestion_partsOfAMillisecond_areRoundedToThePast)
{
    BOOST_TEST(peer::sinceQuestion(at(0s), at(-1500us)) == -2);
    BOOST_TEST(peer::sinceQuestion(at(0s), at(1500us)) == 1);
    BOOST_TEST((peer::forAsker(at(5s), -2) == at(4998ms)));
}

BOOST_AUTO_TEST_CASE(judge_answerOfARelay_isAcceptedOnlyForItsQuestionAndWhileFresh)
{
    const peer::FeedAsk ask{5, "config", 17, 0, false};
    peer::FeedRecord record;
    const auto judged = [](const peer::FeedAnswer &answer, const peer::FeedAsk &question,
                           Instant asked, Instant now, std::uint64_t known = 0) {
        return peer::judge(answer, {question, asked, now, known, 3s});
    };
    BOOST_TEST(
            (judged(record.answer(ask, at(0s), 1000), ask, at(0s), at(0s)) == peer::Verdict::Lost));
    record.replace({object("main", 17)}, 17, at(0s));
    record.confirm(at(0s));
    const peer::FeedAnswer answer = record.answer(ask, at(1s), 1000);
    // The relay's clock shows 1 s and the asking box's 500 s. The box asks at 500 s and receives
    // the answer at once or seconds later.
    BOOST_TEST((judged(answer, ask, at(500s), at(500s)) == peer::Verdict::Good));
    BOOST_TEST((judged(answer, ask, at(500s), at(502s)) == peer::Verdict::Good));
    BOOST_TEST((judged(answer, ask, at(500s), at(503s)) == peer::Verdict::Old));
    const peer::FeedAsk other{6, "config", 17, 0, false};
    BOOST_TEST((judged(answer, other, at(500s), at(500s)) == peer::Verdict::Foreign));
    record.setLost(true);
    BOOST_TEST(record.answersAtOnce(ask));
    const peer::FeedAsk newcomer{7, "config", 0, 0, false};
    const peer::FeedAnswer lost = record.answer(newcomer, at(1s), 1000);
    BOOST_TEST((judged(lost, newcomer, at(500s), at(500s)) == peer::Verdict::Lost));
    // A relay that has lost the store still sends what it knows, with its age.
    BOOST_TEST(lost.objects.size() == 1U);
    BOOST_TEST(*lost.confirmedMs == -1000);
    // For a box that asks for everything because it lost its history, but has known a newer
    // revision, this answer would be a step back.
    BOOST_TEST((judged(lost, newcomer, at(500s), at(500s), 18) == peer::Verdict::Behind));
}

// Guards against load on the store: after the store and its history were lost for two seconds, each
// box of a fleet read the whole list of 50 pages.
BOOST_AUTO_TEST_CASE(leavesListToRelays_eachNeed_waitsOnlyWhileARelayMayReadIt)
{
    using store::leavesListToRelays;
    const store::ListNeed lost{.known = true, .relaysKnown = true, .historyLost = at(0s)};
    BOOST_TEST(leavesListToRelays(lost, at(1900ms)));
    BOOST_TEST(!leavesListToRelays(lost, at(2s)));
    store::ListNeed relay = lost;
    relay.readsStoreDirectly = true;
    BOOST_TEST(!leavesListToRelays(relay, at(0s)));
    store::ListNeed alone = lost;
    alone.relaysKnown = false;
    BOOST_TEST(!leavesListToRelays(alone, at(0s)));
    // A box that has read the first of many pages.
    const store::ListNeed started{.relaysKnown = true, .firstPage = at(0s)};
    BOOST_TEST(leavesListToRelays(started, at(1900ms)));
    BOOST_TEST(!leavesListToRelays(started, at(2s)));
    // A box that doesn't know yet whether its hall has relays waits only briefly.
    const store::ListNeed first{.firstPage = at(0s)};
    BOOST_TEST(leavesListToRelays(first, at(400ms)));
    BOOST_TEST(!leavesListToRelays(first, at(500ms)));
    BOOST_TEST(!leavesListToRelays({.known = true, .firstPage = at(0s)}, at(0s)));
    // The list is short, or none is needed.
    BOOST_TEST(!leavesListToRelays({.known = true, .relaysKnown = true}, at(0s)));
}

// Half of a hall of 200 boxes restarts and asks for the list of ten thousand servers. Without a
// limit that took 400 MB of memory, both at a relay with 1,024 MB and at one with 160 MB.
BOOST_AUTO_TEST_CASE(answerRoom_halfAHallAsksForALargeList_relayHoldsWhatItsLinkSends)
{
    constexpr std::size_t List = 4000000;
    const auto granted = [](double linkMbps) {
        store::AnswerBudget room(linkMbps);
        int count = 0;
        for (int asker = 0; asker < 100; ++asker) {
            count += room.take(List) ? 1 : 0;
        }
        return count;
    };
    BOOST_TEST(granted(1000) == 15);
    BOOST_TEST(granted(20) == 1);
    BOOST_TEST(granted(0) == 1);
}

BOOST_AUTO_TEST_CASE(answerRoom_small_isNeverRefusedAndAllIsReleased)
{
    store::AnswerBudget room(20);
    BOOST_TEST(room.take(4000000));
    BOOST_TEST(room.take(60000));
    BOOST_TEST(!room.take(70000));
    room.giveBack(4000000);
    room.giveBack(60000);
    BOOST_TEST(room.held() == 0U);
    BOOST_TEST(room.take(70000));
}

BOOST_AUTO_TEST_CASE(answer_largeObject_isOnlyNamedUnlessTheStoreIsOutOfReach)
{
    peer::FeedRecord record;
    record.replace({object("main", 17, std::string(2000, 'x'))}, 17, at(0s));
    record.confirm(at(0s));
    const auto answer = record.answer({1, "config", 0, 0, false}, at(0s), 1000);
    BOOST_TEST_REQUIRE(answer.objects.size() == 1U);
    BOOST_TEST(answer.objects[0].large);
    BOOST_TEST(answer.objects[0].text.empty());
    // A box that can't reach the store receives the large object from the relay.
    BOOST_TEST(!record.answer({1, "config", 0, 0, true}, at(0s), 1000).objects[0].large);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr std::size_t HallBoxes = 8;

/** The bounds that a simulated hall has to keep, and the timings that should ensure them. */
struct HallBounds
{
    Duration usableFor = 4400ms; ///< Longest valid age of a confirmation; zero: not checked.
    Duration knownWithin = 4s;   ///< Time within which each box without a fault knows a change.
    Duration contact = 5s;       ///< Time after a fault during which a box may still be late.
    Duration maxRelayedAge = store::maxRelayedAge(4400ms);
    store::FeedPace alone;
    store::FeedPace relaying;
};

HallBounds configurationBounds()
{
    HallBounds bounds;
    bounds.alone.answer = 900ms;
    bounds.alone.wait = 2s;
    bounds.alone.confirmWithin = 4s;
    bounds.alone.giveUpWithin = 4600ms;
    bounds.alone.afterChange = 1s;
    bounds.relaying = store::relayPace(bounds.alone, {bounds.usableFor, bounds.knownWithin});
    return bounds;
}

// The timings that the gateway computes for a bound of 5 s and a contact time of 4 s.
HallBounds drainBounds()
{
    kernel::GatewaySettings settings;
    settings.hallDrainWithin = 5s;
    settings.contact = 4s;
    const gateway::FeedPaces paces = gateway::hallDrainPaces(settings);
    HallBounds bounds;
    bounds.usableFor = 0s;
    bounds.knownWithin = settings.hallDrainWithin;
    bounds.contact = settings.contact;
    bounds.maxRelayedAge = paces.maxRelayedAge;
    bounds.alone = paces.alone;
    bounds.relaying = paces.relaying;
    return bounds;
}

/**
 * A simulated hall and a store with a single object whose text is its version. Time is simulated;
 * each box has its own clock, which is off by minutes. Between two decisions a box does what the
 * service does: it makes one call at a time, with the timeouts of store/FeedPace.h.
 */
class SimulatedHall
{
public:
    explicit SimulatedHall(std::uint64_t seed, const HallBounds &bounds = configurationBounds())
        : random_(seed)
        , bounds_(bounds)
        , alone_(bounds.alone)
        , relaying_(bounds.relaying)
    {
        committed_ = {0s, 0s}; // Version 0 means none.
        for (std::size_t index = 0; index < HallBoxes; ++index) {
            relays_.push_back(index + 1);
        }
        relays_.resize(3);
        for (std::size_t index = 0; index < HallBoxes; ++index) {
            boxes_[index].offset = std::chrono::seconds(random_() % 600);
            after(milliseconds(0, 300), index, [this, index] { round(index); });
        }
    }

    void run(Duration until)
    {
        while (!events_.empty() && events_.top().when <= until) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.when;
            Box &box = boxes_[event.box];
            if (event.box < HallBoxes && now_ < box.frozenUntil) {
                push(box.frozenUntil, event);
            } else if (event.box >= HallBoxes || event.incarnation == box.incarnation) {
                event.act();
            }
        }
    }

    void scheduleFaults(Duration until)
    {
        for (Duration when = 6s; when < until; when += milliseconds(50, 2500)) {
            atTime(when, [this] { injectFault(); });
        }
        for (Duration when = 3s; when < until; when += milliseconds(20, 4000)) {
            atTime(when, [this] { commit(); });
        }
    }

    void atTime(Duration when, std::function<void()> act)
    {
        push(when, {when, 0, HallBoxes, 0, std::move(act)});
    }

    void commit()
    {
        committed_.push_back(now_);
        const std::uint64_t version = committed_.size() - 1;
        wakeWatches();
        atTime(now_ + bounds_.knownWithin, [this, version] { checkKnown(version); });
    }

    void freeze(std::size_t index, Duration longest)
    {
        Box &box = boxes_[index];
        box.frozenUntil = std::max(box.frozenUntil, now_ + longest);
        box.faultUntil = std::max(box.faultUntil, box.frozenUntil);
    }

    void cutFromStore(std::size_t index, Duration longest)
    {
        boxes_[index].noStoreUntil = now_ + longest;
        boxes_[index].faultUntil = std::max(boxes_[index].faultUntil, now_ + longest);
    }

    void cutFromBoxes(std::size_t index, Duration longest)
    {
        boxes_[index].noBoxesUntil = now_ + longest;
        boxes_[index].faultUntil = std::max(boxes_[index].faultUntil, now_ + longest);
    }

    void restart(std::size_t index)
    {
        Box &box = boxes_[index];
        const std::uint64_t incarnation = box.incarnation + 1;
        const Duration offset = box.offset;
        box = Box();
        box.incarnation = incarnation;
        box.offset = offset;
        box.faultUntil = now_;
        after(milliseconds(0, 1500), index, [this, index] { round(index); });
    }

    std::uint64_t wrongConfirmations = 0;
    std::uint64_t versionsGoneBack = 0;
    std::uint64_t lateVersions = 0;
    std::uint64_t knownInTime = 0;
    std::uint64_t confirmations = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t checks = 0;
    std::uint64_t unconfirmed = 0;

private:
    struct Event
    {
        Duration when;
        std::uint64_t order;
        std::size_t box;
        std::uint64_t incarnation;
        std::function<void()> act;

        bool operator<(const Event &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    struct Held
    {
        std::size_t asker;
        std::uint64_t askerIncarnation;
        peer::FeedAsk ask;
        Instant question;
        std::uint64_t number;
    };

    struct Box
    {
        store::SourceSelector book;
        peer::FeedRecord record;
        forward::Freshness freshness{4400ms, forward::UnconfirmedKeys::Refuse};
        std::uint64_t incarnation = 0;
        std::uint64_t call =
                0; ///< Number of the running call; answers to earlier ones are dropped.
        std::uint64_t version = 0;
        bool failing = false;
        Duration offset{};
        Duration frozenUntil{};
        Duration noStoreUntil{};
        Duration noBoxesUntil{};
        Duration faultUntil{};
        std::vector<Held> held;
        std::optional<peer::FeedAsk> asking;
        Instant asked;
        std::uint64_t relay = 0;
    };

    struct Watch
    {
        std::size_t box;
        std::uint64_t incarnation;
        std::uint64_t call;
        std::uint64_t at;
        Instant asked;
        bool relaying;
    };

    Duration milliseconds(std::int64_t least, std::int64_t most)
    {
        return std::chrono::milliseconds(
                std::uniform_int_distribution<std::int64_t>(least, most)(random_));
    }

    // The delay of a message: mostly short, occasionally seconds.
    Duration messageDelay()
    {
        return random_() % 50 == 0 ? milliseconds(100, 3000) : milliseconds(1, 20);
    }

    Instant clockOf(const Box &box) const { return Instant(box.offset + now_); }

    void push(Duration when, Event event)
    {
        event.when = when;
        event.order = order_++;
        events_.push(std::move(event));
    }

    void after(Duration delay, std::size_t index, std::function<void()> act)
    {
        const std::uint64_t incarnation = index < HallBoxes ? boxes_[index].incarnation : 0;
        push(now_ + delay, {now_, 0, index, incarnation, std::move(act)});
    }

    void injectFault()
    {
        const std::size_t index = random_() % 2 == 0 ? random_() % 3 : random_() % HallBoxes;
        switch (random_() % 5) {
        case 0:
            return freeze(index, milliseconds(100, 5000));
        case 1:
            return cutFromStore(index, milliseconds(100, 6000));
        case 2:
            return cutFromBoxes(index, milliseconds(100, 6000));
        case 3:
            return restart(index);
        default:
            return freeze(index, milliseconds(1, 400));
        }
    }

    void round(std::size_t index)
    {
        Box &box = boxes_[index];
        ++box.call;
        box.asking.reset();
        const FeedStep step = box.book.next(relays_, index + 1, clockOf(box));
        if (step.kind == FeedStep::Kind::Pause) {
            box.failing = true;
            box.record.setLost(true);
            answerHeld(index);
            return after(step.pause, index, [this, index] { round(index); });
        }
        if (step.kind == FeedStep::Kind::Store) {
            return askStore(index, step.relaying);
        }
        askRelay(index, step);
    }

    void askStore(std::size_t index, bool relaying)
    {
        Box &box = boxes_[index];
        ++storeCalls;
        const bool watches = box.record.at() && !box.failing;
        const store::FeedPace &pace = relaying ? relaying_ : alone_;
        const Duration wait = watches ? store::watchWait(pace, 4ms) : Duration(0);
        const Watch watch{index,        box.incarnation, box.call, box.record.at().value_or(0),
                          clockOf(box), relaying};
        const std::uint64_t call = box.call;
        after(wait + 900ms, index, [this, index, call] { onStoreFailure(index, call); });
        if (now_ < box.noStoreUntil) {
            return;
        }
        atTime(now_ + milliseconds(1, 8), [this, watch, wait, watches] {
            if (watches && committed_.size() - 1 <= watch.at) {
                watches_.push_back(watch);
                atTime(now_ + wait, [this, watch] { endWatch(watch); });
            } else {
                answerFromStore(watch);
            }
        });
    }

    void wakeWatches()
    {
        const std::vector<Watch> woken = std::move(watches_);
        watches_.clear();
        for (const Watch &watch : woken) {
            answerFromStore(watch);
        }
    }

    void endWatch(const Watch &watch)
    {
        const auto same = [&](const Watch &other) {
            return other.box == watch.box && other.incarnation == watch.incarnation
                   && other.call == watch.call;
        };
        if (std::erase_if(watches_, same) > 0) {
            answerFromStore(watch);
        }
    }

    void answerFromStore(const Watch &watch)
    {
        const std::uint64_t version = committed_.size() - 1;
        const std::size_t index = watch.box;
        if (now_ < boxes_[index].noStoreUntil || watch.incarnation != boxes_[index].incarnation) {
            return;
        }
        after(milliseconds(1, 8), index, [this, watch, version, index] {
            Box &box = boxes_[index];
            if (box.call != watch.call || now_ < box.noStoreUntil) {
                return;
            }
            box.book.noteStoreAnswered();
            const bool changed = version > box.record.at().value_or(0);
            take(index, version, {object("main", version, std::to_string(version))}, true);
            confirm(index, watch.asked);
            ++box.call;
            const Duration pause =
                    changed ? (watch.relaying ? relaying_ : alone_).afterChange : Duration(0);
            after(pause, index, [this, index] { round(index); });
        });
    }

    void onStoreFailure(std::size_t index, std::uint64_t call)
    {
        Box &box = boxes_[index];
        if (box.call != call) {
            return;
        }
        box.book.noteStoreFailed(!store::SourceSelector::readsStoreDirectly(relays_, index + 1),
                                 clockOf(box), random_);
        box.failing = true;
        box.record.setLost(true);
        answerHeld(index);
        round(index);
    }

    void askRelay(std::size_t index, const FeedStep &step)
    {
        Box &box = boxes_[index];
        const auto hold = step.proven ? store::relayHoldTime(relaying_) / 1ms : 0;
        const peer::FeedAsk ask{random_(), "config", box.record.at().value_or(0),
                                static_cast<std::uint32_t>(hold), false};
        box.asking = ask;
        box.asked = clockOf(box);
        box.relay = step.relay;
        const std::uint64_t call = box.call;
        const std::uint64_t incarnation = box.incarnation;
        const std::size_t relay = step.relay - 1;
        after(std::chrono::milliseconds(hold) + store::RelayAnswer, index,
              [this, index, call] { onRelayFailure(index, call, store::RelayFault::Silent); });
        if (cut(index, relay)) {
            return;
        }
        after(messageDelay(), relay, [this, index, incarnation, call, ask, relay] {
            takeAsk(relay, {index, incarnation, ask, clockOf(boxes_[relay]), call});
        });
    }

    bool cut(std::size_t one, std::size_t other) const
    {
        return now_ < boxes_[one].noBoxesUntil || now_ < boxes_[other].noBoxesUntil;
    }

    void takeAsk(std::size_t relay, const Held &held)
    {
        Box &box = boxes_[relay];
        box.book.noteAsked(clockOf(box));
        const bool direct = box.book.relaying(relays_, relay + 1, clockOf(box));
        if (box.asking && direct
            && box.book.next(relays_, relay + 1, clockOf(box)).kind == FeedStep::Kind::Store) {
            ++box.call;
            after(0ms, relay, [this, relay] { round(relay); });
        }
        if (held.ask.holdMs == 0 || box.record.answersAtOnce(held.ask)) {
            return answer(relay, held);
        }
        box.held.push_back(held);
        after(std::chrono::milliseconds(held.ask.holdMs), relay,
              [this, relay, question = held.ask.question] { endHold(relay, question); });
    }

    void endHold(std::size_t relay, std::uint64_t question)
    {
        Box &box = boxes_[relay];
        const auto place = std::ranges::find_if(
                box.held, [&](const Held &held) { return held.ask.question == question; });
        if (place != box.held.end()) {
            const Held held = *place;
            box.held.erase(place);
            answer(relay, held);
        }
    }

    void answerHeld(std::size_t relay)
    {
        const std::vector<Held> all = std::move(boxes_[relay].held);
        boxes_[relay].held.clear();
        for (const Held &held : all) {
            answer(relay, held);
        }
    }

    void answer(std::size_t relay, const Held &held)
    {
        const peer::FeedRecord &record = boxes_[relay].record;
        const peer::FeedAnswer answer = record.answer(held.ask, held.question, 100000);
        // The cached encoding must contain the same answer.
        const auto encoded = record.encodedAnswer(held.ask, held.question, 100000);
        BOOST_REQUIRE((peer::decodeFeedAnswer(encoded.bytes) == answer));
        BOOST_REQUIRE(encoded.news == !answer.objects.empty());
        // Occasionally an answer arrives twice.
        for (std::uint64_t copies = random_() % 20 == 0 ? 2 : 1; copies > 0; --copies) {
            const Duration delay = messageDelay();
            push(now_ + delay,
                 {now_, 0, held.asker, held.askerIncarnation, [this, relay, held, answer] {
                      if (!cut(held.asker, relay)) {
                          takeAnswer(held.asker, held.number, answer);
                      }
                  }});
        }
    }

    void takeAnswer(std::size_t index, std::uint64_t call, const peer::FeedAnswer &answer)
    {
        Box &box = boxes_[index];
        if (box.call != call || !box.asking) {
            return;
        }
        const peer::Verdict verdict =
                peer::judge(answer, {*box.asking, box.asked, clockOf(box),
                                     box.record.at().value_or(0), bounds_.maxRelayedAge});
        if (verdict != peer::Verdict::Good) {
            return onRelayFailure(index, call, store::RelayFault::Lost);
        }
        box.book.noteRelayAnswered(box.relay);
        take(index, answer.at, answer.objects, answer.whole);
        confirm(index, peer::forAsker(box.asked, *answer.confirmedMs));
        round(index);
    }

    void onRelayFailure(std::size_t index, std::uint64_t call, store::RelayFault fault)
    {
        Box &box = boxes_[index];
        if (box.call == call) {
            box.book.noteRelayFailed(box.relay, fault, clockOf(box));
            round(index);
        }
    }

    void take(std::size_t index, std::uint64_t version, std::vector<store::KeptObject> objects,
              bool whole)
    {
        Box &box = boxes_[index];
        box.failing = false;
        box.record.setLost(false);
        if (version <= box.record.at().value_or(0)) {
            return;
        }
        const std::uint64_t heard = objects.empty() ? box.version : std::stoull(objects[0].text);
        versionsGoneBack += heard < box.version ? 1 : 0;
        box.version = heard;
        if (whole) {
            box.record.replace(std::move(objects), version, clockOf(box));
        } else {
            box.record.change(std::move(objects), version, clockOf(box));
        }
        answerHeld(index);
    }

    // Checks that the box knows everything that was in the store before the confirmed time.
    void confirm(std::size_t index, Instant asOf)
    {
        Box &box = boxes_[index];
        box.record.confirm(asOf);
        box.freshness.confirm(asOf);
        const Duration trueTime = asOf.time_since_epoch() - box.offset;
        std::uint64_t newest = 0;
        for (std::uint64_t version = 0; version < committed_.size(); ++version) {
            newest = committed_[version] < trueTime ? version : newest;
        }
        ++confirmations;
        wrongConfirmations += newest > box.version ? 1 : 0;
    }

    void checkKnown(std::uint64_t version)
    {
        for (std::size_t index = 0; index < HallBoxes; ++index) {
            const Box &box = boxes_[index];
            const bool healthy = box.faultUntil + bounds_.contact < now_ - bounds_.knownWithin;
            if (!healthy) {
                continue;
            }
            ++checks;
            unconfirmed += box.freshness.usable(clockOf(box)) ? 0 : 1;
            (box.version >= version ? knownInTime : lateVersions) += 1;
        }
    }

    std::mt19937_64 random_;
    HallBounds bounds_;
    store::FeedPace alone_;
    store::FeedPace relaying_;
    std::vector<std::uint64_t> relays_;
    std::array<Box, HallBoxes + 1>
            boxes_;                   ///< The last one stands for the store and scheduled events.
    std::vector<Duration> committed_; ///< When each version was written to the store.
    std::vector<Watch> watches_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    Duration now_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayHistoryTest)

BOOST_DATA_TEST_CASE(hall_boxesAreCutFrozenAndRestarted_nothingFalseIsConfirmedAndAllIsKnownInTime,
                     boost::unit_test::data::xrange(60), seed)
{
    SimulatedHall hall(static_cast<std::uint64_t>(seed));
    hall.scheduleFaults(60s);
    hall.run(70s);
    BOOST_TEST(hall.confirmations > 200U);
    BOOST_TEST(hall.knownInTime > 10U);
    BOOST_TEST(hall.wrongConfirmations == 0U);
    BOOST_TEST(hall.versionsGoneBack == 0U);
    BOOST_TEST(hall.lateVersions == 0U);
}

// Each box must know the drain of a hall within the bound, whether it learns it from the store or
// from a relay. Checked over 200 histories.
BOOST_DATA_TEST_CASE(hallDrains_boxesAreCutFrozenAndRestarted_eachHealthyBoxKnowsInTime,
                     boost::unit_test::data::xrange(200), seed)
{
    SimulatedHall hall(static_cast<std::uint64_t>(seed) + 1000, drainBounds());
    hall.scheduleFaults(60s);
    hall.run(70s);
    BOOST_TEST(hall.knownInTime > 10U);
    BOOST_TEST(hall.versionsGoneBack == 0U);
    BOOST_TEST(hall.lateVersions == 0U);
}

BOOST_AUTO_TEST_CASE(hall_nothingHappens_oneBoxAsksForAll)
{
    SimulatedHall hall(1);
    hall.run(60s);
    // Eight boxes with watches of two seconds would make 240 calls; the relay alone makes about 70.
    // Late messages make some boxes use other sources for a while.
    BOOST_TEST_MESSAGE(hall.storeCalls << " calls in 60 s");
    BOOST_TEST(hall.storeCalls < 125U);
}

BOOST_AUTO_TEST_SUITE_END()
