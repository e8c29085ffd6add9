#include "gateway/ArchivedStreams.h"

#include "kernel/decisions/HexWord.h"

#include <optional>

namespace limereel::gateway {

using nlohmann::json;

namespace {

constexpr const char *Streams = "streams";
constexpr std::size_t FieldCount = 4; ///< Of an entry: request, attempt, origin, milliseconds left.

std::string text(const forward::Digest &digest)
{
    return kernel::hexWord(digest.high) + kernel::hexWord(digest.low);
}

std::optional<forward::Digest> digestFrom(const json &value)
{
    if (!value.is_string()) {
        return std::nullopt;
    }
    const std::string_view digits = value.get_ref<const std::string &>();
    if (digits.size() != 2 * kernel::HexWordDigits) {
        return std::nullopt;
    }
    const auto high = kernel::wordFromHex(digits.substr(0, kernel::HexWordDigits));
    const auto low = kernel::wordFromHex(digits.substr(kernel::HexWordDigits));
    return high && low ? std::optional(forward::Digest{*high, *low}) : std::nullopt;
}

std::optional<peer::StreamNote> noteFrom(const json &entry)
{
    if (!entry.is_array() || entry.size() != FieldCount || !entry[2].is_string()
        || !entry[3].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto request = digestFrom(entry[0]);
    const auto attempt = digestFrom(entry[1]);
    const auto origin = forward::streamOriginFrom(entry[2].get_ref<const std::string &>());
    if (!request || !attempt || !origin) {
        return std::nullopt;
    }
    return peer::StreamNote{{*request, *attempt}, *origin, entry[3].get<std::uint32_t>()};
}

} // namespace

json archiveContent(const std::vector<peer::StreamNote> &notes)
{
    json entries = json::array();
    for (const peer::StreamNote &note : notes) {
        entries.push_back(json::array({text(note.id.request), text(note.id.attempt),
                                       forward::text(note.origin), note.leftMs}));
    }
    return {{Streams, std::move(entries)}};
}

std::vector<peer::StreamNote> notesFromArchive(const json &content)
{
    std::vector<peer::StreamNote> notes;
    const auto entries = content.is_object() ? content.find(Streams) : content.end();
    if (!content.is_object() || entries == content.end() || !entries->is_array()) {
        return notes;
    }
    for (const json &entry : *entries) {
        if (auto note = noteFrom(entry)) {
            notes.push_back(std::move(*note));
        }
    }
    return notes;
}

} // namespace limereel::gateway
