#include "peer/FeedMessages.h"

#include <nlohmann/json.hpp>

namespace limereel::peer {

namespace {

using nlohmann::json;
using store::KeptObject;

// An array each, as in Messages.cpp. The first word keeps one from being taken for another message
// under the same key.
constexpr const char *AskWord = "feed-ask";
constexpr const char *AnswerWord = "feed-answer";

void expectWord(const json &array, const char *word)
{
    if (array.at(0).get<std::string>() != word) {
        throw json::other_error::create(0, "another message", &array);
    }
}

json toJson(const KeptObject &object)
{
    const unsigned flags =
            (object.gone ? 1U : 0U) | (object.large ? 2U : 0U) | (object.unchanged ? 4U : 0U);
    return json::array({object.name, object.revision, flags, object.text});
}

KeptObject keptObject(const json &array)
{
    const auto flags = array.at(2).get<unsigned>();
    return {.name = array.at(0).get<std::string>(),
            .revision = array.at(1).get<std::uint64_t>(),
            .gone = (flags & 1U) != 0,
            .large = (flags & 2U) != 0,
            .text = array.at(3).get<std::string>(),
            .unchanged = (flags & 4U) != 0};
}

json toJson(const std::optional<std::int64_t> &value)
{
    return value ? json(*value) : json();
}

std::optional<std::int64_t> optionalAt(const json &array, std::size_t index)
{
    const json &value = array.at(index);
    return value.is_null() ? std::nullopt : std::optional(value.get<std::int64_t>());
}

FeedAsk feedAsk(const json &array)
{
    expectWord(array, AskWord);
    return {.question = array.at(1).get<std::uint64_t>(),
            .kind = array.at(2).get<std::string>(),
            .at = array.at(3).get<std::uint64_t>(),
            .holdMs = array.at(4).get<std::uint32_t>(),
            .largeToo = array.at(5).get<bool>()};
}

FeedAnswer feedAnswer(const json &array)
{
    expectWord(array, AnswerWord);
    FeedAnswer answer;
    answer.question = array.at(1).get<std::uint64_t>();
    answer.lost = array.at(2).get<bool>();
    answer.at = array.at(3).get<std::uint64_t>();
    answer.whole = array.at(4).get<bool>();
    answer.confirmedMs = optionalAt(array, 5);
    answer.toldMs = optionalAt(array, 6);
    answer.storeFailedMs = optionalAt(array, 7);
    for (const json &object : array.at(8)) {
        answer.objects.push_back(keptObject(object));
    }
    return answer;
}

template <typename Type, typename Read>
std::optional<Type> guarded(std::span<const std::uint8_t> bytes, Read read)
{
    try {
        return read(json::from_msgpack(bytes.begin(), bytes.end()));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::int64_t sinceQuestion(kernel::Instant question, kernel::Instant when)
{
    return std::chrono::floor<std::chrono::milliseconds>(when - question).count();
}

kernel::Instant forAsker(kernel::Instant asked, std::int64_t sinceQuestionMs)
{
    // A day either way; more is no time that a process could mean.
    constexpr std::int64_t Most = std::int64_t{24} * 3600 * 1000;
    return asked + std::chrono::milliseconds(std::clamp(sinceQuestionMs, -Most, Most));
}

Bytes encode(const FeedAsk &ask)
{
    return json::to_msgpack(
            json::array({AskWord, ask.question, ask.kind, ask.at, ask.holdMs, ask.largeToo}));
}

Bytes encode(const FeedAnswer &answer)
{
    return encode(answer, encodeObjects(answer.objects));
}

Bytes encodeObjects(const std::vector<KeptObject> &objects)
{
    json array = json::array();
    for (const KeptObject &object : objects) {
        array.push_back(toJson(object));
    }
    return json::to_msgpack(array);
}

// The objects are the last element of the array, so their bytes go behind those of the others.
Bytes encode(const FeedAnswer &answer, std::span<const std::uint8_t> objects)
{
    constexpr std::uint8_t ArrayOfNine = 0x99;
    Bytes bytes = json::to_msgpack(json::array(
            {AnswerWord, answer.question, answer.lost, answer.at, answer.whole,
             toJson(answer.confirmedMs), toJson(answer.toldMs), toJson(answer.storeFailedMs)}));
    bytes.front() = ArrayOfNine;
    bytes.insert(bytes.end(), objects.begin(), objects.end());
    return bytes;
}

std::optional<FeedAsk> decodeFeedAsk(std::span<const std::uint8_t> bytes)
{
    return guarded<FeedAsk>(bytes, feedAsk);
}

std::optional<FeedAnswer> decodeFeedAnswer(std::span<const std::uint8_t> bytes)
{
    return guarded<FeedAnswer>(bytes, feedAnswer);
}

} // namespace limereel::peer
