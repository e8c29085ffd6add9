/** \file
 * What the ways of admitting requests give when more arrive than the backend servers can run:
 * boxes, owners and servers in one queue of events. No network; the owners' decisions are the real
 * ones.
 *
 * An objective counts from the attempt that is answered, a deadline and the time of an answer from
 * the request's first attempt.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace limereel::performance {

/** What is run. */
struct AdmissionCase
{
    std::string way; ///< See admissionWays().
    std::size_t boxes = 6;
    bool engines = false; ///< A service of engines, else a plain one.
    double load = 1;      ///< As a multiple of what the servers can run.
    std::uint64_t seed = 1;
};

/** What came of it. */
struct AdmissionResult
{
    double inTime = 0;       ///< Requests answered within their objective.
    double answered = 0;     ///< Part of the requests that were answered, in time or late.
    double rejected = 0;     ///< Part of the sends that servers rejected.
    double p99 = 0;          ///< Milliseconds until an answer.
    double leastServed = 0;  ///< Least part of its max-min share that an organisation got in time.
    double refusedTwice = 0; ///< Part of the refused requests.
    double withdrawn = 0;    ///< Part of the queued asks whose box stopped waiting for the grant.
    double messages = 0;     ///< A second, sent and received, at the busiest box.
    double bytes = 0;        ///< The same.
};

std::vector<std::string> admissionWays();

AdmissionResult runAdmission(const AdmissionCase &what);

/** The requests that an oracle answers in time, which serves all from one queue in the book's
 * order. */
double oracleInTime(const AdmissionCase &what);

} // namespace limereel::performance
