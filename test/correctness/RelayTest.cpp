// Few boxes of a hall ask the store for all. Each decision by itself, and then all together over
// seeded histories of cuts, freezes, lateness and restarts, against a plain record of what was in
// the store when: no confirmation claims more than was true, no version goes back, and each box
// that nothing has struck learns each version in time, whatever befalls the others.

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

BOOST_AUTO_TEST_CASE(relayOrder_oneBoxGoes_theOthersKeepTheirOrder)
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
    // 20 Mbit/s is 2.5 MB a second; 60 copies of 41 kB take just that.
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
    // One that isn't in line passes on what it hears.
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

BOOST_AUTO_TEST_CASE(next_relayStaysSilent_isLookedAtLessAndLess)
{
    store::SourceSelector book;
    const std::vector<std::uint64_t> relays = {1};
    int looks = 0;
    for (Duration since = 0ms; since < 20s; since += 10ms) {
        if (book.next(relays, 9, at(since), false).kind == FeedStep::Kind::Relay) {
            book.noteRelayFailed(1, store::RelayFault::Silent, at(since));
            ++looks;
        }
    }
    BOOST_TEST(looks == 8); // At 0, 0.5, 1.5, 3.5, 7.5, 11.5, 15.5 and 19.5 s.
}

// 295 boxes in five halls lose the store for eight seconds. Relays and those in line look for it
// twice a second and more often, the others a few times: some four calls for each box in place of
// some 20.
BOOST_AUTO_TEST_CASE(next_storeIsDownForAllOfAHall_fewCallsTellIt)
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

BOOST_AUTO_TEST_CASE(since_changesAndDeparture_areToldToThoseWhoLackThem)
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
    // Before the first list nothing can be told apart.
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

// The load: a hundred boxes listed 3,000 servers as the fleet started, their relay a moment later.
// Names of what they know are all they need, with what is new.
BOOST_AUTO_TEST_CASE(since_askerListedAMomentEarlier_knownContentsAreLeftOut)
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
    // Somebody who doesn't know them after all asks for everything.
    BOOST_TEST(!store::ObjectHistory().merge(news.objects).has_value());
}

// Between two lists an object may have come and gone that only the asker knows.
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

// Any asker, wherever it stands, ends with what the store holds.
BOOST_DATA_TEST_CASE(since_randomHistories_askerEndsWithTheTruth,
                     boost::unit_test::data::xrange(50), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::map<std::string, std::uint64_t> truth;
    std::vector<std::map<std::string, std::uint64_t>> truths = {truth};
    std::vector<std::string> touched = {""}; // By each revision.
    for (std::uint64_t revision = 1; revision <= 200; ++revision) {
        const std::string name = "s" + std::to_string(random() % 12);
        if (random() % 3 == 0) {
            truth.erase(name);
        } else {
            truth[name] = revision;
        }
        truths.push_back(truth);
        touched.push_back(name);
    }
    store::ObjectHistory history;
    std::uint64_t known = 1 + random() % 20;
    const auto listing = [&](std::uint64_t revision) {
        std::vector<store::KeptObject> objects;
        for (const auto &[name, changed] : truths[revision]) {
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
            // A watch tells of each object that was touched, also of one that came and went.
            std::vector<store::KeptObject> changes;
            for (std::uint64_t revision = known + 1; revision <= next; ++revision) {
                const auto place = truths[next].find(touched[revision]);
                const bool gone = place == truths[next].end();
                changes.push_back({.name = touched[revision],
                                   .revision = gone ? revision : place->second,
                                   .gone = gone});
            }
            history.change(changes, next, at(0s));
        }
        known = next;
        const std::uint64_t asker = random() % 201;
        auto state = truths[asker];
        const store::FeedUpdate news = history.since(asker);
        std::vector<store::KeptObject> changes = news.objects;
        if (news.whole) {
            // The asker keeps a history too, and fills in what was left out for it.
            store::ObjectHistory own;
            if (asker > 0) {
                own.replace(listing(asker), asker, at(0s));
            }
            const auto merged = own.merge(news.objects);
            BOOST_TEST_REQUIRE(merged.has_value());
            BOOST_TEST(merged->all.size() == truths[known].size());
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
        BOOST_TEST((state == truths[std::max(known, asker)]));
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

BOOST_AUTO_TEST_CASE(judge_answerOfARelay_isTakenOnlyForItsQuestionAndWhileYoung)
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
    // The relay's clock says 1 s, the asker's 500 s; it asked then and hears at once or late.
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
    // What it knows is told all the same, with its age.
    BOOST_TEST(lost.objects.size() == 1U);
    BOOST_TEST(*lost.confirmedMs == -1000);
    // To somebody who asks for everything since its history was lost, but has known more, all of it
    // would be a step back.
    BOOST_TEST((judged(lost, newcomer, at(500s), at(500s), 18) == peer::Verdict::Behind));
}

// Boxes of a fleet that lost the store for two seconds, with its history, each read 50 pages.
BOOST_AUTO_TEST_CASE(leavesListToRelays_eachNeed_isLeftForAWhileWhereOthersReadIt)
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
    // One that has read the first page of many.
    const store::ListNeed started{.relaysKnown = true, .firstPage = at(0s)};
    BOOST_TEST(leavesListToRelays(started, at(1900ms)));
    BOOST_TEST(!leavesListToRelays(started, at(2s)));
    // Before anybody has answered it, and where nobody does.
    const store::ListNeed first{.firstPage = at(0s)};
    BOOST_TEST(leavesListToRelays(first, at(400ms)));
    BOOST_TEST(!leavesListToRelays(first, at(500ms)));
    BOOST_TEST(!leavesListToRelays({.known = true, .firstPage = at(0s)}, at(0s)));
    // A short list, or none.
    BOOST_TEST(!leavesListToRelays({.known = true, .relaysKnown = true}, at(0s)));
}

// Half a hall of 200 boxes starts again and asks for the list of ten thousand servers, which took
// 400 MB of a relay with 1,024 MB, and of one with 160 MB.
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

BOOST_AUTO_TEST_CASE(answerRoom_small_isNeverTurnedAwayAndAllIsGivenBack)
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
    // One that can't reach the store is given it all the same.
    BOOST_TEST(!record.answer({1, "config", 0, 0, true}, at(0s), 1000).objects[0].large);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr std::size_t HallBoxes = 8;

/** The bounds of what a simulated hall follows, and the paces that are to keep them. */
struct HallBounds
{
    Duration usableFor = 4400ms; ///< Age of a confirmation; zero: no matter.
    Duration knownIn = 4s;       ///< Time in which each untouched box knows a change.
    Duration contact = 5s;       ///< A trouble this long ago still excuses.
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
    bounds.relaying = store::relayPace(bounds.alone, {bounds.usableFor, bounds.knownIn});
    return bounds;
}

// The paces that the gateway works out, for a bound of 5 s where a trouble excuses for 4 s.
HallBounds drainBounds()
{
    kernel::GatewaySettings settings;
    settings.hallDrainWithin = 5s;
    settings.contact = 4s;
    const gateway::FeedPaces paces = gateway::hallDrainPaces(settings);
    HallBounds bounds;
    bounds.usableFor = 0s;
    bounds.knownIn = settings.hallDrainWithin;
    bounds.contact = settings.contact;
    bounds.maxRelayedAge = paces.maxRelayedAge;
    bounds.alone = paces.alone;
    bounds.relaying = paces.relaying;
    return bounds;
}

/**
 * A hall over one store that holds a single object whose text is its version. Time is simulated;
 * each box has a clock of its own that is off by minutes. What a box does between two decisions is
 * what the service does: a call at a time, given up after the waits of store/FeedPace.h.
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
        committed_ = {0s, 0s}; // Version 0 is none.
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
            } else if (event.box >= HallBoxes || event.life == box.life) {
                event.act();
            }
        }
    }

    void scheduleTroubles(Duration until)
    {
        for (Duration when = 6s; when < until; when += milliseconds(50, 2500)) {
            atTime(when, [this] { strike(); });
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
        atTime(now_ + bounds_.knownIn, [this, version] { checkKnown(version); });
    }

    void freeze(std::size_t index, Duration longest)
    {
        Box &box = boxes_[index];
        box.frozenUntil = std::max(box.frozenUntil, now_ + longest);
        box.struck = std::max(box.struck, box.frozenUntil);
    }

    void cutFromStore(std::size_t index, Duration longest)
    {
        boxes_[index].noStoreUntil = now_ + longest;
        boxes_[index].struck = std::max(boxes_[index].struck, now_ + longest);
    }

    void cutFromBoxes(std::size_t index, Duration longest)
    {
        boxes_[index].noBoxesUntil = now_ + longest;
        boxes_[index].struck = std::max(boxes_[index].struck, now_ + longest);
    }

    void restart(std::size_t index)
    {
        Box &box = boxes_[index];
        const std::uint64_t life = box.life + 1;
        const Duration offset = box.offset;
        box = Box();
        box.life = life;
        box.offset = offset;
        box.struck = now_;
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
        std::uint64_t life;
        std::function<void()> act;

        bool operator<(const Event &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    struct Held
    {
        std::size_t asker;
        std::uint64_t askerLife;
        peer::FeedAsk ask;
        Instant question;
        std::uint64_t number;
    };

    struct Box
    {
        store::SourceSelector book;
        peer::FeedRecord record;
        forward::Freshness freshness{4400ms, forward::UnconfirmedKeys::Refuse};
        std::uint64_t life = 0;
        std::uint64_t call = 0; ///< The call that runs; answers to earlier ones are dropped.
        std::uint64_t version = 0;
        bool failing = false;
        Duration offset{};
        Duration frozenUntil{};
        Duration noStoreUntil{};
        Duration noBoxesUntil{};
        Duration struck{};
        std::vector<Held> held;
        std::optional<peer::FeedAsk> asking;
        Instant asked;
        std::uint64_t relay = 0;
    };

    struct Watch
    {
        std::size_t box;
        std::uint64_t life;
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

    // A message is mostly quick, now and then seconds late.
    Duration way() { return random_() % 50 == 0 ? milliseconds(100, 3000) : milliseconds(1, 20); }

    Instant clockOf(const Box &box) const { return Instant(box.offset + now_); }

    void push(Duration when, Event event)
    {
        event.when = when;
        event.order = order_++;
        events_.push(std::move(event));
    }

    void after(Duration delay, std::size_t index, std::function<void()> act)
    {
        const std::uint64_t life = index < HallBoxes ? boxes_[index].life : 0;
        push(now_ + delay, {now_, 0, index, life, std::move(act)});
    }

    void strike()
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
        const Watch watch{index,        box.life, box.call, box.record.at().value_or(0),
                          clockOf(box), relaying};
        const std::uint64_t call = box.call;
        after(wait + 900ms, index, [this, index, call] { storeFails(index, call); });
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
            return other.box == watch.box && other.life == watch.life && other.call == watch.call;
        };
        if (std::erase_if(watches_, same) > 0) {
            answerFromStore(watch);
        }
    }

    void answerFromStore(const Watch &watch)
    {
        const std::uint64_t version = committed_.size() - 1;
        const std::size_t index = watch.box;
        if (now_ < boxes_[index].noStoreUntil || watch.life != boxes_[index].life) {
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

    void storeFails(std::size_t index, std::uint64_t call)
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
        const std::uint64_t life = box.life;
        const std::size_t relay = step.relay - 1;
        after(std::chrono::milliseconds(hold) + store::RelayAnswer, index,
              [this, index, call] { relayFails(index, call, store::RelayFault::Silent); });
        if (cut(index, relay)) {
            return;
        }
        after(way(), relay, [this, index, life, call, ask, relay] {
            takeAsk(relay, {index, life, ask, clockOf(boxes_[relay]), call});
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
        // What is encoded once for all says the same.
        const auto encoded = record.encodedAnswer(held.ask, held.question, 100000);
        BOOST_REQUIRE((peer::decodeFeedAnswer(encoded.bytes) == answer));
        BOOST_REQUIRE(encoded.news == !answer.objects.empty());
        // Now and then an answer comes twice.
        for (std::uint64_t copies = random_() % 20 == 0 ? 2 : 1; copies > 0; --copies) {
            const Duration delay = way();
            push(now_ + delay, {now_, 0, held.asker, held.askerLife, [this, relay, held, answer] {
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
            return relayFails(index, call, store::RelayFault::Lost);
        }
        box.book.noteRelayAnswered(box.relay);
        take(index, answer.at, answer.objects, answer.whole);
        confirm(index, peer::forAsker(box.asked, *answer.confirmedMs));
        round(index);
    }

    void relayFails(std::size_t index, std::uint64_t call, store::RelayFault fault)
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

    // Whatever was in the store before the confirmed moment must be known.
    void confirm(std::size_t index, Instant asOf)
    {
        Box &box = boxes_[index];
        box.record.confirm(asOf);
        box.freshness.confirm(asOf);
        const Duration truth = asOf.time_since_epoch() - box.offset;
        std::uint64_t newest = 0;
        for (std::uint64_t version = 0; version < committed_.size(); ++version) {
            newest = committed_[version] < truth ? version : newest;
        }
        ++confirmations;
        wrongConfirmations += newest > box.version ? 1 : 0;
    }

    void checkKnown(std::uint64_t version)
    {
        for (std::size_t index = 0; index < HallBoxes; ++index) {
            const Box &box = boxes_[index];
            const bool untouched = box.struck + bounds_.contact < now_ - bounds_.knownIn;
            if (!untouched) {
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
    std::array<Box, HallBoxes + 1> boxes_; ///< The last one stands for the store and the script.
    std::vector<Duration> committed_;      ///< When each version was taken by the store.
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
    hall.scheduleTroubles(60s);
    hall.run(70s);
    BOOST_TEST(hall.confirmations > 200U);
    BOOST_TEST(hall.knownInTime > 10U);
    BOOST_TEST(hall.wrongConfirmations == 0U);
    BOOST_TEST(hall.versionsGoneBack == 0U);
    BOOST_TEST(hall.lateVersions == 0U);
}

// A drained hall must be known in its bound however its news travels. Alike for 200 histories.
BOOST_DATA_TEST_CASE(hallDrains_boxesAreCutFrozenAndRestarted_eachUntouchedBoxKnowsInTime,
                     boost::unit_test::data::xrange(200), seed)
{
    SimulatedHall hall(static_cast<std::uint64_t>(seed) + 1000, drainBounds());
    hall.scheduleTroubles(60s);
    hall.run(70s);
    BOOST_TEST(hall.knownInTime > 10U);
    BOOST_TEST(hall.versionsGoneBack == 0U);
    BOOST_TEST(hall.lateVersions == 0U);
}

BOOST_AUTO_TEST_CASE(hall_nothingHappens_oneBoxAsksForAll)
{
    SimulatedHall hall(1);
    hall.run(60s);
    // Eight boxes that watch for two seconds each would call 240 times; the relay alone calls some
    // 70 times. Late messages make some boxes turn to others for a while.
    BOOST_TEST_MESSAGE(hall.storeCalls << " calls in 60 s");
    BOOST_TEST(hall.storeCalls < 125U);
}

BOOST_AUTO_TEST_SUITE_END()
