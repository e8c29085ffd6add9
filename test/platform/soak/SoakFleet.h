/** \file
 * The gateways of a soak: real processes on addresses of the loopback range, ended and paused by
 * signals. Only processes that it started are signalled, by their ids.
 */
#pragma once

#include "forward/FleetRetryBudget.h"
#include "kernel/BoxSettings.h"
#include "kernel/decisions/Time.h"
#include "support/Processes.h"

#include <filesystem>
#include <string>
#include <vector>

namespace limereel::soak {

/** Bounds that the boxes are told. */
struct SoakBounds
{
    kernel::Duration revokeWithin = 3s;
    kernel::Duration drainWithin = 1s;
    kernel::Duration stopWithin = 4s;
    kernel::Duration hallDrainWithin = 3s;
};

/** What a cold server of the soak's pool bears, and the bound on what it is sent. */
inline constexpr kernel::Duration ColdFor = 2s;
inline constexpr double ColdPerSecond = 3;
inline constexpr double ColdExcess = 1.5;
inline constexpr double ColdSlack = 5;

/** The fleet's bound on repeats, which all boxes have as their setting. */
inline constexpr forward::RetryBound RepeatBound{0.2, 10s, 52};

/** One gateway. */
struct SoakBox
{
    std::string name;
    kernel::Endpoint caller;
    kernel::Endpoint ready;
    kernel::Endpoint control;
    kernel::Endpoint peer;
    kernel::Endpoint store; ///< Its own proxy before the store.
    std::filesystem::path settingsFile;
    std::filesystem::path logFile;
    support::Process process;
    int processes = 0; ///< That were started so far.
    bool paused = false;
    kernel::Instant started; ///< The process that runs.
    bool stopping = false;   ///< It was told to stop.
    bool early = false;      ///< So soon that it may not have begun to listen to signals.
    bool killed = false;     ///< It was killed,
    kernel::Instant startAt; ///< and starts again then.
};

/** All of them. */
class SoakFleet
{
public:
    /** \param admission whether gateways have admission control. */
    SoakFleet(std::filesystem::path folder, std::size_t boxes, SoakBounds bounds,
              bool admission = false);

    std::vector<SoakBox> &boxes() { return boxes_; }
    const std::filesystem::path &folder() const { return folder_; }

    /** Starts a process of \a box, which has none. */
    void start(SoakBox &box, kernel::Instant now);

    /** Writes the settings anew, with another slack of the retry budget. */
    void writeSettings(const SoakBox &box, int retrySlack) const;

private:
    std::filesystem::path folder_;
    SoakBounds bounds_;
    bool admission_;
    std::vector<SoakBox> boxes_;
};

} // namespace limereel::soak
