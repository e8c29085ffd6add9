/** \file
 * The settings of one box, read from its INI file: addresses, hall, keys, limits.
 *
 * Everything that the fleet must agree on is in the tree of settings on the platform instead (see
 * config/). Each key is described in one table, which makes the checks, the messages and the
 * reference in docs/SETTINGS.md.
 */
#pragma once

#include "kernel/GatewaySettings.h"
#include "kernel/decisions/Name.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace limereel::kernel {

/** An IP number and a port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** "address:port"; nothing wrong is let through: IP numbers only, port 1 to 65535. */
tl::expected<Endpoint, std::string> endpointFrom(std::string_view text);

/** The text that endpointFrom() takes. */
std::string text(const Endpoint &endpoint);

/** A box that is known before the platform has been reached. */
struct KnownBox
{
    BoxId box;
    Endpoint peer;

    bool operator==(const KnownBox &) const = default;
};

/** An operator's key, as a hash. */
struct OperatorKey
{
    std::string name;
    std::string hash; ///< 64 hexadecimal digits.

    auto operator<=>(const OperatorKey &) const = default;
};

/** All settings of a box. */
struct BoxSettings
{
    BoxId box;
    HallId hall;
    std::string region;
    std::string logLevel;
    std::uint64_t seed = 0; ///< 0: from the system.

    Endpoint caller;
    Endpoint control;
    Endpoint peer;
    Endpoint ready; ///< Port 0: readiness is told at the callers' address only.
    Endpoint platform;
    std::string platformToken;

    std::vector<std::string> peerKeys; ///< 64 hexadecimal digits each; the first one signs.
    std::vector<KnownBox> knownBoxes;
    std::vector<OperatorKey> operators;

    std::uint32_t headBytes = 0;
    std::uint32_t bodyBytes = 0;
    std::uint32_t connections = 0;
    Duration headTimeout{};
    Duration writeTimeout{};
    Duration idleTimeout{};

    Duration connectTimeout{};
    Duration firstTokenTimeout{};
    Duration tokenTimeout{};
    double retryRatio = 0;
    std::uint32_t resumes = 0;
    std::uint32_t chatIndex = 0;

    Duration heartbeatPeriod{};
    std::uint32_t fanout = 0;
    Duration askTimeout{};
    Duration permitLease{};
    Duration settle{};
    Duration probePeriod{};
    Duration loadLag{};

    Duration platformTimeout{};
    Duration watchTimeout{};
    Duration directoryPeriod{};
    Duration balancerLag{};
    Duration stopDeadline{};

    Duration placementPeriod{};
    Duration placementLease{};
    Duration placementGuard{};

    GatewaySettings gateway;

    bool operator==(const BoxSettings &) const = default;
};

/** One thing wrong with a settings file. */
struct SettingsProblem
{
    std::string section;
    std::string key;
    std::string message; ///< What was found and what is allowed.

    auto operator<=>(const SettingsProblem &) const = default;
};

/** "FILE: [section] key: message". */
std::string text(const SettingsProblem &problem, const std::string &file);

/** One key of the file, for the reference. */
struct SettingInfo
{
    std::string_view section;
    std::string_view key;
    std::string_view allowed;
    std::string_view byDefault; ///< "required" if there is none.
    std::string_view meaning;
};

/** All keys, in the order of the reference. */
const std::vector<SettingInfo> &settingTable();

/** The settings in the INI \a text, or everything that is wrong with it. */
tl::expected<BoxSettings, std::vector<SettingsProblem>> settingsFrom(const std::string &text);

/** A duration such as "250ms", "3s", "5min". */
tl::expected<Duration, std::string> durationFrom(std::string_view text);

} // namespace limereel::kernel
