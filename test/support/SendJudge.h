/** \file
 * Counts, as backend servers see it, the requests that reach a server whose load is above the bound
 * that the users state: a multiple of the mean load of its service, and three.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace limereel::support {

/** The judge of one service. Deterministic: callers pass in the time. */
class SendJudge
{
public:
    static constexpr double Multiple = 2;
    static constexpr double Beyond = 3;
    static constexpr kernel::Duration Window = 5s;

    explicit SendJudge(std::size_t servers)
        : running_(servers)
    {
    }

    void arrive(std::size_t server, kernel::Instant now)
    {
        const double bound = Multiple * mean() + Beyond;
        const bool over = running_[server] > bound;
        ++arrivals_;
        over_ += over ? 1 : 0;
        recent_.push_back({now, over});
        while (now - recent_.front().at > Window) {
            recent_.pop_front();
        }
        const auto overNow = static_cast<std::size_t>(
                std::ranges::count_if(recent_, [](const Arrival &one) { return one.over; }));
        const double share = static_cast<double>(overNow) / static_cast<double>(recent_.size());
        if (overNow >= MinOver) {
            worst_ = std::max(worst_, share);
        }
        ++running_[server];
    }

    /** An arrival that isn't judged. */
    void begin(std::size_t server) { ++running_[server]; }

    void end(std::size_t server) { --running_[server]; }

    std::uint32_t running(std::size_t server) const { return running_[server]; }

    double mean() const
    {
        const auto all = std::accumulate(running_.begin(), running_.end(), 0.0);
        return all / static_cast<double>(running_.size());
    }

    std::size_t arrivals() const { return arrivals_; }

    /** The share of all arrivals that found their server above the bound. */
    double share() const
    {
        return arrivals_ == 0 ? 0 : static_cast<double>(over_) / static_cast<double>(arrivals_);
    }

    /** The largest share within one window, of windows with enough of these arrivals to count. */
    double worst() const { return worst_; }

private:
    static constexpr std::size_t MinOver = 20;

    struct Arrival
    {
        kernel::Instant at;
        bool over = false;
    };

    std::vector<std::uint32_t> running_;
    std::deque<Arrival> recent_;
    std::size_t arrivals_ = 0;
    std::size_t over_ = 0;
    double worst_ = 0;
};

} // namespace limereel::support
