/** \file
 * What a pool carries now, from the words of other owners that are older and own counts that are
 * not.
 *
 * Requests are spread over owners by hashing, so what the own engines have gained since another
 * owner spoke, its engines have most likely gained too. Without this the bound lags behind a surge
 * and refuses requests that every engine has room for. Owners speak in every heartbeat, and in
 * every ask and answer as well: in a surge, when it matters, the words are milliseconds old.
 */
#pragma once

#include <cstdint>
#include <span>

namespace limereel::routing {

/** The last word of another owner on its engines of one model. */
struct OwnerReport
{
    std::uint64_t inFlight = 0; ///< On its engines, when it spoke.
    std::uint64_t engines = 0;
    std::uint64_t ownAtReport = 0; ///< In flight on own engines, when it spoke.
};

/** In flight on all engines of a model, as far as can be told.
 * \param ownNow in flight on the own engines, \a ownEngines of them. */
std::uint64_t estimateInFlight(std::uint64_t ownNow, std::uint64_t ownEngines,
                               std::span<const OwnerReport> others);

} // namespace limereel::routing
