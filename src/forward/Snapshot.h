/** \file
 * One version of a gateway's configuration: routes, services, organisations and limits, as an
 * immutable value that is compiled once and then only queried.
 *
 * The longest matching prefix is found by looking up the path's own prefixes, longest first, so the
 * cost doesn't depend on the number of routes.
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

/** Whether a request may be sent again once it may have run. */
enum class Repeatability : std::uint8_t {
    Once,       ///< It runs at most once.
    Repeatable, ///< It may run again.
    Resumable   ///< A stream that may be resumed at another server after the last event received.
};

/** A service that gets a share of a route's requests. */
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

/** Where requests for one host and path prefix go. */
struct Route
{
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with '/'.
    Repeatability repeatability = Repeatability::Once;
    bool stream = false;
    bool anonymous = false;       ///< Whether requests need no key.
    bool promptAffinity = false;  ///< Whether requests carry prompts whose parts engines keep.
    kernel::Duration timeout{};   ///< Upper bound on the time that a request takes.
    kernel::Duration objective{}; ///< Time within which an answer has its full value.
    kernel::Duration eventGap{};  ///< Longest pause between two events that is considered in time.
    std::uint32_t priority = 0;   ///< 0 is the highest.
    std::uint32_t maxAttempts = 1;
    std::vector<WeightedService> services;
    std::vector<std::string> homes; ///< The only regions in which its requests may run; empty: any.

    auto operator<=>(const Route &) const = default;
};

/** A service of the configuration. */
struct Service
{
    std::string name;
    std::string healthPath;
    /** Upper bound on the fleet's connections to one backend server; 0: not stated. */
    std::uint32_t maxConnections = 0;
    bool engine = false;     ///< Whether its backend servers are model engines.
    bool movesParts = false; ///< Whether its engines may fetch prompt parts from each other.
    ColdPolicy cold;         ///< The cold phase of its backend servers.

    auto operator<=>(const Service &) const = default;
};

/** An organisation and its keys. */
struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the route's.
    std::vector<std::string> homes;        ///< As for a route; if both are set, both apply.

    auto operator<=>(const Organisation &) const = default;
};

/** Limits on the size and duration of callers' requests. */
struct CallerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint32_t bodyBytes = 4194304;
    kernel::Duration headTimeout = 10s;
    kernel::Duration idleTimeout = 60s;

    auto operator<=>(const CallerLimits &) const = default;
};

/** The contents of a configuration, not yet compiled. */
struct SnapshotContent
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Organisation> organisations;
    std::vector<std::string> leftOut; ///< Names of organisations that can't be told to servers.
    /** Whether it has a list of organisations, which may be empty: then no key is valid. */
    bool listsOrganisations = false;
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

    /** The route with the longest prefix of \a path at \a host, which is as the caller wrote it;
     * nullptr if there is none. */
    const Route *route(std::string_view host, std::string_view path) const;

    const Service *service(const std::string &name) const;

    /** The organisation that holds \a key; nullptr if none does. */
    const Organisation *organisation(const std::string &key) const;

    const std::vector<Organisation> &organisations() const { return content_.organisations; }

    /** Whether requests need keys, unless their route is anonymous. */
    bool needsKeys() const
    {
        return content_.listsOrganisations || !content_.organisations.empty();
    }

private:
    using Prefixes = std::unordered_map<std::string, const Route *>;

    SnapshotContent content_;
    std::unordered_map<std::string, Prefixes> hosts_;
    std::unordered_map<std::string, const Service *> services_;
    std::unordered_map<std::string, const Organisation *> organisations_; ///< By key.
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/** The regions in which a request with these home regions may run: those in both lists, or the list
 * that isn't empty. Nothing: it may run in none; empty: anywhere. */
std::optional<std::vector<std::string>> homeRegions(const std::vector<std::string> &ofRoute,
                                                    const std::vector<std::string> &ofOrganisation);

/** Chooses a service of \a route by weight; the same one for the same \a seed. */
const std::string &chooseService(const Route &route, std::uint64_t seed);

} // namespace limereel::forward
