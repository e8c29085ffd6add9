/** \file
 * Decides whether an organisation may take one more slot of a resource that is nearly full.
 *
 * While enough slots are free, any organisation may take one. The last part is reserved for
 * organisations that hold less than an equal share, so an organisation that surges can use idle
 * slots but not those that the others need (max-min fairness, decided locally and without a
 * message).
 */
#pragma once

#include <cstdint>

namespace limereel::admission {

/** The state of a resource when a permit is requested. */
struct ShareView
{
    std::uint32_t limit = 0;         ///< All slots.
    std::uint32_t taken = 0;         ///< Slots taken by all organisations.
    std::uint32_t own = 0;           ///< Slots taken by the requesting organisation.
    std::uint32_t organisations = 0; ///< Organisations that hold a slot, and the requesting one.
    double reservedShare = 0; ///< Part of the limit reserved for those below their share, 0 to 1.
};

/** Whether the request may be granted. The limit itself is checked by the caller. */
bool fairShareAllows(const ShareView &view);

} // namespace limereel::admission
