// The messages between boxes: they come out as they went in, and nothing that is not ours is let
// in.

#include "peer/Envelope.h"
#include "peer/Messages.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace limereel::peer;
using limereel::membership::BackendState;
using limereel::membership::BoxState;

namespace {

std::vector<Message> samples()
{
    const BackendState engine{.backend = 7,
                              .inFlight = 3,
                              .incarnation = 99,
                              .leaving = true,
                              .usable = false,
                              .models = {1, 4000000000U},
                              .loading = {7}};
    const BoxState box{.box = ~0ULL,
                       .incarnation = 5,
                       .version = 6,
                       .leaving = true,
                       .configRevision = 70,
                       .backends = {engine, {}}};
    return {Heartbeat{{box, {}}, {{5, 0}, {~0U, 127}}},
            AskPermit{AskKind::Home, 1, 2, 3, ~0ULL, 5, 6, 7, 8, {9, ~0ULL}},
            PermitAnswer{9, PermitResult::Redirected, {{1, 2}, {3, 0}}, 1500, 8},
            GiveBack{1, 2, Observed::RefusedLeaving},
            Renew{4, {{1, 2, 3}, {4, 5, 6}}},
            Placed{1, 2, 3, 4, true},
            CrashReport{9, CrashMatter::AskAlone, {{1, 2, ~0ULL}, 3, {4, ~0ULL}, 5}, 6000},
            CrashWord{0, true, 250, {{{1, 2, 3}, 0, {}, 0}, {{4, 5, 6}, 7, {8}, 9}}}};
}

constexpr PeerKey First{1, 2, 3};
constexpr PeerKey Second{4, 5, 6};
constexpr PeerKey Foreign{7, 8, 9};

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTest)

BOOST_AUTO_TEST_CASE(encode_everyKind_decodesToTheSame)
{
    for (const Message &message : samples()) {
        const auto back = decode(encode(message));
        BOOST_TEST((back == message));
    }
}

// While a fleet is upgraded, boxes of both versions ask each other.
BOOST_AUTO_TEST_CASE(decode_askOfAnEarlierVersion_isUnderstood)
{
    auto fields =
            nlohmann::json::array({1, static_cast<int>(AskKind::Engine), 1, 2, 3, 4, 5, 6, 7});
    AskPermit expected{AskKind::Engine, 1, 2, 3, 4, 5, 6, 7, 1};
    const auto withoutAsks = decode(nlohmann::json::to_msgpack(fields));
    BOOST_REQUIRE(withoutAsks.has_value());
    BOOST_TEST((std::get<AskPermit>(*withoutAsks) == expected));
    fields.push_back(8);
    expected.asks = 8;
    const auto withoutExcluded = decode(nlohmann::json::to_msgpack(fields));
    BOOST_REQUIRE(withoutExcluded.has_value());
    BOOST_TEST((std::get<AskPermit>(*withoutExcluded) == expected));
}

BOOST_AUTO_TEST_CASE(decode_anyPrefix_isNothing)
{
    for (const Message &message : samples()) {
        const Bytes bytes = encode(message);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            BOOST_TEST(!decode(std::span(bytes).first(length)).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(open_eitherOfTwoKeys_isAccepted)
{
    const Bytes payload = encode(samples()[1]);
    const std::array<PeerKey, 2> keys = {First, Second};
    BOOST_TEST((open(seal(payload, First), keys) == payload));
    BOOST_TEST((open(seal(payload, Second), keys) == payload));
    BOOST_TEST(!open(seal(payload, Foreign), keys).has_value());
}

BOOST_AUTO_TEST_CASE(open_anyChangedByteOrShorterDatagram_isRefused)
{
    const Bytes payload = encode(samples()[0]);
    const Bytes sealed = seal(payload, First);
    const std::array<PeerKey, 1> keys = {First};
    for (std::size_t place = 0; place < sealed.size(); ++place) {
        Bytes changed = sealed;
        changed[place] ^= 1U;
        BOOST_TEST(!open(changed, keys).has_value());
        BOOST_TEST(!open(std::span(sealed).first(place), keys).has_value());
    }
}

BOOST_AUTO_TEST_CASE(peerKeyFromHex_anythingButSixtyFourDigits_isNothing)
{
    BOOST_TEST(peerKeyFromHex(std::string(64, 'f')).has_value());
    for (const std::string &text :
         {std::string(), std::string(63, 'f'), std::string(65, 'f'), std::string(64, 'g')}) {
        BOOST_TEST(!peerKeyFromHex(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
