// Through which box a request is sent whose own box reaches none of its servers, and the form in
// which it travels.

#include "forward/DetourTable.h"
#include "peer/DetourMessages.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace limereel;
using forward::DetourCandidate;
using forward::DetourTable;

namespace {

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant() + 100s + time;
}

struct DetourFixture
{
    std::optional<std::uint64_t> choose(kernel::Duration time = 0s)
    {
        return table.choose(candidates, tried, at(time), random);
    }

    DetourTable table;
    std::vector<DetourCandidate> candidates;
    std::vector<std::uint64_t> tried;
    std::mt19937_64 random{1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DetourTableTest, DetourFixture)

BOOST_AUTO_TEST_CASE(choose_nobodyServesDetours_isNothing)
{
    BOOST_TEST(!choose().has_value());
}

BOOST_AUTO_TEST_CASE(choose_boxOfTheSameHallIsFree_isTaken)
{
    candidates = {{1, false}, {2, true}, {3, false}};
    for (int time = 0; time < 20; ++time) {
        BOOST_TEST(choose().value() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(choose_sameHallHasManyMoreRequests_anotherHallHelps)
{
    candidates = {{1, false}, {2, true}};
    for (std::size_t count = 0; count <= DetourTable::OtherHallCost; ++count) {
        BOOST_TEST(choose().value() == 2U);
        table.begin(2);
    }
    BOOST_TEST(choose().value() == 1U);
    table.end(2);
    BOOST_TEST(choose().value() == 2U);
}

BOOST_AUTO_TEST_CASE(choose_manyBoxes_requestsAreSpread)
{
    for (std::uint64_t box = 1; box <= 20; ++box) {
        candidates.push_back({box, true});
    }
    std::map<std::uint64_t, std::size_t> counts;
    for (int request = 0; request < 400; ++request) {
        const std::uint64_t box = choose().value();
        table.begin(box);
        ++counts[box];
    }
    for (const auto &[box, count] : counts) {
        BOOST_TEST(count <= 24U);
    }
    BOOST_TEST(counts.size() == 20U);
}

BOOST_AUTO_TEST_CASE(choose_boxFailed_isLeftOutForAWhileThatGrows)
{
    candidates = {{1, true}};
    kernel::Duration time{};
    kernel::Duration doubt = DetourTable::FirstDoubt;
    for (int failure = 0; failure < 10; ++failure) {
        table.noteFailed(1, at(time));
        BOOST_TEST(!choose(time + doubt - 1ms).has_value());
        time += doubt;
        BOOST_TEST(choose(time).has_value());
        doubt = std::min<kernel::Duration>(doubt * 2, DetourTable::LongestDoubt);
    }
    table.noteServed(1);
    table.noteFailed(1, at(time));
    BOOST_TEST(choose(time + DetourTable::FirstDoubt).has_value());
}

// Guards against a box that isn't asked any more although both have the same configuration again.
BOOST_AUTO_TEST_CASE(choose_boxHasOtherConfiguration_isAskedLast)
{
    candidates = {{1, true}, {2, true}, {3, false}};
    table.noteOtherConfiguration(1, at(0s));
    table.noteFailed(2, at(0s));
    BOOST_TEST(choose().value() == 3U);
    table.noteFailed(3, at(0s));
    BOOST_TEST(choose().value() == 1U);
    tried = {1};
    BOOST_TEST(!choose().has_value());
    tried.clear();
    table.noteServed(1);
    BOOST_TEST(choose().value() == 1U);
    table.noteFailed(1, at(0s));
    BOOST_TEST(!choose().has_value());
}

BOOST_AUTO_TEST_CASE(choose_askedBefore_isntAskedAgain)
{
    candidates = {{1, true}, {2, true}, {3, false}};
    for (int time = 0; time < 3; ++time) {
        tried.push_back(choose().value());
    }
    BOOST_TEST((std::set<std::uint64_t>(tried.begin(), tried.end()).size()) == 3U);
    BOOST_TEST(!choose().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DetourMessagesTest)

BOOST_AUTO_TEST_CASE(decode_anyBytesOrPrefix_isTheRequestOrNothing)
{
    peer::DetourRequest request;
    request.from = "box-1";
    request.leftMs = 1500;
    request.resumeAfter = 7;
    request.configVersion = 12;
    request.request = {"POST", "/a?b=1", http::Fields().with("Host", "x").with("X-Two", "\xFF\n"),
                       std::string("\0\xFE body", 7)};
    const peer::Bytes bytes = peer::encode(request);
    const auto back = peer::decodeDetourRequest(bytes);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back->from == "box-1");
    BOOST_TEST(back->leftMs == 1500U);
    BOOST_TEST(back->resumeAfter.value_or(0) == 7U);
    BOOST_TEST(back->configVersion.value_or(0) == 12U);
    BOOST_TEST(back->request.target == "/a?b=1");
    BOOST_TEST(back->request.fields.get("X-Two") == "\xFF\n");
    BOOST_TEST(back->request.body == request.request.body);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        BOOST_TEST(!peer::decodeDetourRequest(std::span(bytes).first(length)).has_value());
    }
    std::mt19937_64 random(5);
    for (int round = 0; round < 5000; ++round) {
        peer::Bytes changed = bytes;
        changed[random() % changed.size()] = static_cast<std::uint8_t>(random());
        peer::decodeDetourRequest(changed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
