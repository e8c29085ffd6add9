// Where shared prompt parts lie, as an owner remembers it, and what a box makes of an owner's word.

#include "forward/HolderIndex.h"
#include "forward/ServerTable.h"
#include "kernel/decisions/Name.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using namespace limereel::forward;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

class BookFixture
{
public:
    BookFixture()
    {
        for (std::uint16_t number = 1; number <= 6; ++number) {
            ListedServer server;
            server.id = "s" + std::to_string(number);
            server.service = "pool";
            server.address = {"10.0.0.1", number};
            server.slots = 8;
            server.engine = true;
            book.put(server);
        }
        prompt.model = "m";
        prompt.parts = {{1, 500}, {2, 10000}, {3, 900}};
        requirements.service = "pool";
        requirements.prompt = &prompt;
        requirements.takeParts = true;
    }

    static std::uint32_t shortOf(const std::string &id)
    {
        return static_cast<std::uint32_t>(kernel::hashOf(id));
    }

    ServerTable book{ServerPolicy{}};
    Prompt prompt;
    ServerRequirements requirements;
    std::mt19937_64 random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(HolderIndexTest)

BOOST_AUTO_TEST_CASE(holders_lastOneFirst_forgottenWhenOldAndBounded)
{
    HolderIndex index({.remembered = 60s, .holders = 2, .keys = 4});
    index.note(1, 10, at(0s));
    index.note(1, 11, at(1s));
    index.note(1, 10, at(2s));
    BOOST_TEST((index.holders(1, at(3s)) == std::vector<membership::ShortHash>{10, 11}));
    BOOST_TEST((index.holders(1, at(61500ms)) == std::vector<membership::ShortHash>{10}));
    index.note(1, 12, at(4s));
    BOOST_TEST((index.holders(1, at(4s)) == std::vector<membership::ShortHash>{12, 10}));
    BOOST_TEST(index.holders(2, at(4s)).empty());
    for (std::uint64_t key = 2; key < 100; ++key) {
        index.note(key, 1, at(5s));
    }
    BOOST_TEST(index.size() <= 4U);
    index.expire(at(100s));
    BOOST_TEST(index.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(HintedBookTest, BookFixture)

// A finding of both sites: parts had been sent to the third in the order, and a box that did not
// know it had them taken from the first, which lacked them.
BOOST_AUTO_TEST_CASE(choose_ownerNamesAHolder_partsAreTakenFromIt)
{
    const auto guess = book.choose(requirements, at(0s), random);
    std::string holder;
    for (const std::string &id : book.ids()) {
        const auto address = book.find(id)->address;
        if (id != guess->server.id && address != *guess->takeFrom) {
            holder = id;
        }
    }
    requirements.holders = {shortOf(holder)};
    const auto choice = book.choose(requirements, at(0s), random);
    BOOST_TEST(choice->server.id == guess->server.id);
    BOOST_REQUIRE(choice->takeFrom.has_value());
    BOOST_TEST(kernel::text(*choice->takeFrom) == kernel::text(book.find(holder)->address));
}

BOOST_AUTO_TEST_CASE(choose_chosenServerIsNamedAsHolder_takesFromNobody)
{
    const auto guess = book.choose(requirements, at(0s), random);
    requirements.holders = {shortOf("s1"), shortOf(guess->server.id)};
    const auto choice = book.choose(requirements, at(0s), random);
    BOOST_TEST(!choice->takeFrom.has_value());
    BOOST_TEST(choice->held == 2U);
}

BOOST_AUTO_TEST_CASE(settleSource_holdersHeardAfterTheChoice_areUsed)
{
    auto choice = book.choose(requirements, at(0s), random);
    const std::string other = choice->server.id == "s1" ? "s2" : "s1";
    requirements.holders = {shortOf(other)};
    book.updateSource(requirements, *choice, at(0s));
    BOOST_TEST(kernel::text(*choice->takeFrom) == kernel::text(book.find(other)->address));
}

// The load: engines are added to a service whose parts lie, in part, past the first in the order,
// since that one was full. A newcomer comes first now, its owner remembers nothing, and what would
// have been first without it never had the parts: 124 of 165 wrong sources on a quiet day of 295
// boxes, 302 of 564 on a day with trouble. The box that remembers for the first part tells.
BOOST_AUTO_TEST_CASE(settleSource_newcomerComesFirst_boxThatRemembersNamesTheHolder)
{
    const auto before = book.preferredServer(requirements);
    std::string holder;
    for (const std::string &id : book.ids()) {
        holder = id != before->id ? id : holder;
    }
    int newcomersFirst = 0;
    for (std::uint16_t number = 7; number <= 60; ++number) {
        ListedServer server = *before;
        server.id = "s" + std::to_string(number);
        server.address = {"10.0.0.1", number};
        book.put(server, at(0s));
        const auto first = book.preferredServer(requirements);
        if (first->id != server.id) {
            continue;
        }
        ++newcomersFirst;
        Choice choice{*first, std::nullopt, 0, false};
        requirements.holders.clear();
        book.updateSource(requirements, choice, at(1s));
        BOOST_TEST(!book.sourceKnown(requirements, choice, at(1s)));
        BOOST_TEST(kernel::text(*choice.takeFrom) == kernel::text(before->address));
        requirements.holders = {shortOf(holder)};
        book.updateSource(requirements, choice, at(1s));
        BOOST_TEST(book.sourceKnown(requirements, choice, at(1s)));
        BOOST_TEST(kernel::text(*choice.takeFrom) == kernel::text(book.find(holder)->address));
    }
    BOOST_TEST(newcomersFirst > 0);
}

// The load: 80 beginnings of prompts that 991 subjects share. A subject's first prompt goes to an
// engine of its own, which reads a beginning that dozens of others hold.
BOOST_AUTO_TEST_CASE(settleSource_subjectIsNew_beginningIsTakenFromWhoHoldsIt)
{
    const auto chosen = book.preferredServer(requirements);
    const std::string beginner = chosen->id == "s1" ? "s2" : "s1";
    Choice choice{*chosen, std::nullopt, 0, false};
    requirements.firstPartHolders = {shortOf(chosen->id), shortOf(beginner)};
    book.updateSource(requirements, choice, at(0s));
    BOOST_TEST(kernel::text(*choice.takeFrom) == kernel::text(book.find(beginner)->address));
    // Who holds all of it goes first.
    const std::string holder = chosen->id == "s3" ? "s4" : "s3";
    requirements.holders = {shortOf(holder)};
    book.updateSource(requirements, choice, at(0s));
    BOOST_TEST(kernel::text(*choice.takeFrom) == kernel::text(book.find(holder)->address));
}

BOOST_AUTO_TEST_CASE(firstFor_loadsAndDoubts_changeNothing)
{
    const auto first = book.preferredServer(requirements);
    for (int request = 0; request < 30; ++request) {
        book.begin(first->id, &prompt, at(0s));
    }
    book.noteFailure(first->id, Failure::Unreachable, at(0s));
    BOOST_TEST(book.preferredServer(requirements)->id == first->id);
    BOOST_TEST(book.choose(requirements, at(0s), random)->server.id != first->id);
}

BOOST_AUTO_TEST_CASE(choose_requestMayEndItsServer_goesWhereTheLeastIsLost)
{
    const auto usual = book.choose(requirements, at(0s), random);
    for (std::uint16_t number = 1; number <= 6; ++number) {
        const std::string id = "s" + std::to_string(number);
        book.setOthers(id, id == "s4" ? 0 : 1, at(0s));
    }
    BOOST_TEST(book.choose(requirements, at(0s), random)->server.id == usual->server.id);
    requirements.alone = true;
    BOOST_TEST(book.choose(requirements, at(0s), random)->server.id == "s4");
}

BOOST_AUTO_TEST_SUITE_END()
