/** \file
 * One version of the configuration of a gateway: routes, services, organisations and limits, as an
 * immutable value that is compiled once and then only looked up.
 *
 * The longest matching prefix is found by trying the path's own prefixes, longest first, so ten
 * thousand routes cost no more than ten.
 */
#pragma once

#include "forward/ColdStarts.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limereel::forward {

/** What may be done with a request once it may have run. */
enum class Repeatability : std::uint8_t {
    Once,       ///< It runs at most once.
    Repeatable, ///< It may run again.
    Resumable   ///< A stream that may go on elsewhere from the last event that arrived.
};

/** A service that takes part of a route's requests. */
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/** Where requests of one host and path prefix go. */
struct Route
{
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with '/'.
    Repeatability repeatability = Repeatability::Once;
    bool stream = false;
    bool anonymous = false;       ///< Needs no key.
    bool promptAffinity = false;  ///< Requests bring prompts whose parts engines keep.
    kernel::Duration timeout{};   ///< Longest that a request is held.
    kernel::Duration objective{}; ///< Within which an answer is worth most.
    kernel::Duration eventGap{};  ///< Longest pause between events that is in time.
    std::uint32_t priority = 0;   ///< 0 goes first.
    std::uint32_t maxAttempts = 1;
    std::vector<WeightedService> services;
    std::vector<std::string> homes; ///< Regions in which alone its requests run; empty: any.

    auto operator<=>(const Route &) const = default;
};

/** A service as the configuration tells of it. */
struct Service
{
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< To one backend server, from the whole fleet; 0: untold.
    bool engine = false;              ///< Its backend servers are model engines.
    bool movesParts = false;          ///< Its engines may take prompt parts from each other.
    ColdPolicy cold;                  ///< How its backend servers start.

    auto operator<=>(const Service &) const = default;
};

/** An organisation and its keys. */
struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the route's.
    std::vector<std::string> homes;        ///< As of a route; where both have some, both bind.

    auto operator<=>(const Organisation &) const = default;
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint32_t bodyBytes = 4194304;
    kernel::Duration headTimeout = 10s;
    kernel::Duration idleTimeout = 60s;

    auto operator<=>(const CallerLimits &) const = default;
};

/** What a configuration says, not yet compiled. */
struct SnapshotContent
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    CallerLimits limits;

    auto operator<=>(const SnapshotContent &) const = default;
};

/** A compiled configuration. */
class Snapshot
{
public:
    explicit Snapshot(SnapshotContent content);

    Snapshot(const Snapshot &) = delete;
    Snapshot &operator=(const Snapshot &) = delete;

    std::uint64_t version() const { return content_.version; }
    const CallerLimits &limits() const { return content_.limits; }
    const SnapshotContent &content() const { return content_; }

    /** The route with the longest prefix of \a path at \a host, as the caller wrote it; nullptr if
     * there is none. */
    const Route *route(std::string_view host, std::string_view path) const;

    const Service *service(const std::string &name) const;

    /** The organisation that holds \a key; nullptr if none does. */
    const Organisation *organisation(const std::string &key) const;

    /** Whether requests carry keys at all. */
    bool hasOrganisations() const { return !content_.organisations.empty(); }

private:
    using Prefixes = std::unordered_map<std::string, const Route *>;

    SnapshotContent content_;
    std::unordered_map<std::string, Prefixes> hosts_;
    std::unordered_map<std::string, const Service *> services_;
    std::unordered_map<std::string, const Organisation *> organisations_; ///< By key.
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/** The regions in which a request with these homes may run: what both have, or the one that has
 * some. Nothing if it may run in none; empty: anywhere. */
std::optional<std::vector<std::string>> homeRegions(const std::vector<std::string> &ofRoute,
                                                    const std::vector<std::string> &ofOrganisation);

/** The service of \a route for a request, the same for the same \a seed. */
const std::string &chooseService(const Route &route, std::uint64_t seed);

} // namespace limereel::forward
