/** \file
 * The limit on the requests in flight on one engine: a set multiple of the pool's mean load,
 * rounded up.
 *
 * Bounded loads with consistent hashing (Mirrokni, Thorup and Zadimoghaddam, 2016). What is
 * guaranteed is the rounded limit: at a mean of 5 and c = 1.25 the bound is 7, which is 1.4 times
 * the mean.
 */
#pragma once

#include <cstdint>

namespace limereel::routing {

/**
 * max(floor, ceil(c × (inFlight + 1) / engines)): the mean includes the request to be placed.
 * \param floor load below which an engine counts as idle whatever the mean, at least 1. While the
 * mean is below floor / c, the bound is the floor and not the multiple: at a mean of 0.5, a bound
 * of 1 would move a returning chat away from its prefix because of one other request on that
 * engine.
 */
std::uint32_t loadBound(double c, std::uint64_t inFlight, std::uint64_t engines,
                        std::uint32_t floor = 1);

} // namespace limereel::routing
