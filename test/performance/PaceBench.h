/** \file
 * What the ways of taking account of the pace of servers cost and save: a plain service of four
 * servers at 83 boxes, where two servers work six times slower for 10 s, and where noise of a
 * factor 2.5 changes every 600 ms. No network.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace limereel::performance {

/** What is run. */
struct PaceCase
{
    std::string way;   ///< See paceWays().
    double load = 0.4; ///< Part of what the servers run while none is slow.
    std::uint64_t seed = 1;
};

/** What came of it. */
struct PaceResult
{
    double calmWithin = 0; ///< Part of the answers within 120 ms, before servers are slow.
    double within = 0;     ///< The same while they are.
    double p99 = 0;        ///< 99th percentile of the times of answers then, ms.
    double slowShare = 0;  ///< Part of the requests that the slow servers get then.
    double backAfter = 0;  ///< Seconds after recovery until they get 0.4 of the requests for 1 s.
};

std::vector<std::string> paceWays();

PaceResult runPaces(const PaceCase &what);

} // namespace limereel::performance
