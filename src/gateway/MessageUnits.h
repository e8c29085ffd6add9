/** \file
 * Converts durations and rates to and from the units of the fields of peer messages.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <algorithm>
#include <cstdint>

namespace limereel::gateway {

/** Whole milliseconds of \a duration, at least 0. */
inline std::uint32_t milliseconds(kernel::Duration duration)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, duration / 1ms));
}

constexpr double ThousandthsPerUnit = 1000;

/** A rate as thousandths of a request a second. */
inline std::uint32_t thousandths(double perSecond)
{
    constexpr double Most = 4e9; ///< Within the range of a 32-bit field.
    return static_cast<std::uint32_t>(std::clamp(perSecond * ThousandthsPerUnit, 0.0, Most));
}

/** The rate that thousandths() has converted. */
inline double fromThousandths(std::uint32_t perSecond)
{
    return perSecond / ThousandthsPerUnit;
}

} // namespace limereel::gateway
