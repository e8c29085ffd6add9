// Bounded, seeded fuzzing of everything that reads what others wrote: messages, envelopes, trees,
// leases, lists, frames, settings files, chat tokens. Nothing may throw, hang, or accept what it
// would not write.

#include "answer/EventSplitter.h"
#include "config/TreeJson.h"
#include "config/Validate.h"
#include "http/JsonBody.h"
#include "kernel/BoxSettings.h"
#include "peer/Envelope.h"
#include "placement/LeaseJson.h"
#include "routing/ChatToken.h"
#include "services/ChatRequest.h"
#include "store/Directory.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;

namespace {

constexpr int Rounds = 20000;

/** Changes, cuts, doubles or adds bytes of \a text. */
std::string mutate(std::string text, std::mt19937_64 &random)
{
    const auto changes = 1 + random() % 4;
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t place = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[place] = static_cast<char>(random());
            break;
        case 1:
            text.erase(place, 1 + random() % 8);
            break;
        case 2:
            text.insert(place, text.substr(random() % text.size(), random() % 16));
            break;
        case 3:
            text.resize(place);
            break;
        default:
            text.insert(place, 1, "{}[]\":,0-\xff\n=;"[random() % 14]);
            break;
        }
    }
    return text;
}

std::string textOf(const peer::Bytes &bytes)
{
    return {bytes.begin(), bytes.end()};
}

std::span<const std::uint8_t> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

std::string sampleTreeText()
{
    const config::Update update{.revision = 1,
                                .id = "u",
                                .author = "olga",
                                .at = "x",
                                .changes = {{"/", "priority", "3"},
                                            {"pool:small", "models", "a b"},
                                            {"/accra", "", std::nullopt}}};
    return config::toJson(config::applyUpdate(config::emptyTree(), update));
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderFuzz)

BOOST_AUTO_TEST_CASE(messages_mutated_decodeToNothingOrToAMessageThatEncodes)
{
    std::mt19937_64 random(1);
    const membership::BackendState backend{.backend = 1, .models = {2}, .loading = {3}};
    const std::string samples[] = {
            textOf(peer::encode(peer::Heartbeat{{{.box = 1, .backends = {backend}}}, {{1, 2}}})),
            textOf(peer::encode(peer::AskPermit{peer::AskKind::Home, 1, 2, 3, 4, 5, 6, 7})),
            textOf(peer::encode(peer::PermitAnswer{1, peer::PermitResult::Full, {{1, 2}}, 3, 4})),
            textOf(peer::encode(peer::Renew{1, {{1, 2, 3}}})),
            textOf(peer::encode(peer::Placed{1, 2, 3, 4, true})),
            textOf(peer::encode(peer::CrashReport{1, {}, {{1, 2, 3}, 4, {5, 6}, 7}, 8})),
            textOf(peer::encode(peer::CrashWord{1, true, 2, {{{1, 2, 3}, 4, {5, 6}, 7}}})),
            textOf(peer::encode(peer::StreamNotes{{{{{1, 2}, {6, 7}}, {3, 4, {}}, 5}}, false})),
            textOf(peer::encode(peer::StreamAsk{1, false, {2, 3}})),
            textOf(peer::encode(
                    peer::StreamAnswer{1, peer::StreamKnown::Contradicted, {2, 3, {}}}))};
    for (int round = 0; round < Rounds; ++round) {
        const std::string text = mutate(samples[random() % std::size(samples)], random);
        if (const auto message = peer::decode(bytesOf(text))) {
            BOOST_TEST((peer::decode(peer::encode(*message)) == message));
        }
    }
}

BOOST_AUTO_TEST_CASE(envelopes_mutated_areNeverOpened)
{
    std::mt19937_64 random(2);
    const peer::PeerKey key{1};
    const std::string sealed =
            textOf(peer::seal(peer::encode(peer::GiveBack{1, 2, peer::Observed::Served}), key));
    for (int round = 0; round < Rounds; ++round) {
        const std::string text = mutate(sealed, random);
        if (text != sealed) {
            BOOST_TEST(!peer::open(bytesOf(text), std::span(&key, 1)).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(trees_mutated_areNothingOrCanBeValidated)
{
    std::mt19937_64 random(3);
    const std::string sample = sampleTreeText();
    for (int round = 0; round < Rounds / 4; ++round) {
        if (const auto tree = config::treeFromJson(mutate(sample, random))) {
            config::validate(*tree);
        }
        config::changesFromJson(mutate(R"([{"path":"/","key":"a","value":null}])", random));
        config::updatesFromJson(
                mutate(R"([{"revision":1,"id":"a","author":"b","at":"c","changes":[]}])", random));
    }
    BOOST_TEST(config::treeFromJson(sample).has_value());
}

BOOST_AUTO_TEST_CASE(settingsFiles_mutated_areTakenOrEveryProblemHasWords)
{
    std::mt19937_64 random(4);
    const std::string sample = "[box]\nname = box-1\nhall = a\nregion = r\n[listen]\ncaller = "
                               "127.0.0.1:1\ncontrol = 127.0.0.1:2\n"
                               "peer = [::1]:3\n[platform]\naddress = 10.0.0.1:4\n[peers]\nkeys = "
                               + std::string(64, 'a') + "\n";
    BOOST_REQUIRE(kernel::settingsFrom(sample).has_value());
    for (int round = 0; round < Rounds / 4; ++round) {
        const auto settings = kernel::settingsFrom(mutate(sample, random));
        if (!settings) {
            BOOST_REQUIRE(!settings.error().empty());
            BOOST_TEST(!settings.error().front().message.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(otherTexts_mutated_neverThrow)
{
    std::mt19937_64 random(5);
    const peer::PeerKey key{1};
    const std::string token = routing::makeChatToken(1, {2, 3}, key);
    const std::string list =
            R"({"region":"r","boxes":[{"name":"b","peer":"1.2.3.4:5"}],"backends":[{"name":"e","address":"1.2.3.4:5","room":2}]})";
    const std::string chat =
            R"({"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]})";
    for (int round = 0; round < Rounds; ++round) {
        const std::string changed = mutate(token, random);
        if (changed != token) {
            BOOST_TEST(!routing::readChatToken(changed, 1, std::span(&key, 1)).has_value());
        }
        store::hallListFromJson(mutate(list, random));
        placement::leaseFromJson(mutate(R"({"holder":"a","token":1,"renewal":2})", random));
        services::chatRequestFrom({"POST", "/v1/chat/completions", {}, mutate(chat, random)});
        answer::EventSplitter splitter(4096);
        std::vector<std::string> events;
        splitter.take(mutate("data: one\n\ndata: two\n\n", random), events);
        kernel::endpointFrom(mutate("127.0.0.1:80", random));
        kernel::durationFrom(mutate("250ms", random));
    }
}

// Against the library alone, which has no limit on the depth.
BOOST_AUTO_TEST_CASE(parseBody_mutatedAndShallow_readsWhatTheLibraryReads)
{
    std::mt19937_64 random(11);
    const std::string whole = R"({"a":"[[{{\"[","b":["\\",{"c":"]}"}],"d":{"e":[1,2,[3,"\\\""]]}})";
    for (int round = 0; round < Rounds; ++round) {
        const std::string text = round == 0 ? whole : mutate(whole, random);
        const auto expected = nlohmann::json::parse(text, nullptr, false);
        BOOST_REQUIRE(http::parseBody(text).is_discarded() == expected.is_discarded());
        BOOST_REQUIRE((expected.is_discarded() || http::parseBody(text) == expected));
    }
}

BOOST_AUTO_TEST_CASE(parseBody_bracketsInAString_areNoDepth)
{
    const std::string text = '"' + std::string(1000, '[') + '"';
    BOOST_TEST(http::parseBody(text).is_string());
    const auto nested = [](std::size_t depth) {
        return std::string(depth, '[') + std::string(depth, ']');
    };
    BOOST_TEST(http::parseBody(nested(64)).is_array());
    BOOST_TEST(http::parseBody(nested(65)).is_discarded());
}

BOOST_AUTO_TEST_CASE(chatRequest_nestedHalfAMillionDeep_isRefusedAndHarmless)
{
    constexpr std::size_t Depth = 500000;
    const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
    const std::string body =
            R"({"model":"m","messages":[{"role":"user","content":)" + nested + "}]}";
    BOOST_TEST(!services::chatRequestFrom({"POST", "/v1/chat/completions", {}, body}).has_value());
    const std::string fine =
            R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]})";
    BOOST_TEST(services::chatRequestFrom({"POST", "/v1/chat/completions", {}, fine}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
