/** \file
 * The requests of an admission bench, what became of them, and an oracle that serves them all from
 * one queue.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "performance/AdmissionBench.h"

#include <cstdint>
#include <vector>

namespace limereel::performance {

/** One request. */
struct Arrival
{
    kernel::Instant at;
    std::size_t box = 0;
    std::uint64_t identity = 0;
    std::size_t organisation = 0;
    std::uint32_t priority = 0;
    kernel::Duration work{}; ///< For which it takes a slot.
    kernel::Duration
            first{}; ///< From the start of the work until the answer that the objective is for.
    kernel::Duration objective{};
    kernel::Duration deadline{};
};

/** Servers and requests of one case. */
struct AdmissionLoad
{
    std::size_t servers = 0;
    std::uint32_t slots = 0; ///< Of each.
    std::uint32_t queue = 0; ///< Requests that wait at a server itself.
    kernel::Instant countedFrom;
    double seconds = 0;
    bool engines = false;
    std::vector<Arrival> arrivals;
};

AdmissionLoad loadOf(const AdmissionCase &what);

/** Counts the answers to the requests after the warm-up. */
class AdmissionScore
{
public:
    explicit AdmissionScore(const AdmissionLoad &load);

    bool counts(const Arrival &arrival) const { return arrival.at >= countedFrom_; }

    /** Records an answer at \a at to an attempt that began at \a sent. */
    void noteAnswer(const Arrival &arrival, kernel::Instant sent, kernel::Instant at);

    /** All figures that follow from answers. */
    AdmissionResult result() const;

private:
    double leastServed() const;

    kernel::Instant countedFrom_;
    std::vector<std::vector<double>> wanted_; ///< Requests by priority and organisation.
    std::vector<double> inTimeOf_;            ///< By organisation.
    std::vector<kernel::Duration> times_;
    double inTime_ = 0;
    double requests_ = 0;
};

} // namespace limereel::performance
