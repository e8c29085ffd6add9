#include "kernel/SettingChecks.h"

#include <boost/asio/ip/address.hpp>

namespace limereel::kernel {

namespace {

using S = BoxSettings;

template <typename Type>
auto field(Type GatewaySettings::*member)
{
    return [member](BoxSettings &settings) -> Type & { return settings.gateway.*member; };
}

tl::expected<void, std::string> storeSeeds(const std::string &value, BoxSettings &settings)
{
    for (const std::string &entry : config::splitNames(value)) {
        const auto found = endpointFrom(entry);
        if (!found) {
            return tl::unexpected(found.error());
        }
        settings.gateway.seeds.push_back(found->address);
    }
    return {};
}

tl::expected<void, std::string> storeHallRegions(const std::string &value, BoxSettings &settings)
{
    for (const std::string &entry : config::splitNames(value)) {
        const std::size_t at = entry.find('@');
        if (at == std::string::npos || at == 0 || at + 1 == entry.size()) {
            return wrong(entry, "entries HALL@REGION");
        }
        settings.gateway.hallRegions[entry.substr(0, at)] = entry.substr(at + 1);
    }
    return {};
}

} // namespace

std::vector<SettingRow> gatewayRows()
{
    using G = GatewaySettings;
    return {
            {{"gateway", "revoke-within", "1s to 600s", "5s",
              "how long after a key was taken away it may still run a request at a box that "
              "reaches the store"},
             duration(field(&G::revokeWithin), 1s, 600s)},
            {{"gateway", "refuse-unconfirmed-keys", "true or false", "true",
              "whether requests with keys are refused once the configuration wasn't confirmed "
              "within revoke-within; else they go on by the last configuration known"},
             flag(field(&G::refuseUnconfirmedKeys))},
            {{"gateway", "drain-within", "100ms to 600s", "2s",
              "how long after a backend server began to leave it may get new work"},
             duration(field(&G::drainWithin), 100ms, 600s)},
            {{"gateway", "apply-within", "100ms to 600s", "2s",
              "how long after the store took a new configuration it must be in force; changes are "
              "gathered for a quarter of it"},
             duration(field(&G::applyWithin), 100ms, 600s)},
            {{"gateway", "stop-within", "1s to 3600s", "8s", "when a planned stop is cut short"},
             duration(field(&G::stopWithin), 1s, 3600s)},
            {{"gateway", "contact", "100ms to 600s", "3s",
              "how long the store must have answered before its list is taken at its word"},
             duration(field(&G::contact), 100ms, 600s)},
            {{"gateway", "list-beat", "100ms to 600s", "1200ms",
              "time between two signs of life of a listed backend server"},
             duration(field(&G::listBeat), 100ms, 600s)},
            {{"gateway", "retry-ratio", "decimal from 0 to 10", "0.2",
              "repeats for each request to a service, over the whole fleet"},
             decimal(field(&G::retryRatio), 0, 10)},
            {{"gateway", "retry-window", "1s to 600s", "10s", "over which repeats are counted"},
             duration(field(&G::retryWindow), 1s, 600s)},
            {{"gateway", "retry-slack", "decimal from 0 to 1000000", "20",
              "repeats beyond the ratio in a window, over the whole fleet"},
             decimal(field(&G::retrySlack), 0, 1000000)},
            {{"gateway", "load-multiple", "decimal from 1 to 100", "2",
              "most load of an engine, as a multiple of the mean"},
             decimal(field(&G::loadMultiple), 1, 100)},
            {{"gateway", "part-remembered", "100ms to 3600s", "10s",
              "how long after its last use a prompt part is thought to lie at an engine"},
             duration(field(&G::partRemembered), 100ms, 3600s)},
            {{"gateway", "metrics-port", "integer from 0 to 65535", "0",
              "port of the metrics at the control address's number; 0: none"},
             count(field(&G::metricsPort), 0, 65535)},
            {{"gateway", "descriptors", "integer from 64 to 1000000", "4096",
              "file descriptors that the process may use"},
             count(field(&G::descriptors), 64, 1000000)},
            {{"gateway", "memory-mb", "integer from 64 to 1000000", "256",
              "megabytes of memory that the process may use; a sixth of it may hold requests, and "
              "beyond that the oldest of those that are still being read is refused; another sixth "
              "holds answers, and beyond that the largest is given up"},
             count(field(&G::memoryMb), 64, 1000000)},
            {{"gateway", "store-writes", "decimal from 0 to 1000000", "0",
              "writes a second that the store takes from all boxes together; 0: not known, and who "
              "began streams isn't written there"},
             decimal(field(&G::storeWrites), 0, 1000000)},
            {{"gateway", "link-mbps", "decimal from 1 to 1000000", "1000",
              "megabits a second of the box's own link; boxes with fast ones ask the store for "
              "those of their hall"},
             decimal(field(&G::linkMbps), 1, 1000000)},
            {{"gateway", "hall-drain-within", "0ms to 600s", "0ms",
              "how long after the operator asked for a hall to be drained its backend servers may "
              "get new work; 0ms: halls aren't drained, and nobody asks"},
             duration(field(&G::hallDrainWithin), 0ms, 600s)},
            {{"gateway", "cold-excess", "decimal from 0 to 100", "1",
              "most requests a second to a backend server that has just started, from all boxes "
              "together, as a multiple of what its service says that it bears"},
             decimal(field(&G::coldExcess), 0, 100)},
            {{"gateway", "cold-slack", "decimal from 0 to 1000000", "0",
              "requests a second beyond cold-excess"},
             decimal(field(&G::coldSlack), 0, 1000000)},
            {{"gateway", "longest-rest", "1s to 86400s", "600s",
              "what is kept of a longer rest that a backend server asks this box for"},
             duration(field(&G::longestRest), 1s, 86400s)},
            {{"gateway", "admission", "true or false", "false",
              "whether the boxes that own backend servers limit how many requests each gets at "
              "once, queue those that can still be served in time and refuse the others at once "
              "with a time to come back; set it for all boxes or none"},
             flag(field(&G::admission))},
            {{"gateway", "detours", "true or false", "true",
              "whether requests go through another box while this one reaches none of their "
              "backend servers, and whether this box serves such requests of others"},
             flag(field(&G::detours))},
            {{"gateway", "hall-regions", "HALL@REGION ...", "",
              "the region of each hall, for requests that may run only in some"},
             storeHallRegions},
            {{"gateway", "seeds", "IP:PORT ...", "",
              "boxes that may know others; their numbers are used with the own peer port"},
             storeSeeds},
    };
}

} // namespace limereel::kernel
