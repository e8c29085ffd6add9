/** \file
 * Estimates the present load of a pool from older reports of other owners and the current count of
 * this owner.
 *
 * Requests are spread over owners by hashing, so since another owner's report the load of its
 * engines has most likely changed as much as that of the own engines. Without this correction the
 * bound lags behind a surge, and requests are refused that every engine has capacity for. Owners
 * report their loads in every heartbeat and in every permit request and answer, so in a surge, when
 * it matters, the reports are milliseconds old.
 */
#pragma once

#include <cstdint>
#include <span>

namespace limereel::routing {

/** The last report of another owner on its engines of one model. */
struct OwnerReport
{
    std::uint64_t inFlight = 0; ///< On its engines, at the time of the report.
    std::uint64_t engines = 0;
    std::uint64_t ownAtReport = 0; ///< In flight on the own engines, at the time of the report.
};

/**
 * Estimated requests in flight on all engines of a model.
 * \param ownNow in flight on the own engines, of which there are \a ownEngines.
 */
std::uint64_t estimateInFlight(std::uint64_t ownNow, std::uint64_t ownEngines,
                               std::span<const OwnerReport> others);

} // namespace limereel::routing
