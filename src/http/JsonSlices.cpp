#include "http/JsonSlices.h"

#include "http/JsonBody.h"

#include <algorithm>

namespace limereel::http {

using nlohmann::json;

namespace {

// About one millisecond of a whole core; the loop takes its other turns in between.
constexpr std::size_t SliceBytes = std::size_t{32} * 1024;
// Containers up to this length are left to the library in one piece, which costs the least. The
// routes and entries of a store's answer have a few hundred bytes.
constexpr std::size_t MostWhole = 4096;
constexpr std::string_view Space = " \t\n\r";
constexpr std::string_view AfterScalar = ",]} \t\n\r";

bool opens(char letter)
{
    return letter == '{' || letter == '[';
}

bool closes(char letter)
{
    return letter == '}' || letter == ']';
}

// The length of the string at the beginning, with its quotes; all of it if it has no end.
std::size_t stringLength(std::string_view text)
{
    bool escaped = false;
    for (std::size_t place = 1; place < text.size(); ++place) {
        if (text[place] == '"' && !escaped) {
            return place + 1;
        }
        escaped = !escaped && text[place] == '\\';
    }
    return text.size();
}

// The library takes a mark of the byte order, or a zero byte as the end, where a text begins or
// ends. Pieces must not, so texts with these bytes are read in one go, as before.
bool mustBeReadWhole(std::string_view text)
{
    const bool small = text.size() <= SliceBytes;
    return small || text.find('\0') != std::string_view::npos
           || text.find("\xef\xbb\xbf") != std::string_view::npos;
}

} // namespace

bool JsonSlices::readSlice()
{
    if (next_ == Next::Start && mustBeReadWhole(text_)) {
        value_ = parseBody(text_);
        next_ = Next::Nothing;
    }
    const std::size_t until = place_ + SliceBytes;
    while (next_ != Next::Nothing && place_ < until) {
        readStep();
    }
    return next_ != Next::Nothing;
}

void JsonSlices::readStep()
{
    skipSpace();
    switch (next_) {
    case Next::Start:
    case Next::Value:
        readValue();
        break;
    case Next::MemberOrEnd:
        if (atEndOfContainer()) {
            endContainer();
            break;
        }
        [[fallthrough]];
    case Next::Member:
        if (open_.back()->is_object()) {
            readKey();
        } else {
            readValue();
        }
        break;
    case Next::CommaOrEnd:
        readCommaOrEnd();
        break;
    case Next::Nothing:
        break;
    }
}

void JsonSlices::readKey()
{
    const std::size_t length = scalarLength();
    const json key = json::parse(text_.substr(place_, length), nullptr, false);
    place_ += length;
    skipSpace();
    if (!key.is_string() || here() != ':') {
        fail();
        return;
    }
    ++place_;
    key_ = key.get<std::string>();
    next_ = Next::Value;
}

void JsonSlices::readValue()
{
    const auto length = opens(here()) ? containerLength() : scalarLength();
    if (!length) {
        beginContainer();
        return;
    }
    json value = json::parse(text_.substr(place_, *length), nullptr, false);
    if (value.is_discarded()) {
        fail();
        return;
    }
    place_ += *length;
    newMember() = std::move(value);
    endValue();
}

void JsonSlices::readCommaOrEnd()
{
    if (atEndOfContainer()) {
        endContainer();
    } else if (here() == ',') {
        ++place_;
        next_ = Next::Member;
    } else {
        fail();
    }
}

void JsonSlices::beginContainer()
{
    if (openDepth() >= MostDepth) {
        fail();
        return;
    }
    json &container = newMember();
    container = here() == '{' ? json::object() : json::array();
    open_.push_back(&container);
    ++place_;
    next_ = Next::MemberOrEnd;
}

void JsonSlices::endContainer()
{
    ++place_;
    open_.pop_back();
    endValue();
}

void JsonSlices::endValue()
{
    if (!open_.empty()) {
        next_ = Next::CommaOrEnd;
        return;
    }
    skipSpace();
    next_ = Next::Nothing;
    if (place_ < text_.size()) {
        fail();
    }
}

void JsonSlices::fail()
{
    open_.clear();
    value_ = json(json::value_t::discarded);
    next_ = Next::Nothing;
}

void JsonSlices::skipSpace()
{
    place_ = std::min(text_.find_first_not_of(Space, place_), text_.size());
}

bool JsonSlices::atEndOfContainer() const
{
    return !open_.empty() && here() == (open_.back()->is_object() ? '}' : ']');
}

std::size_t JsonSlices::scalarLength() const
{
    const std::string_view rest = text_.substr(place_);
    if (here() == '"') {
        return stringLength(rest);
    }
    return std::min(rest.find_first_of(AfterScalar), rest.size());
}

// Nothing for a container that is long, cut off, or nested too deeply: it is read member by member,
// where the last two show.
std::optional<std::size_t> JsonSlices::containerLength() const
{
    const std::string_view start = text_.substr(place_, MostWhole);
    int depth = 0;
    std::size_t place = 0;
    while (place < start.size()) {
        if (start[place] == '"') {
            place += stringLength(start.substr(place));
            continue;
        }
        depth += opens(start[place]) ? 1 : 0;
        if (openDepth() + depth > MostDepth) {
            return std::nullopt;
        }
        depth -= closes(start[place]) ? 1 : 0;
        ++place;
        if (depth == 0) {
            return place;
        }
    }
    return std::nullopt;
}

// Where the value that is read next belongs. Of two members of one name the last one counts.
json &JsonSlices::newMember()
{
    if (open_.empty()) {
        return value_;
    }
    json &container = *open_.back();
    if (container.is_object()) {
        return container[key_];
    }
    container.push_back(nullptr);
    return container.back();
}

} // namespace limereel::http
