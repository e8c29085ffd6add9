/** \file
 * Which numbers are a status of an answer. The parser takes any three digits.
 */
#pragma once

namespace limereel::http {

/** Whether \a status belongs to one of the five classes. Bytes with another one are no answer. */
constexpr bool isStatus(int status)
{
    constexpr int First = 100;
    constexpr int Last = 599;
    return status >= First && status <= Last;
}

/** Message of the failure. */
inline constexpr const char *NoStatus = "its status is none of HTTP";

} // namespace limereel::http
