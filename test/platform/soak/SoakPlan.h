/** \file
 * What a soak plays: its size, and what happens in it.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <filesystem>

namespace limereel::soak {

/** What to play. */
struct SoakPlan
{
    std::uint64_t seed = 1;
    kernel::Duration faultsFor = 20s;
    std::size_t boxes = 3;
    std::size_t servers = 4;
    std::size_t callers = 8;

    /** Servers stand in two halls, which are drained now and then, and are cold after a start. Off
     * for the seeds that were found without. */
    bool serverStates = false;

    /** Some requests end each server that begins to run them. */
    bool crashing = false;

    /** The same of requests with one part of a prompt, no two of which are alike. */
    bool crashingParts = false;

    /** Servers have few slots and a short queue and are slow at times, callers ask for more than
     * they can run at times, and one organisation sends most of it. Gateways have admission. */
    bool scarce = false;

    /** Servers of three software versions stand side by side and are replaced by others, some
     * crash, and callers take broken streams up at any box. */
    bool versions = false;

    /** Streams last nearly as long as a planned stop, and all that happens is planned work: boxes
     * are stopped and reload their settings, configurations change. */
    bool longStreams = false;

    /** The store can't list behind one of the odd names, in a way that the seed chooses. */
    bool pageFaults = false;
    std::filesystem::path folder; ///< For settings and logs.
};

} // namespace limereel::soak
