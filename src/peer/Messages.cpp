#include "peer/Messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::peer {

namespace {

using membership::BackendState;
using membership::BoxState;
using nlohmann::json;

// A message is an array: its kind, then its fields in order. Names would double its size.

json toJson(const BackendState &state)
{
    const unsigned flags = (state.leaving ? 1U : 0U) | (state.usable ? 2U : 0U);
    return json::array(
            {state.backend, state.inFlight, state.incarnation, flags, state.models, state.loading});
}

BackendState backendState(const json &array)
{
    const auto flags = array.at(3).get<unsigned>();
    return {.backend = array.at(0).get<std::uint32_t>(),
            .inFlight = array.at(1).get<std::uint32_t>(),
            .incarnation = array.at(2).get<std::uint32_t>(),
            .leaving = (flags & 1U) != 0,
            .usable = (flags & 2U) != 0,
            .models = array.at(4).get<std::vector<std::uint32_t>>(),
            .loading = array.at(5).get<std::vector<std::uint32_t>>()};
}

json toJson(const BoxState &state)
{
    json backends = json::array();
    for (const BackendState &backend : state.backends) {
        backends.push_back(toJson(backend));
    }
    json array = json::array({state.box, state.incarnation, state.version, state.leaving ? 1 : 0,
                              state.configRevision, std::move(backends)});
    // Left out where boxes know each other from a list: every byte of a heartbeat counts.
    if (state.address != 0) {
        array.push_back(state.address);
        array.push_back(state.hall);
        array.push_back(state.linkMbps);
        const bool more = state.keepsStreams || state.checksConfiguration;
        if (state.detours || more) {
            array.push_back(state.detours ? 1 : 0);
        }
        const bool lost = state.detours && !state.lostServices.empty();
        if (lost || more) {
            array.push_back(lost ? state.lostServices : std::vector<membership::ShortHash>());
        }
        if (more) {
            array.push_back(state.keepsStreams ? 1 : 0);
        }
        if (state.checksConfiguration) {
            array.push_back(1);
        }
    }
    return array;
}

BoxState boxState(const json &array)
{
    BoxState state{.box = array.at(0).get<std::uint64_t>(),
                   .incarnation = array.at(1).get<std::uint64_t>(),
                   .version = array.at(2).get<std::uint64_t>(),
                   .leaving = array.at(3).get<int>() != 0,
                   .configRevision = array.at(4).get<std::uint64_t>(),
                   .backends = {},
                   .address = array.size() > 6 ? array.at(6).get<std::uint32_t>() : 0,
                   .hall = array.size() > 8 ? array.at(7).get<std::uint32_t>() : 0,
                   .linkMbps = array.size() > 8 ? array.at(8).get<std::uint32_t>() : 0,
                   .detours = array.size() > 9 && array.at(9).get<int>() != 0,
                   .lostServices = {},
                   .keepsStreams = array.size() > 11 && array.at(11).get<int>() != 0,
                   .checksConfiguration = array.size() > 12 && array.at(12).get<int>() != 0};
    if (array.size() > 10) {
        state.lostServices = array.at(10).get<std::vector<std::uint32_t>>();
    }
    for (const json &backend : array.at(5)) {
        state.backends.push_back(backendState(backend));
    }
    return state;
}

json toJson(const Heartbeat &message)
{
    json states = json::array();
    for (const BoxState &state : message.states) {
        states.push_back(toJson(state));
    }
    json ages = json::array();
    for (const membership::BoxAge &age : message.ages) {
        ages.push_back(age.box);
        ages.push_back(age.age);
    }
    return json::array({0, std::move(states), std::move(ages)});
}

// Later fields that are zero are left out: a missing one is read as 0, and a message that uses none
// of them takes as many bytes as one of an earlier version.
json withoutTrailingZeros(json array, std::size_t earlierFields)
{
    const auto isZero = [](const json &value) { return value == 0 || value == false; };
    while (array.size() > earlierFields && isZero(array.back())) {
        array.erase(array.size() - 1);
    }
    return array;
}

json toJson(const AskPermit &message)
{
    constexpr std::size_t EarlierFields = 13;
    json array = json::array({1,
                              static_cast<int>(message.kind),
                              message.request,
                              message.router,
                              message.organisation,
                              message.resource,
                              message.chat,
                              message.model,
                              message.load,
                              message.asks,
                              message.excluded,
                              message.coldMs,
                              message.coldPerSecond,
                              message.waitMs,
                              message.lateMs,
                              message.priority,
                              message.caller,
                              message.identity,
                              message.slots,
                              message.leaseMs,
                              message.seen});
    return withoutTrailingZeros(std::move(array), EarlierFields);
}

json toJson(const PermitAnswer &message)
{
    json suggestions = json::array();
    for (const Suggestion &suggestion : message.suggestions) {
        suggestions.push_back(suggestion.engine);
        suggestions.push_back(suggestion.reason);
    }
    constexpr std::size_t EarlierFields = 6;
    json array = json::array({2, message.request, static_cast<int>(message.result),
                              std::move(suggestions), message.comeBackMs, message.load,
                              message.waitMs, message.limit});
    return withoutTrailingZeros(std::move(array), EarlierFields);
}

json toJson(const GiveBack &message)
{
    constexpr std::size_t EarlierFields = 4;
    json array =
            json::array({3, message.request, message.resource, static_cast<int>(message.observed),
                         message.rejected, message.firstMs});
    return withoutTrailingZeros(std::move(array), EarlierFields);
}

json toJson(const Renew &message)
{
    json permits = json::array();
    for (const HeldPermit &permit : message.permits) {
        permits.push_back(json::array({permit.request, permit.resource, permit.organisation}));
    }
    return json::array({4, message.router, std::move(permits)});
}

json toJson(const Placed &message)
{
    return json::array(
            {5, message.chat, message.home, message.engine, message.model, message.passedOn});
}

json toJson(const forward::CrashRecord &record)
{
    return json::array({record.request.shape, record.request.high, record.request.low, record.round,
                        record.servers, record.failedTrials});
}

json toJson(const CrashReport &message)
{
    return json::array({6, message.ask, static_cast<int>(message.matter), toJson(message.record),
                        message.forMs});
}

json toJson(const CrashWord &message)
{
    json records = json::array();
    for (const forward::CrashRecord &record : message.records) {
        records.push_back(toJson(record));
    }
    return json::array({7, message.ask, message.granted, message.comeBackMs, std::move(records)});
}

// An origin and a digest are spread over the array that holds them.
void append(json &array, const forward::Digest &digest)
{
    array.push_back(digest.high);
    array.push_back(digest.low);
}

void append(json &array, const forward::StreamOrigin &origin)
{
    array.push_back(origin.service);
    array.push_back(origin.server);
    array.push_back(origin.version.hash());
}

json toJson(const StreamNotes &message)
{
    json notes = json::array();
    for (const StreamNote &note : message.notes) {
        json array = json::array({note.leftMs});
        append(array, note.id.request);
        append(array, note.id.attempt);
        append(array, note.origin);
        notes.push_back(std::move(array));
    }
    return json::array({8, message.handedOver, std::move(notes)});
}

json toJson(const StreamAsk &message)
{
    json array = json::array({9, message.ask, message.byAttempt});
    append(array, message.name);
    return array;
}

json toJson(const StreamAnswer &message)
{
    json array = json::array({10, message.ask, static_cast<int>(message.known)});
    append(array, message.origin);
    return array;
}

template <typename Enum>
Enum enumAt(const json &array, std::size_t index, Enum last)
{
    const auto value = array.at(index).get<std::uint8_t>();
    if (array.at(index).get<std::uint64_t>() > static_cast<std::uint8_t>(last)) {
        throw std::out_of_range("unknown value of an enumeration");
    }
    return static_cast<Enum>(value);
}

std::uint64_t wordAt(const json &array, std::size_t index)
{
    return array.at(index).get<std::uint64_t>();
}

// A field that messages of earlier versions don't have; missing: 0.
template <typename Number>
Number laterAt(const json &array, std::size_t index)
{
    return index < array.size() ? array.at(index).get<Number>() : Number{};
}

Heartbeat heartbeat(const json &array)
{
    Heartbeat message;
    for (const json &state : array.at(1)) {
        message.states.push_back(boxState(state));
    }
    const json &ages = array.at(2);
    for (std::size_t index = 0; index + 1 < ages.size(); index += 2) {
        message.ages.push_back(
                {ages.at(index).get<std::uint32_t>(), ages.at(index + 1).get<std::uint8_t>()});
    }
    return message;
}

// Boxes of earlier versions leave out the last ones.
AskPermit askPermit(const json &array)
{
    return {.kind = enumAt(array, 1, AskKind::Start),
            .request = wordAt(array, 2),
            .router = wordAt(array, 3),
            .organisation = wordAt(array, 4),
            .resource = wordAt(array, 5),
            .chat = wordAt(array, 6),
            .model = array.at(7).get<std::uint32_t>(),
            .load = array.at(8).get<std::uint32_t>(),
            .asks = array.size() > 9 ? array.at(9).get<std::uint32_t>() : 1,
            .excluded = array.size() > 10 ? array.at(10).get<std::vector<std::uint64_t>>()
                                          : std::vector<std::uint64_t>(),
            .coldMs = array.size() > 12 ? array.at(11).get<std::uint32_t>() : 0,
            .coldPerSecond = array.size() > 12 ? array.at(12).get<std::uint32_t>() : 0,
            .waitMs = laterAt<std::uint32_t>(array, 13),
            .lateMs = laterAt<std::uint32_t>(array, 14),
            .priority = laterAt<std::uint32_t>(array, 15),
            .caller = laterAt<std::uint64_t>(array, 16),
            .identity = laterAt<std::uint64_t>(array, 17),
            .slots = laterAt<std::uint32_t>(array, 18),
            .leaseMs = laterAt<std::uint32_t>(array, 19),
            .seen = laterAt<std::uint32_t>(array, 20)};
}

PermitAnswer permitAnswer(const json &array)
{
    PermitAnswer message{.request = wordAt(array, 1),
                         .result = enumAt(array, 2, PermitResult::Queued),
                         .suggestions = {},
                         .comeBackMs = array.at(4).get<std::uint32_t>(),
                         .load = array.at(5).get<std::uint32_t>(),
                         .waitMs = laterAt<std::uint32_t>(array, 6),
                         .limit = laterAt<std::uint32_t>(array, 7)};
    const json &list = array.at(3);
    for (std::size_t index = 0; index + 1 < list.size(); index += 2) {
        message.suggestions.push_back(
                {list.at(index).get<std::uint32_t>(), list.at(index + 1).get<std::uint8_t>()});
    }
    return message;
}

GiveBack giveBack(const json &array)
{
    return {.request = wordAt(array, 1),
            .resource = wordAt(array, 2),
            .observed = enumAt(array, 3, Observed::Unused),
            .rejected = laterAt<bool>(array, 4),
            .firstMs = laterAt<std::uint32_t>(array, 5)};
}

Renew renew(const json &array)
{
    Renew message{.router = wordAt(array, 1), .permits = {}};
    for (const json &permit : array.at(2)) {
        message.permits.push_back({wordAt(permit, 0), wordAt(permit, 1), wordAt(permit, 2)});
    }
    return message;
}

Placed placed(const json &array)
{
    return {wordAt(array, 1), wordAt(array, 2), array.at(3).get<std::uint32_t>(),
            array.at(4).get<std::uint32_t>(), array.at(5).get<bool>()};
}

forward::CrashRecord crashRecord(const json &array)
{
    forward::CrashRecord record{.request = {wordAt(array, 0), wordAt(array, 1), wordAt(array, 2)},
                                .round = array.at(3).get<std::uint32_t>(),
                                .servers = array.at(4).get<std::vector<std::uint64_t>>(),
                                .failedTrials = array.at(5).get<std::uint32_t>()};
    if (!std::ranges::is_sorted(record.servers)) {
        throw std::out_of_range("servers that aren't in order");
    }
    return record;
}

CrashReport crashReport(const json &array)
{
    return {wordAt(array, 1), enumAt(array, 2, CrashMatter::AloneOver), crashRecord(array.at(3)),
            array.at(4).get<std::uint32_t>()};
}

CrashWord crashWord(const json &array)
{
    CrashWord message{.ask = wordAt(array, 1),
                      .granted = array.at(2).get<bool>(),
                      .comeBackMs = array.at(3).get<std::uint32_t>(),
                      .records = {}};
    for (const json &record : array.at(4)) {
        message.records.push_back(crashRecord(record));
    }
    return message;
}

forward::Digest digestAt(const json &array, std::size_t index)
{
    return {wordAt(array, index), wordAt(array, index + 1)};
}

forward::StreamOrigin originAt(const json &array, std::size_t index)
{
    return {wordAt(array, index), wordAt(array, index + 1),
            forward::SoftwareVersion::withHash(wordAt(array, index + 2))};
}

StreamNotes streamNotes(const json &array)
{
    StreamNotes message{.notes = {}, .handedOver = array.at(1).get<bool>()};
    for (const json &note : array.at(2)) {
        message.notes.push_back({.id = {digestAt(note, 1), digestAt(note, 3)},
                                 .origin = originAt(note, 5),
                                 .leftMs = note.at(0).get<std::uint32_t>()});
    }
    return message;
}

StreamAsk streamAsk(const json &array)
{
    return {wordAt(array, 1), array.at(2).get<bool>(), digestAt(array, 3)};
}

StreamAnswer streamAnswer(const json &array)
{
    return {wordAt(array, 1), enumAt(array, 2, StreamKnown::Contradicted), originAt(array, 3)};
}

std::optional<Message> read(const json &array)
{
    switch (array.at(0).get<int>()) {
    case 0:
        return heartbeat(array);
    case 1:
        return askPermit(array);
    case 2:
        return permitAnswer(array);
    case 3:
        return giveBack(array);
    case 4:
        return renew(array);
    case 5:
        return placed(array);
    case 6:
        return crashReport(array);
    case 7:
        return crashWord(array);
    case 8:
        return streamNotes(array);
    case 9:
        return streamAsk(array);
    case 10:
        return streamAnswer(array);
    default:
        return std::nullopt;
    }
}

} // namespace

Bytes encode(const Message &message)
{
    return json::to_msgpack(std::visit([](const auto &typed) { return toJson(typed); }, message));
}

std::optional<Message> decode(std::span<const std::uint8_t> bytes)
{
    try {
        return read(json::from_msgpack(bytes.begin(), bytes.end()));
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const std::out_of_range &) {
        return std::nullopt;
    }
}

} // namespace limereel::peer
