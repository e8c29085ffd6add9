#include "http/JsonSlices.h"

#include "http/JsonBody.h"

#include <boost/json/basic_parser_impl.hpp>
// Compiles Boost.JSON into this file, so that its library needn't be linked. Only one file may.
#include <boost/json/src.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace limereel::http {

using boost::json::error_code;
using nlohmann::json;

namespace {

// About one millisecond of a whole core; the loop takes its other turns in between.
constexpr std::size_t SliceBytes = std::size_t{32} * 1024;
constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";

// Small texts cost the least in one go. The others aren't JSON to Boost's parser, but parseBody
// skips a mark of the byte order and takes a zero byte as the end.
bool mustBeReadWhole(std::string_view text)
{
    return text.size() <= SliceBytes || text.starts_with(ByteOrderMark)
           || text.find('\0') != std::string_view::npos;
}

boost::json::parse_options parseOptions()
{
    boost::json::parse_options options;
    options.max_depth = MostDepth;
    return options;
}

/** Builds the value from what Boost's parser reads. */
class ValueBuilder
{
public:
    json take() { return std::move(value_); }

    // Boost's parser prescribes these names.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
    static constexpr std::size_t max_object_size = max_array_size;
    static constexpr std::size_t max_string_size = max_array_size;
    static constexpr std::size_t max_key_size = max_array_size;

    bool on_document_begin(error_code & /*error*/) { return true; }
    bool on_document_end(error_code & /*error*/) { return true; }
    bool on_array_begin(error_code & /*error*/) { return open(json::array()); }
    bool on_array_end(std::size_t /*size*/, error_code & /*error*/) { return close(); }
    bool on_object_begin(error_code & /*error*/) { return open(json::object()); }
    bool on_object_end(std::size_t /*size*/, error_code & /*error*/) { return close(); }

    bool on_string_part(std::string_view part, std::size_t /*size*/, error_code & /*error*/)
    {
        return keep(part);
    }
    bool on_string(std::string_view rest, std::size_t /*size*/, error_code & /*error*/)
    {
        return add(wholeText(rest));
    }
    bool on_key_part(std::string_view part, std::size_t /*size*/, error_code & /*error*/)
    {
        return keep(part);
    }
    bool on_key(std::string_view rest, std::size_t /*size*/, error_code & /*error*/)
    {
        key_ = wholeText(rest);
        return true;
    }

    bool on_number_part(std::string_view part, error_code & /*error*/) { return keep(part); }
    bool on_int64(std::int64_t number, std::string_view rest, error_code & /*error*/)
    {
        // parseBody gives signed numbers only where there is a sign.
        if (wholeText(rest).starts_with('-')) {
            return add(number);
        }
        return add(static_cast<std::uint64_t>(number));
    }
    bool on_uint64(std::uint64_t number, std::string_view /*rest*/, error_code & /*error*/)
    {
        parts_.clear();
        return add(number);
    }
    // Boost's reading of fractions may be wrong in the last bit, so nlohmann reads their text.
    bool on_double(double /*number*/, std::string_view rest, error_code &error)
    {
        json number = json::parse(wholeText(rest), nullptr, false);
        if (number.is_discarded()) {
            error = boost::json::error::not_number;
            return false;
        }
        return add(std::move(number));
    }

    bool on_bool(bool value, error_code & /*error*/) { return add(value); }
    bool on_null(error_code & /*error*/) { return add(nullptr); }
    bool on_comment_part(std::string_view /*part*/, error_code & /*error*/) { return true; }
    bool on_comment(std::string_view /*rest*/, error_code & /*error*/) { return true; }
    // NOLINTEND(readability-identifier-naming)

private:
    // Strings, keys and numbers come in parts where a slice ends or a character is escaped.
    bool keep(std::string_view part)
    {
        parts_ += part;
        return true;
    }

    std::string wholeText(std::string_view rest)
    {
        parts_ += rest;
        return std::exchange(parts_, {});
    }

    bool add(json value)
    {
        newMember() = std::move(value);
        return true;
    }

    bool open(json container)
    {
        json &member = newMember();
        member = std::move(container);
        open_.push_back(&member);
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    // Where the value that is read next belongs. Of two members of one name the last one counts.
    json &newMember()
    {
        if (open_.empty()) {
            return value_;
        }
        json &container = *open_.back();
        if (container.is_object()) {
            return container[std::move(key_)];
        }
        return container.emplace_back(nullptr);
    }

    json value_;
    std::vector<json *> open_; ///< The containers around the place that is read.
    std::string key_;          ///< The last one read.
    std::string parts_;        ///< Of the string, key or number that is being read.
};

} // namespace

class JsonSlices::Parser : public boost::json::basic_parser<ValueBuilder>
{
public:
    Parser()
        : basic_parser(parseOptions())
    {
    }
};

JsonSlices::JsonSlices(std::string_view text)
    : text_(text)
    , parser_(std::make_unique<Parser>())
{
}

JsonSlices::~JsonSlices() = default;

bool JsonSlices::readSlice()
{
    if (place_ == 0 && mustBeReadWhole(text_)) {
        value_ = parseBody(text_);
        place_ = text_.size();
        return false;
    }
    const std::string_view slice = text_.substr(place_, SliceBytes);
    place_ += slice.size();
    const bool more = place_ < text_.size();
    error_code error;
    const std::size_t read = parser_->write_some(more, slice.data(), slice.size(), error);
    // The parser stops without an error where something follows the value.
    if (error || read < slice.size()) {
        place_ = text_.size();
        return false;
    }
    if (!more) {
        value_ = parser_->handler().take();
    }
    return more;
}

} // namespace limereel::http
