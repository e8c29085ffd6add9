// Streams that go on, inside one answer, through another box or over their callers' tries, while
// servers of several software versions serve side by side: no caller holds events of two versions.

#include "platform/CutBoxFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <set>

using namespace limereel;
using namespace limereel::support;

namespace {

using Cut = CutBoxFixture::Cut;
using Versions = std::vector<std::string>;

constexpr std::size_t Servers = 3;
constexpr std::size_t Boxes = 3;
constexpr int FewHistories = 8; ///< Unless LIMEREEL_HISTORIES names another number.
constexpr const char *ArchiveKind = "begun-streams";
constexpr int Events = 40;
constexpr std::size_t FewEvents = 3;
constexpr kernel::Duration Pause = 10ms;
constexpr kernel::Duration LongPause = 40ms; ///< Longer than the store takes to be told.

/** The versions that wrote the events in \a text. */
std::set<std::string> versionsIn(const std::string &text)
{
    const std::string by = " by ";
    std::set<std::string> versions;
    for (std::size_t at = text.find(by); at != std::string::npos; at = text.find(by, at + 1)) {
        const std::size_t begin = at + by.size();
        versions.insert(text.substr(begin, text.find('\n', begin) - begin));
    }
    return versions;
}

std::size_t eventsIn(const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t at = text.find("\n\n"); at != std::string::npos;
         at = text.find("\n\n", at + 1)) {
        ++count;
    }
    return count;
}

/** The ids of the events in \a text are 1, 2 and so on. */
bool isGapless(const std::string &text)
{
    std::size_t expected = 0;
    for (std::size_t at = text.find("id: "); at != std::string::npos;
         at = text.find("id: ", at + 1)) {
        if (std::stoul(text.substr(at + 4)) != ++expected) {
            return false;
        }
    }
    return true;
}

/** What the caller of a stream holds after all its tries. */
struct Held
{
    std::string events;
    int lastStatus = 0;
    bool whole = false;
};

class StreamVersions : public CutBoxFixture
{
public:
    void start(const Versions &of, std::size_t cuttable, std::size_t others)
    {
        versions = of;
        for (std::size_t index = 0; index < Servers; ++index) {
            runner(index).version = of[index];
            runner(index).events = Events;
            runner(index).pause = Pause;
        }
        startBoxes(cuttable, others);
    }

    /** Three boxes that tell the store of their streams. */
    void startWithArchive(const Versions &of)
    {
        moreSettings += "store-writes = 400\n";
        start(of, 0, Boxes);
        for (std::size_t index = 0; index < Servers; ++index) {
            runner(index).pause = LongPause;
        }
        if (std::set(of.begin(), of.end()).size() > 1) {
            until([this] { return writeStreams(); }, "all boxes write to the store");
        }
    }

    /** Whether all boxes have seen several versions. */
    bool writeStreams() const
    {
        bool all = true;
        for (std::size_t box = 0; box < Boxes; ++box) {
            all = all && counter(box, "stream_archive_turns", {{"to", "on"}}) == 1;
        }
        return all;
    }

    /** Streams of which the store has been told. */
    std::size_t archivedStreams()
    {
        std::size_t count = 0;
        for (const auto &[name, object] : store().objects(ArchiveKind)) {
            count += object.at("spec").at("streams").size();
        }
        return count;
    }

    void killAllBoxes()
    {
        for (std::size_t box = 0; box < Boxes; ++box) {
            killBox(box);
        }
    }

    void restartAllBoxes()
    {
        for (std::size_t box = 0; box < Boxes; ++box) {
            restartBox(box);
        }
        untilAllAreBack();
    }

    /** The boxes whose bits are set lose power and come back. */
    void losePower(std::uint64_t boxes)
    {
        for (std::size_t box = 0; box < Boxes; ++box) {
            if ((boxes >> box & 1U) != 0) {
                killBox(box);
            }
        }
        for (std::size_t box = 0; box < Boxes; ++box) {
            if ((boxes >> box & 1U) != 0) {
                restartBox(box);
            }
        }
        untilAllAreBack();
    }

    /** The store has lost all records of streams. */
    void forgetArchive()
    {
        std::vector<std::string> names;
        for (const auto &[name, object] : store().objects(ArchiveKind)) {
            names.push_back(name);
        }
        for (const std::string &name : names) {
            store().remove(ArchiveKind, name);
        }
    }

    void untilAllAreBack()
    {
        const auto ready = [this] {
            bool all = true;
            for (std::size_t box = 0; box < Boxes; ++box) {
                all = all && world(box).ready() && boxesKnownTo(box) == Boxes;
            }
            return all;
        };
        until(ready, "all boxes are back");
    }

    void loseAllPower()
    {
        killAllBoxes();
        restartAllBoxes();
    }

    static http::Request stream(const std::string &id, const http::Fields &more = {})
    {
        http::Fields fields = more;
        fields.add("X-Attempt-Id", id);
        return GatewayFixture::promptRequest("/resume/x", fields);
    }

    /** What a caller sends that holds \a events of the stream that its attempt \a first began. */
    static http::Request takeUp(const std::string &id, const std::string &first,
                                const std::string &events)
    {
        http::Fields fields;
        fields.add("Last-Event-Id", std::to_string(eventsIn(events)));
        if (!first.empty()) {
            fields.add("Resumes", first);
        }
        return stream(id, fields);
    }

    /** Begins a stream at \a box and waits for its first events. */
    std::shared_ptr<PendingCall> beginStream(std::size_t box, const std::string &id)
    {
        auto pending = begin(box, stream(id));
        until([&] { return eventsIn(pending->answer.body) >= FewEvents; }, "the first events");
        return pending;
    }

    /** The server that ran the first request. */
    std::size_t beginner()
    {
        for (std::size_t index = 0; index < Servers; ++index) {
            if (runner(index).runs() > 0) {
                return index;
            }
        }
        throw std::logic_error("no server has run anything");
    }

    /** How many other servers have the version of \a index. */
    std::ptrdiff_t othersLike(std::size_t index) const
    {
        return std::ranges::count(versions, versions[index]) - 1;
    }

    void leave(const std::shared_ptr<PendingCall> &pending)
    {
        pending->connection->close();
        until([&] { return pending->done; }, "the caller is gone");
    }

    /** What the caller holds after it took its stream up at \a box. */
    Held takeUpAt(std::size_t box, const std::string &first, const std::string &events,
                  const std::string &id = "second")
    {
        const GatewayAnswer answer = call(box, takeUp(id, first, events));
        const bool serves = answer.status == 200;
        return {events + (serves ? answer.body : ""), answer.status, serves && answer.whole};
    }

    static void check(const Held &held, bool goesOn, const std::string &what)
    {
        BOOST_TEST(versionsIn(held.events).size() == 1U, what << ": events of two versions");
        BOOST_TEST(isGapless(held.events), what << ": events are missing or doubled");
        BOOST_TEST(held.whole == goesOn, what << ": goes on, or not");
        BOOST_TEST((!held.whole || eventsIn(held.events) == Events), what << ": not all events");
    }
};

/** All ways to give the servers up to three versions, but for the versions' names. */
const std::vector<Versions> Arrangements = {{"v1", "v1", "v1"},
                                            {"v1", "v1", "v2"},
                                            {"v1", "v2", "v1"},
                                            {"v2", "v1", "v1"},
                                            {"v1", "v2", "v3"}};

std::string describe(const Versions &versions)
{
    return versions[0] + " " + versions[1] + " " + versions[2];
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamVersionTest)

// Guards against a stream that goes on inside its answer at another software version.
BOOST_AUTO_TEST_CASE(serverCrashes_streamGoesOnInItsAnswer_onlyAtTheVersionThatBeganIt)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 0, 1);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        hall.runner(beginner).crash();
        hall.until([&] { return pending->done; }, "the end of the answer");
        const GatewayAnswer &answer = pending->answer;
        StreamVersions::check({answer.body, answer.status, answer.whole},
                              hall.othersLike(beginner) > 0, describe(versions));
    }
}

// Guards against a stream that a box continues through another box, which doesn't know its version.
BOOST_AUTO_TEST_CASE(boxIsCutOff_streamGoesOnThroughAnotherBox_onlyAtTheVersionThatBeganIt)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 1, 1);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        hall.runner(beginner).crash();
        hall.cut(0, Cut::Refused);
        hall.until([&] { return pending->done; }, "the end of the answer");
        const GatewayAnswer &answer = pending->answer;
        StreamVersions::check({answer.body, answer.status, answer.whole},
                              hall.othersLike(beginner) > 0, describe(versions));
    }
}

// Guards against a stream that another box began for this one and that this box then continues
// itself.
BOOST_AUTO_TEST_CASE(boxThatServedTheDetourEnds_streamGoesOn_onlyAtTheVersionThatBeganIt)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 1, 1);
        hall.cut(0, Cut::Refused);
        hall.letNotice(0);
        const auto pending = hall.begin(0, StreamVersions::stream("first"));
        hall.until([&] { return eventsIn(pending->answer.body) >= FewEvents; }, "the first events");
        const std::string writer = *versionsIn(pending->answer.body).begin();
        hall.cut(0, Cut::None);
        hall.until([&] { return !hall.world(0).isLost("pool"); }, "the way back");
        for (std::size_t index = 0; index < Servers; ++index) {
            if (!hall.runner(index).records().empty() && versions[index] == writer) {
                hall.runner(index).crash();
                hall.unlist(index);
                break;
            }
        }
        hall.killBox(1);
        hall.restartBox(1);
        hall.until([&] { return pending->done; }, "the end of the answer");
        const GatewayAnswer &answer = pending->answer;
        const bool another = std::ranges::count(versions, writer) > 1;
        StreamVersions::check({answer.body, answer.status, answer.whole}, another,
                              describe(versions));
    }
}

// Guards against a stream that its caller takes up at the same box and gets from another software
// version.
BOOST_AUTO_TEST_CASE(callerTakesStreamUpAtTheSameBox_serverHasCrashed_onlyTheSameVersionGoesOn)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 0, 1);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        hall.leave(pending);
        hall.runner(beginner).crash();
        const Held held = hall.takeUpAt(0, "first", pending->answer.body);
        StreamVersions::check(held, hall.othersLike(beginner) > 0, describe(versions));
    }
}

// Guards against the same at another box, which hasn't seen the stream.
BOOST_AUTO_TEST_CASE(callerTakesStreamUpAtAnotherBox_serverHasCrashed_onlyTheSameVersionGoesOn)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 0, 3);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        hall.leave(pending);
        hall.runner(beginner).crash();
        const Held held = hall.takeUpAt(2, "first", pending->answer.body);
        StreamVersions::check(held, hall.othersLike(beginner) > 0, describe(versions));
    }
}

// Guards against the same where the box that began the stream has been killed.
BOOST_AUTO_TEST_CASE(firstBoxIsKilled_callerTakesStreamUpElsewhere_onlyTheSameVersionGoesOn)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 0, 3);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        hall.killBox(0);
        hall.leave(pending);
        hall.runner(beginner).crash();
        const Held held = hall.takeUpAt(1, "first", pending->answer.body);
        StreamVersions::check(held, hall.othersLike(beginner) > 0, describe(versions));
    }
}

// Guards against a stream that is known to its box alone, because that knew no other box when the
// stream began.
BOOST_AUTO_TEST_CASE(boxKnowsNoOtherAsStreamBegins_callerTakesStreamUpElsewhereLater_goesOn)
{
    StreamVersions hall;
    hall.start({"v1", "v2", "v3"}, 0, 3);
    hall.killBox(1);
    hall.restartBox(1);
    hall.setReachesBoxes(1, false);
    hall.until([&] { return hall.world(1).ready(); }, "the box is back");
    const auto pending = hall.beginStream(1, "first");
    hall.setReachesBoxes(1, true);
    hall.until(
            [&] {
                const kernel::Labels kept = {{"result", "kept"}};
                return hall.counter(0, "stream_records", kept)
                               + hall.counter(2, "stream_records", kept)
                       > 0;
            },
            "another box knows of the stream");
    hall.leave(pending);
    StreamVersions::check(hall.takeUpAt(0, "first", pending->answer.body), true,
                          "a box that knew no other");
}

// Guards against a stream that goes on at another service of its route, whichever of them the id of
// the caller's next try is for.
BOOST_AUTO_TEST_CASE(routeIsSplitOverServices_callerTakesStreamUp_theServiceThatBeganItGoesOn)
{
    StreamVersions hall;
    hall.services = {"pool", "side", "side"};
    hall.start({"v1", "v2", "v2"}, 0, 2);
    const auto pending = hall.beginStream(0, "first");
    hall.leave(pending);
    for (int count = 0; count < 10; ++count) {
        const Held held =
                hall.takeUpAt(1, "first", pending->answer.body, "again" + std::to_string(count));
        StreamVersions::check(held, true, "of two services");
    }
}

// Guards against the same where another box continues the stream for this one.
BOOST_AUTO_TEST_CASE(routeIsSplitOverServices_streamIsTakenUpThroughAnotherBox_itsServiceGoesOn)
{
    StreamVersions hall;
    hall.services = {"pool", "side", "side"};
    hall.start({"v1", "v2", "v2"}, 1, 1);
    const auto pending = hall.beginStream(1, "first");
    hall.leave(pending);
    hall.cut(0, Cut::Refused);
    for (int count = 0; count < 10; ++count) {
        const Held held =
                hall.takeUpAt(0, "first", pending->answer.body, "again" + std::to_string(count));
        StreamVersions::check(held, true, "of two services, through another box");
    }
}

// Guards against memory that is freed twice where a box that keeps a record doesn't answer.
BOOST_AUTO_TEST_CASE(otherKeepersAreSilent_manyCallersTakeStreamsUp_allGoOn)
{
    StreamVersions hall;
    hall.start({"v1", "v2", "v3"}, 0, 2);
    const auto pending = hall.beginStream(0, "first");
    hall.killBox(0);
    hall.leave(pending);
    std::vector<std::shared_ptr<PendingCall>> calls;
    for (int count = 0; count < 20; ++count) {
        const std::string id = "again" + std::to_string(count);
        calls.push_back(hall.begin(1, StreamVersions::takeUp(id, "first", pending->answer.body)));
    }
    hall.until([&] { return std::ranges::all_of(calls, &PendingCall::done); }, "the answers");
    for (const auto &call : calls) {
        StreamVersions::check(
                {pending->answer.body + call->answer.body, call->answer.status, call->answer.whole},
                true, "a silent box");
    }
}

// Guards against a caller that doesn't say which of its tries began the stream being refused, or
// given the version of an equal request's stream.
BOOST_AUTO_TEST_CASE(callerDoesNotNameItsFirstTry_streamGoesOn_onlyWhereAllEqualRequestsAgree)
{
    for (const Versions &versions : Arrangements) {
        StreamVersions hall;
        hall.start(versions, 0, 3);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        hall.leave(pending);
        hall.runner(beginner).crash();
        const Held held = hall.takeUpAt(2, "", pending->answer.body);
        StreamVersions::check(held, hall.othersLike(beginner) > 0, describe(versions));
    }
    StreamVersions hall;
    hall.start({"v1", "v2", "v3"}, 0, 3);
    const auto pending = hall.beginStream(0, "first");
    hall.leave(pending);
    const std::size_t beginner = hall.beginner();
    hall.unlist(beginner);
    hall.leave(hall.beginStream(1, "equal"));
    BOOST_TEST(hall.takeUpAt(2, "", pending->answer.body).lastStatus == 503);
    BOOST_TEST(hall.takeUpAt(2, "first", pending->answer.body, "third").lastStatus == 503);
}

// Guards against a box that is out of step: it has a list that is behind and, cut off from the
// other boxes, knows an equal request's stream alone. A caller that doesn't name its try must not
// be given that one's version.
BOOST_AUTO_TEST_CASE(boxIsOutOfStep_callerDoesNotNameItsFirstTry_noStreamHoldsTwoVersions)
{
    for (const bool othersSeemDead : {false, true}) {
        for (const Versions &versions : Arrangements) {
            StreamVersions hall;
            hall.start(versions, 1, 2);
            hall.leave(hall.beginStream(0, "equal"));
            const std::size_t left = hall.beginner();
            hall.store().remove("servers", hall.runner(left).name());
            hall.until(
                    [&] {
                        const std::string &id = hall.runner(left).name();
                        return !hall.world(1).servers().find(id)
                               && !hall.world(2).servers().find(id);
                    },
                    "the others know that the server leaves");
            hall.setReachesBoxes(0, false);
            const auto pending = hall.beginStream(1, "first");
            hall.leave(pending);
            if (othersSeemDead) {
                hall.until([&] { return hall.boxesKnownTo(0) == 1; }, "the others seem dead");
            }
            const Held held = hall.takeUpAt(0, "", pending->answer.body);
            const std::string what = describe(versions) + (othersSeemDead ? ", alone" : ", cut");
            BOOST_TEST(versionsIn(held.events).size() == 1U, what << ": events of two versions");
            BOOST_TEST(held.lastStatus == 503, what << ": the caller isn't told to come back");
            hall.setReachesBoxes(0, true);
            hall.until([&] { return hall.boxesKnownTo(0) == Boxes; }, "the boxes know each other");
            const Held named = hall.takeUpAt(0, "first", pending->answer.body, "third");
            BOOST_TEST(versionsIn(named.events).size() == 1U, what << ": two versions, named");
        }
    }
}

// Guards against a stream of two versions after all boxes have lost power, and against one that is
// refused although it was told to the store.
BOOST_AUTO_TEST_CASE(allBoxesLosePower_callerTakesStreamUp_goesOnAtTheVersionThatBeganIt)
{
    for (const Versions &versions : Arrangements) {
        const bool mixed = versions[0] != versions[1] || versions[1] != versions[2];
        StreamVersions hall;
        hall.startWithArchive(versions);
        const auto pending = hall.beginStream(0, "first");
        const std::size_t beginner = hall.beginner();
        if (mixed) {
            hall.until([&] { return hall.archivedStreams() == 1; }, "the store is told");
        }
        hall.loseAllPower();
        hall.leave(pending);
        hall.runner(beginner).crash();
        const Held held = hall.takeUpAt(2, "first", pending->answer.body);
        const bool goesOn = mixed && hall.othersLike(beginner) > 0;
        StreamVersions::check(held, goesOn, describe(versions) + ", all boxes lost power");
        BOOST_TEST((held.lastStatus == 200 || held.lastStatus == 503));
    }
}

// Guards against the same where a box has lost power once more before its stream is taken up.
BOOST_AUTO_TEST_CASE(allBoxesLosePowerTwice_callerTakesStreamUp_goesOn)
{
    StreamVersions hall;
    hall.startWithArchive({"v1", "v2", "v3"});
    const auto pending = hall.beginStream(0, "first");
    hall.until([&] { return hall.archivedStreams() == 1; }, "the store is told");
    hall.loseAllPower();
    hall.leave(pending);
    const auto another = hall.beginStream(0, "another");
    hall.until([&] { return hall.archivedStreams() == 2; }, "the store is told of both");
    hall.loseAllPower();
    hall.leave(another);
    StreamVersions::check(hall.takeUpAt(1, "first", pending->answer.body), true, "the first one");
    StreamVersions::check(hall.takeUpAt(2, "another", another->answer.body, "third"), true,
                          "the second one");
}

// Guards against records that are neither written nor read, as another entry stands before them.
BOOST_AUTO_TEST_CASE(allBoxesLosePower_oddNameBeforeTheRecords_streamIsTakenUp)
{
    using PageFault = standin::StoreStandin::PageFault;
    constexpr const char *OddName = "%odd";
    for (const PageFault fault : {PageFault::Refusal, PageFault::Failure, PageFault::FirstPage}) {
        BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault))
        {
            StreamVersions hall;
            hall.store().put(ArchiveKind, OddName, {{"streams", nlohmann::json::array()}});
            hall.store().pageSize = 1;
            hall.store().faultsBehind[OddName] = fault;
            hall.startWithArchive({"v1", "v2", "v3"});
            const auto pending = hall.beginStream(0, "first");
            hall.until([&] { return hall.archivedStreams() == 1; }, "the store is told");
            hall.loseAllPower();
            hall.leave(pending);
            StreamVersions::check(hall.takeUpAt(1, "first", pending->answer.body), true,
                                  "behind the odd name");
        }
    }
}

// Guards against a stream that is taken up at any version as its record in the store is gone,
// unreadable, or of another stream.
BOOST_AUTO_TEST_CASE(allBoxesLosePower_recordIsNotInTheStore_streamIsRefused)
{
    const nlohmann::json spoilt = {{"streams", nlohmann::json::array({"not an entry"})}};
    for (const bool removed : {true, false}) {
        StreamVersions hall;
        hall.startWithArchive({"v1", "v2", "v3"});
        const auto pending = hall.beginStream(0, "first");
        hall.until([&] { return hall.archivedStreams() == 1; }, "the store is told");
        hall.killAllBoxes();
        hall.leave(pending);
        if (removed) {
            hall.store().remove(ArchiveKind, "box-1");
        } else {
            hall.store().put(ArchiveKind, "box-1", spoilt);
        }
        hall.restartAllBoxes();
        StreamVersions::check(hall.takeUpAt(1, "first", pending->answer.body), false,
                              "without a record");
    }
}

// Guards against a stream of two versions in any order of power losses, lost records and take-ups.
BOOST_AUTO_TEST_CASE(randomHistoriesOfPowerLosses_streamsAreTakenUp_noneHoldsTwoVersions)
{
    const char *const wanted = std::getenv("LIMEREEL_HISTORIES");
    const int histories = wanted != nullptr ? std::stoi(wanted) : FewHistories;
    std::mt19937_64 random(20261204);
    StreamVersions hall;
    hall.startWithArchive({"v1", "v2", "v1"});
    int goneOn = 0;
    for (int history = 0; history < histories; ++history) {
        const std::string first = "first" + std::to_string(history);
        const auto pending = hall.beginStream(random() % Boxes, first);
        const bool told = random() % 2 == 0;
        if (told) {
            hall.until([&] { return hall.archivedStreams() > 0; }, "the store is told");
        }
        hall.losePower(1 + random() % ((1U << Boxes) - 1));
        hall.leave(pending);
        if (random() % 4 == 0) {
            hall.forgetArchive();
        }
        const Held held = hall.takeUpAt(random() % Boxes, first, pending->answer.body,
                                        "second" + std::to_string(history));
        BOOST_TEST(versionsIn(held.events).size() == 1U, "history " << history);
        BOOST_TEST(isGapless(held.events), "history " << history);
        BOOST_TEST((held.lastStatus == 200 || held.lastStatus == 503), "history " << history);
        goneOn += held.whole ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(goneOn << " of " << histories << " streams went on");
    BOOST_TEST(goneOn > 0);
}

// Guards against calls to the store where one version serves, and records that nobody removes.
BOOST_AUTO_TEST_CASE(streamEndsOrOneVersionServes_store_holdsNoRecord)
{
    StreamVersions one;
    one.startWithArchive({"v1", "v1", "v1"});
    const auto single = one.beginStream(0, "first");
    one.until([&] { return single->done; }, "its end");
    BOOST_TEST(one.store().objects(ArchiveKind).empty());
    StreamVersions two;
    two.startWithArchive({"v1", "v2", "v1"});
    const auto pending = two.beginStream(0, "first");
    two.until([&] { return two.archivedStreams() == 1; }, "the store is told");
    two.until([&] { return pending->done; }, "its end");
    two.until([&] { return two.archivedStreams() == 0; }, "its record is taken back");
}

// Guards against a stream that is taken up although nobody knows which version began it.
BOOST_AUTO_TEST_CASE(nobodyKnowsWhoBeganTheStream_caller_isToldThatItHasNotRun)
{
    StreamVersions hall;
    hall.start({"v1", "v2", "v3"}, 0, 2);
    const std::string held = "id: 1\ndata: piece 1 by v1\n\n";
    for (const std::string &named : {std::string("unknown"), std::string()}) {
        const GatewayAnswer answer = hall.call(1, StreamVersions::takeUp("second", named, held));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(!answer.fields.get("Retry-After").empty());
    }
    BOOST_TEST(hall.runs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
