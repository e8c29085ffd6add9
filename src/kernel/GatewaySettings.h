/** \file
 * The settings of a gateway: a box whose routes, organisations and backend servers come from a
 * platform's store through an adapter.
 *
 * The bounds are promises of the deployment, in the product's words; no bound is a constant in
 * code.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limereel::kernel {

/** Bounds that the deployment promises, and what a gateway needs to keep them. */
struct GatewaySettings
{
    Duration revokeWithin{};           ///< A key that was taken away runs nothing later than this.
    bool refuseUnconfirmedKeys = true; ///< Whether that holds for a box cut off from the store.
    Duration drainWithin{};        ///< A leaving backend server gets nothing new later than this.
    Duration applyWithin{};        ///< A new configuration is in force by then.
    Duration stopWithin{};         ///< A planned stop ends by then.
    Duration contact{};            ///< A disturbance this long ago still excuses.
    Duration listBeat{};           ///< Time between two signs of life of a listed backend server.
    double retryRatio = 0;         ///< Repeats for each request, over the whole fleet.
    Duration retryWindow{};        ///< Over which repeats are counted.
    double retrySlack = 0;         ///< Repeats beyond the ratio in a window, over the whole fleet.
    double loadMultiple = 0;       ///< Most load of an engine, as a multiple of the mean.
    Duration partRemembered{};     ///< How long an unused prompt part is thought kept.
    std::uint32_t metricsPort = 0; ///< 0: none.
    std::uint32_t descriptors = 0; ///< File descriptors that the process may use.
    std::uint32_t memoryMb = 256;  ///< Memory that the process may use.
    double storeWrites = 0;        ///< Writes a second that the store allows; 0: not stated.
    double linkMbps = 0;           ///< Of the box's own link; boxes with fast ones relay first.
    Duration hallDrainWithin{};    ///< A drained hall gets nothing new later; zero: none is told.
    double coldExcess = 0;         ///< Requests to a cold server, as a multiple of what it bears,
    double coldSlack = 0;          ///< and a second beyond that.
    Duration longestRest{};        ///< What is kept of a rest that a backend server asks for.
    bool admission = false;        ///< Whether owners limit and queue what backend servers get.
    bool detours = true; ///< Whether requests go through other boxes whose servers aren't reached.
    std::map<std::string, std::string> hallRegions; ///< The region of each hall.
    std::vector<std::string> seeds;                 ///< Addresses of boxes that may know others.

    bool operator==(const GatewaySettings &) const = default;
};

} // namespace limereel::kernel
