// The messages between boxes: they come out as they went in, and nothing that is not ours is let
// in.

#include "peer/DetourMessages.h"
#include "peer/Envelope.h"
#include "peer/Messages.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace limereel::peer;
using limereel::membership::BackendState;
using limereel::membership::BoxState;

namespace {

AskPermit newAsk()
{
    AskPermit ask{AskKind::Engine, 1, 2, 3, ~0ULL, 5, 6, 7, 8, {9}, 10, 11};
    ask.waitMs = 120;
    ask.lateMs = 600;
    ask.priority = 3;
    ask.caller = ~0ULL;
    ask.identity = 12;
    ask.slots = 16;
    ask.leaseMs = 1500;
    ask.seen = 13;
    return ask;
}

PermitAnswer newAnswer()
{
    PermitAnswer answer{9, PermitResult::Queued, {{1, 2}}, 1500, 8};
    answer.waitMs = 40;
    answer.limit = 20;
    return answer;
}

GiveBack newGiveBack()
{
    return {1, 2, Observed::Served, true, 15};
}

limereel::forward::StreamOrigin origin(std::uint64_t version)
{
    return {1, ~0ULL, limereel::forward::SoftwareVersion::withHash(version)};
}

/** The fields that a box of an earlier version reads of \a message. */
nlohmann::json earlierFields(const Message &message, std::size_t count)
{
    const nlohmann::json array = nlohmann::json::from_msgpack(encode(message));
    return {array.begin(), array.begin() + static_cast<std::ptrdiff_t>(count)};
}

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
                       .backends = {engine, {}},
                       .address = 0x7F000001,
                       .hall = 77,
                       .linkMbps = 1000,
                       .detours = true,
                       .lostServices = {5, 4000000000U},
                       .keepsStreams = true,
                       .checksConfiguration = true};
    return {Heartbeat{{box, {}}, {{5, 0}, {~0U, 127}}},
            AskPermit{AskKind::Home, 1, 2, 3, ~0ULL, 5, 6, 7, 8, {9, ~0ULL}},
            PermitAnswer{9, PermitResult::Redirected, {{1, 2}, {3, 0}}, 1500, 8},
            GiveBack{1, 2, Observed::RefusedLeaving},
            newAsk(),
            newAnswer(),
            newGiveBack(),
            Renew{4, {{1, 2, 3}, {4, 5, 6}}},
            Placed{1, 2, 3, 4, true},
            CrashReport{9, CrashMatter::AskAlone, {{1, 2, ~0ULL}, 3, {4, ~0ULL}, 5}, 6000},
            CrashWord{0, true, 250, {{{1, 2, 3}, 0, {}, 0}, {{4, 5, 6}, 7, {8}, 9}}},
            StreamNotes{{{{{1, ~0ULL}, {5, 6}}, origin(4), 12000}, {{{2, 3}, {4, 5}}, {}, 0}},
                        true},
            StreamAsk{~0ULL, true, {1, 2}},
            StreamAnswer{~0ULL, StreamKnown::Origin, origin(~0ULL)}};
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

// A wait taken from an ask of an earlier version would be answered with Queued, which it can't
// read.
BOOST_AUTO_TEST_CASE(decode_messagesWithoutTheLaterFields_readThemAsZero)
{
    const auto read = [](const nlohmann::json &array) {
        return decode(nlohmann::json::to_msgpack(array)).value();
    };
    const auto ask = std::get<AskPermit>(read(earlierFields(newAsk(), 13)));
    AskPermit expected{AskKind::Engine, 1, 2, 3, ~0ULL, 5, 6, 7, 8, {9}, 10, 11};
    BOOST_TEST((ask == expected));
    const auto answer = std::get<PermitAnswer>(read(earlierFields(newAnswer(), 6)));
    BOOST_TEST((answer == PermitAnswer{9, PermitResult::Queued, {{1, 2}}, 1500, 8}));
    const auto giveBack = std::get<GiveBack>(read(earlierFields(newGiveBack(), 4)));
    BOOST_TEST((giveBack == GiveBack{1, 2, Observed::Served}));
}

// A box of an earlier version reads the first fields of each array and ignores what follows.
BOOST_AUTO_TEST_CASE(encode_laterFields_standBehindTheEarlierOnes)
{
    using nlohmann::json;
    BOOST_TEST(earlierFields(newAsk(), 13)
               == json::array({1, 1, 1, 2, 3, ~0ULL, 5, 6, 7, 8, json::array({9}), 10, 11}));
    BOOST_TEST(earlierFields(newAnswer(), 6)
               == json::array({2, 9, 7, json::array({1, 2}), 1500, 8}));
    BOOST_TEST(earlierFields(newGiveBack(), 4) == json::array({3, 1, 2, 0}));
}

// The deployed fleets measure control traffic: a box with admission off must not send more bytes.
BOOST_AUTO_TEST_CASE(encode_laterFieldsZero_isTheEarlierForm)
{
    const AskPermit ask{AskKind::Engine, 1, 2, 3, 4, 5, 6, 0, 0, {}, 0, 0};
    BOOST_TEST(nlohmann::json::from_msgpack(encode(ask)).size() == 13U);
    const PermitAnswer answer{9, PermitResult::Granted, {}, 0, 0};
    BOOST_TEST(nlohmann::json::from_msgpack(encode(answer)).size() == 6U);
    BOOST_TEST(nlohmann::json::from_msgpack(encode(GiveBack{1, 2, Observed::Served})).size() == 4U);
}

// A box of an earlier version knows nine fields of a state; one that serves no detours sends those.
BOOST_AUTO_TEST_CASE(encode_stateWithoutDetours_isTheEarlierForm)
{
    const auto fieldsOf = [](const BoxState &state) {
        Heartbeat heartbeat;
        heartbeat.states = {state};
        return nlohmann::json::from_msgpack(encode(Message(heartbeat))).at(1).at(0);
    };
    BoxState state{.box = 1, .incarnation = 2, .version = 3};
    state.address = 0x7F000001;
    BOOST_TEST(fieldsOf(state).size() == 9U);
    const nlohmann::json earlier = fieldsOf(state);
    state.detours = true;
    state.lostServices = {5};
    const nlohmann::json later = fieldsOf(state);
    BOOST_TEST(later.size() == 11U);
    BOOST_TEST((nlohmann::json(later.begin(), later.begin() + 9) == earlier));
}

// A box of an earlier version reads eleven fields of a state, and takes a tenth that isn't 0 for an
// offer of detours.
BOOST_AUTO_TEST_CASE(encode_stateOfABoxThatKeepsStreams_saysTheSameToEarlierBoxes)
{
    const auto fieldsOf = [](const BoxState &state) {
        Heartbeat heartbeat;
        heartbeat.states = {state};
        return nlohmann::json::from_msgpack(encode(Message(heartbeat))).at(1).at(0);
    };
    BoxState state{.box = 1, .incarnation = 2, .version = 3};
    state.address = 0x7F000001;
    state.keepsStreams = true;
    BOOST_TEST(fieldsOf(state).at(9) == 0);
    BOOST_TEST(fieldsOf(state).at(10).empty());
    state.detours = true;
    state.lostServices = {5};
    const nlohmann::json later = fieldsOf(state);
    state.keepsStreams = false;
    const nlohmann::json earlier = fieldsOf(state);
    BOOST_TEST((nlohmann::json(later.begin(), later.begin() + 11) == earlier));
}

// A box of an earlier version would run another box's request by a configuration of its own.
BOOST_AUTO_TEST_CASE(takesDetours_stateOfAnEarlierBox_isFalse)
{
    BoxState state{.box = 1, .incarnation = 2, .version = 3};
    state.address = 0x7F000001;
    state.detours = true;
    state.keepsStreams = true;
    const auto sent = [](const BoxState &told) {
        Heartbeat heartbeat;
        heartbeat.states = {told};
        const auto message = decode(encode(Message(heartbeat)));
        return std::get<Heartbeat>(message.value()).states.at(0);
    };
    BOOST_TEST(sent(state).detours);
    BOOST_TEST(!sent(state).takesDetours());
    state.checksConfiguration = true;
    BOOST_TEST(sent(state).takesDetours());
    state.keepsStreams = false;
    BOOST_TEST(sent(state).takesDetours());
    BOOST_TEST(!sent(state).keepsStreams);
    state.leaving = true;
    BOOST_TEST(!sent(state).takesDetours());
}

// A box of an earlier version reads ten fields of a request, one before it nine.
BOOST_AUTO_TEST_CASE(encode_detourRequestWithItsConfiguration_saysTheSameToEarlierBoxes)
{
    DetourRequest request{.from = "box-1",
                          .leftMs = 5,
                          .resumeAfter = {},
                          .origin = {},
                          .request = {},
                          .made = SendsMade{1, 2, 1, 9}};
    const auto earlier = nlohmann::json::from_msgpack(encode(request));
    BOOST_TEST(!decodeDetourRequest(encode(request))->configVersion.has_value());
    request.configVersion = 77;
    const auto later = nlohmann::json::from_msgpack(encode(request));
    BOOST_TEST((nlohmann::json(later.begin(), later.begin() + 10) == earlier));
    BOOST_TEST(decodeDetourRequest(encode(request))->configVersion.value_or(0) == 77U);
    request.made.reset();
    BOOST_TEST(decodeDetourRequest(encode(request))->configVersion.value_or(0) == 77U);
    BOOST_TEST(!decodeDetourRequest(encode(request))->made.has_value());
}

BOOST_AUTO_TEST_CASE(decodeDetourRequest_ofABoxThatTellsNoOrigin_hasNone)
{
    DetourRequest request{
            .from = "box-1", .leftMs = 5, .resumeAfter = 3, .origin = {}, .request = {}};
    const auto without = decodeDetourRequest(encode(request));
    BOOST_TEST(without.has_value());
    BOOST_TEST(!without->origin.has_value());
    request.origin =
            limereel::forward::StreamOrigin{1, 2, limereel::forward::SoftwareVersion::withHash(3)};
    const auto with = decodeDetourRequest(encode(request));
    BOOST_TEST(with.has_value());
    BOOST_TEST((with->origin == request.origin));
    auto spoilt = nlohmann::json::from_msgpack(encode(request));
    spoilt.back() = "not an origin";
    BOOST_TEST(!decodeDetourRequest(nlohmann::json::to_msgpack(spoilt))->origin.has_value());
}

// A box of an earlier version reads the origin as text wherever there is one.
BOOST_AUTO_TEST_CASE(decodeDetourRequest_withSendsMade_hasThemWithAndWithoutAnOrigin)
{
    DetourRequest request{.from = "box-1",
                          .leftMs = 5,
                          .resumeAfter = {},
                          .origin = {},
                          .request = {},
                          .made = SendsMade{1, 2, 1, 9}};
    const auto without = decodeDetourRequest(encode(request));
    BOOST_REQUIRE(without.has_value());
    BOOST_TEST((without->made == request.made));
    BOOST_TEST(!without->origin.has_value());
    const auto array = nlohmann::json::from_msgpack(encode(request));
    BOOST_TEST(array.at(8).get<std::string>().empty());
    request.origin =
            limereel::forward::StreamOrigin{1, 2, limereel::forward::SoftwareVersion::withHash(3)};
    const auto with = decodeDetourRequest(encode(request));
    BOOST_REQUIRE(with.has_value());
    BOOST_TEST((with->made == request.made));
    BOOST_TEST((with->origin == request.origin));
    request.made.reset();
    BOOST_TEST(!decodeDetourRequest(encode(request))->made.has_value());
}

BOOST_AUTO_TEST_CASE(sendsMadeFrom_anyText_isReadBackOrNothing)
{
    BOOST_TEST(
            (sendsMadeFrom(limereel::peer::text(SendsMade{3, 4, 5, 6})) == SendsMade{3, 4, 5, 6}));
    for (const char *spoilt : {"", " ", "1", "1 2 0", "1 2 0 ", "1 2 0 6", "1 2 0 000000000000000x",
                               "-1 0 0 0000000000000001", "1001 0 0 0000000000000001",
                               "1  0 0000000000000001", "1 0 0 0000000000000001 "}) {
        BOOST_TEST(!sendsMadeFrom(spoilt).has_value(), spoilt);
    }
}

BOOST_AUTO_TEST_CASE(decode_unknownResult_isNothing)
{
    auto array = nlohmann::json::from_msgpack(encode(newAnswer()));
    array[2] = static_cast<int>(PermitResult::Queued) + 1;
    BOOST_TEST(!decode(nlohmann::json::to_msgpack(array)).has_value());
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
