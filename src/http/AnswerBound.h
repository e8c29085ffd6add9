/** \file
 * The bounds on what is held of an answer, and their names. A server in trouble may send bytes that
 * are no answer and have no end; without bounds it would fill the memory of each box that asks it.
 */
#pragma once

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::http {

/** The parts of an answer that have a bound each. */
enum class AnswerBound : std::uint8_t {
    Head,    ///< Status line and fields.
    Framing, ///< The size and extensions of one chunk, or all trailers.
    Event,   ///< One event of a stream.
    Body     ///< A body that is held as a whole.
};

constexpr std::size_t MaxHeadBytes = std::size_t{64} * 1024;
constexpr std::size_t MaxFramingBytes = std::size_t{16} * 1024;
constexpr std::size_t MaxEventBytes = std::size_t{1024} * 1024;
constexpr std::size_t MaxBodyBytes = std::size_t{16} * 1024 * 1024; ///< Of a backend server.

/** The bound that a read with the result \a error has passed; the head's if \a inHead. */
std::optional<AnswerBound> passedBy(const boost::system::error_code &error, bool inHead);

/** Name for logs and metrics. */
std::string_view text(AnswerBound bound);

/** The message of a failure: the part that \a bound is about has more than \a mostBytes. */
std::string tooLong(AnswerBound bound, std::size_t mostBytes);

/** The same for the two bounds that passedBy() finds. */
std::string tooLong(AnswerBound bound);

} // namespace limereel::http
