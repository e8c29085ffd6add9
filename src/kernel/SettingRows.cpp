#include "kernel/SettingRows.h"

#include "config/Values.h"
#include "kernel/SettingChecks.h"

#include <algorithm>
#include <array>

namespace limereel::kernel {

namespace {

tl::expected<void, std::string> storeSeed(const std::string &value, BoxSettings &settings)
{
    const auto found = config::toInteger(value);
    if (!found || *found < 0) {
        return wrong(value, "an integer from 0; 0 takes one from the system");
    }
    settings.seed = static_cast<std::uint64_t>(*found);
    return {};
}

tl::expected<void, std::string> storeLogLevel(const std::string &value, BoxSettings &settings)
{
    constexpr std::array<std::string_view, 4> Levels = {"error", "warn", "info", "debug"};
    if (std::ranges::find(Levels, value) == Levels.end()) {
        return wrong(value, "error, warn, info or debug");
    }
    settings.logLevel = value;
    return {};
}

bool isHex64(std::string_view text)
{
    constexpr std::size_t Digits = 64;
    return text.size() == Digits
           && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// What was found may be a secret with a slip in it, so no message about a key repeats it.
tl::expected<void, std::string> storePeerKeys(const std::string &value, BoxSettings &settings)
{
    settings.peerKeys = config::splitNames(value);
    const bool right = std::ranges::all_of(settings.peerKeys, isHex64);
    if (!right || settings.peerKeys.empty() || settings.peerKeys.size() > 2) {
        return tl::unexpected<std::string>("allowed are one or two keys of 64 hexadecimal digits, "
                                           "as made by 'limereel new-key'");
    }
    return {};
}

tl::expected<void, std::string> storeOperators(const std::string &value, BoxSettings &settings)
{
    for (const std::string &entry : config::splitNames(value)) {
        const std::size_t at = entry.find(':');
        const std::string who = entry.substr(0, at);
        if (at == std::string::npos || !config::isName(who) || !isHex64(entry.substr(at + 1))) {
            return tl::unexpected<std::string>(
                    "allowed are entries NAME:HASH with the hash that 'limereel hash-key' prints");
        }
        settings.operators.push_back({who, entry.substr(at + 1)});
    }
    return {};
}

tl::expected<void, std::string> storeKnownBoxes(const std::string &value, BoxSettings &settings)
{
    for (const std::string &entry : config::splitNames(value)) {
        const std::size_t at = entry.find('@');
        const auto where = endpointFrom(at == std::string::npos ? "" : entry.substr(at + 1));
        if (!config::isName(entry.substr(0, at)) || !where) {
            return wrong(entry, "entries NAME@ADDRESS:PORT");
        }
        settings.knownBoxes.push_back({BoxId(entry.substr(0, at)), *where});
    }
    return {};
}

tl::expected<void, std::string> storeToken(const std::string &value, BoxSettings &settings)
{
    settings.platformToken = value;
    return {};
}

std::vector<SettingRow> boxRows()
{
    using S = BoxSettings;
    return {
            {{"box", "name", "a name", Required, "name of the box, unique in the fleet"},
             name([](S &s, std::string v) { s.box = BoxId(std::move(v)); })},
            {{"box", "hall", "a name", Required, "hall that the box stands in"},
             name([](S &s, std::string v) { s.hall = HallId(std::move(v)); })},
            {{"box", "region", "a name", Required, "region of the hall"},
             name([](S &s, std::string v) { s.region = std::move(v); })},
            {{"box", "log-level", "error, warn, info or debug", "info",
              "least level that is logged"},
             storeLogLevel},
            {{"box", "seed", "integer from 0", "0",
              "seed of all chance in the process; 0 takes one from the system"},
             storeSeed},
            {{"listen", "caller", "IP:PORT", Required, "address for callers (HTTP)"},
             endpoint(&S::caller)},
            {{"listen", "control", "IP:PORT", Required, "address for operators and metrics (HTTP)"},
             endpoint(&S::control)},
            {{"listen", "peer", "IP:PORT", Required,
              "address for the other boxes (UDP, and TCP for settings)"},
             endpoint(&S::peer)},
            {{"listen", "ready", "IP:PORT", "",
              "address for the balancer's question whether the box "
              "is ready (HTTP)"},
             optionalEndpoint(&S::ready)},
            {{"platform", "address", "IP:PORT", Required, "object API of the platform"},
             endpoint(&S::platform)},
            {{"platform", "token", "text", "", "bearer token for the object API"}, storeToken},
            {{"platform", "timeout", "10ms to 30s", "2s",
              "longest wait for an answer of the platform"},
             duration(&S::platformTimeout, 10ms, 30s)},
            {{"platform", "watch-timeout", "100ms to 300s", "30s", "length of one waiting watch"},
             duration(&S::watchTimeout, 100ms, 300s)},
            {{"platform", "directory-period", "100ms to 60s", "2s",
              "time between two reads of the list of boxes"},
             duration(&S::directoryPeriod, 100ms, 60s)},
            {{"peers", "keys", "one or two of 64 hexadecimal digits", Required,
              "secrets that authenticate messages between boxes; the first one signs, both are "
              "accepted"},
             storePeerKeys},
            {{"peers", "known", "NAME@IP:PORT ...", "",
              "boxes of the hall to talk to before the platform is reached"},
             storeKnownBoxes},
            {{"peers", "heartbeat-period", "50ms to 10s", "1s",
              "time between two heartbeats; the same on all boxes"},
             duration(&S::heartbeatPeriod, 50ms, 10s)},
            {{"peers", "fanout", "integer from 1 to 16", "2", "boxes that one heartbeat goes to"},
             count(&S::fanout, 1, 16)},
            {{"peers", "ask-timeout", "5ms to 2s", "50ms",
              "wait for an owner's answer before it is asked again"},
             duration(&S::askTimeout, 5ms, 2s)},
            {{"peers", "permit-lease", "1s to 120s", "30s",
              "how long a permit lives without a renewal"},
             duration(&S::permitLease, 1s, 120s)},
            {{"peers", "settle", "100ms to 60s", "6s",
              "how long a box that takes over an engine grants only up to the mean load"},
             duration(&S::settle, 100ms, 60s)},
            {{"operators", "keys", "NAME:HASH ...", "",
              "operators that may change settings and stop the box; hashes as printed by 'limereel "
              "hash-key'"},
             storeOperators},
            {{"callers", "head-bytes", "integer from 1024 to 65535", "16384",
              "most bytes of a request's head"},
             count(&S::headBytes, 1024, 65535)},
            {{"callers", "body-bytes", "integer from 1024 to 67108864", "1048576",
              "most bytes of a request's body"},
             count(&S::bodyBytes, 1024, 67108864)},
            {{"callers", "connections", "integer from 1 to 65536", "4096",
              "most connections of callers at once"},
             count(&S::connections, 1, 65536)},
            {{"callers", "head-timeout", "100ms to 300s", "10s",
              "longest wait for a whole request"},
             duration(&S::headTimeout, 100ms, 300s)},
            {{"callers", "write-timeout", "100ms to 300s", "20s",
              "longest wait for a caller to take what was sent"},
             duration(&S::writeTimeout, 100ms, 300s)},
            {{"callers", "idle-timeout", "100ms to 3600s", "60s",
              "how long an idle connection is kept"},
             duration(&S::idleTimeout, 100ms, 3600s)},
            {{"backends", "connect-timeout", "10ms to 30s", "1s", "longest wait for a connection"},
             duration(&S::connectTimeout, 10ms, 30s)},
            {{"backends", "first-token-timeout", "100ms to 600s", "60s",
              "longest wait for the first byte of an answer"},
             duration(&S::firstTokenTimeout, 100ms, 600s)},
            {{"backends", "token-timeout", "100ms to 600s", "20s",
              "longest wait between two parts of an answer"},
             duration(&S::tokenTimeout, 100ms, 600s)},
            {{"backends", "probe-period", "50ms to 60s", "3s",
              "time between two probes of a backend server by its owner"},
             duration(&S::probePeriod, 50ms, 60s)},
            {{"backends", "load-lag", "0ms to 60s", "3s",
              "how old the load may be that an engine reports; a report is only held against what "
              "the box "
              "itself counted since then"},
             duration(&S::loadLag, 0ms, 60s)},
            {{"backends", "retry-ratio", "decimal from 0 to 1", "0.1",
              "retries for each first attempt, at most"},
             decimal(&S::retryRatio, 0, 1)},
            {{"backends", "resumes", "integer from 0 to 100", "5",
              "how often one broken stream is resumed"},
             count(&S::resumes, 0, 100)},
            {{"backends", "chat-index", "integer from 0 to 1000000", "65536",
              "chats whose engine the box remembers, about 100 bytes each"},
             count(&S::chatIndex, 0, 1000000)},
            {{"stop", "balancer-lag", "0ms to 300s", "5s",
              "how long new connections are still taken after a planned stop was asked for"},
             duration(&S::balancerLag, 0ms, 300s)},
            {{"stop", "deadline", "1s to 86400s", "900s",
              "when a planned stop ends whatever still runs"},
             duration(&S::stopDeadline, 1s, 86400s)},
            {{"placement", "period", "50ms to 600s", "5s",
              "time between two plans of which engine holds which model"},
             duration(&S::placementPeriod, 50ms, 600s)},
            {{"placement", "lease", "500ms to 300s", "15s",
              "length of the lease of the box that gives orders"},
             duration(&S::placementLease, 500ms, 300s)},
            {{"placement", "guard", "0ms to 300s", "10s",
              "how long a new holder waits before it orders servers that check no token"},
             duration(&S::placementGuard, 0ms, 300s)},
    };
}

} // namespace

const std::vector<SettingRow> &settingRows()
{
    static const std::vector<SettingRow> Rows = [] {
        std::vector<SettingRow> all = boxRows();
        for (SettingRow &row : gatewayRows()) {
            all.push_back(std::move(row));
        }
        return all;
    }();
    return Rows;
}

} // namespace limereel::kernel
