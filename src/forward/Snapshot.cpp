#include "forward/Snapshot.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <numeric>

namespace limereel::forward {

namespace {

std::string hostName(std::string_view host)
{
    const bool bracketed = !host.empty() && host.front() == '[';
    const std::size_t colon = bracketed ? host.find("]:") : host.rfind(':');
    if (colon != std::string_view::npos) {
        host = host.substr(0, bracketed ? colon + 1 : colon);
    }
    std::string name(host);
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return name;
}

} // namespace

Snapshot::Snapshot(SnapshotContent content)
    : content_(std::move(content))
{
    for (const Route &route : content_.routes) {
        hosts_[route.host].insert_or_assign(route.prefix, &route);
    }
    for (const Service &service : content_.services) {
        services_.insert_or_assign(service.name, &service);
    }
    for (const Organisation &organisation : content_.organisations) {
        for (const std::string &key : organisation.keys) {
            organisations_.insert_or_assign(key, &organisation);
        }
    }
}

const Route *Snapshot::route(std::string_view host, std::string_view path) const
{
    const auto it = hosts_.find(hostName(host));
    if (it == hosts_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = it->second.find(std::string(path.substr(0, slash + 1)));
        if (found != it->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const Service *Snapshot::service(const std::string &name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : it->second;
}

const Organisation *Snapshot::organisation(const std::string &key) const
{
    // A request without a key has none that a list could contain.
    const auto it = key.empty() ? organisations_.end() : organisations_.find(key);
    return it == organisations_.end() ? nullptr : it->second;
}

std::optional<std::vector<std::string>> homeRegions(const std::vector<std::string> &ofRoute,
                                                    const std::vector<std::string> &ofOrganisation)
{
    if (ofRoute.empty() || ofOrganisation.empty()) {
        return ofRoute.empty() ? ofOrganisation : ofRoute;
    }
    std::vector<std::string> both;
    std::ranges::copy_if(ofRoute, std::back_inserter(both), [&](const std::string &region) {
        return std::ranges::find(ofOrganisation, region) != ofOrganisation.end();
    });
    return both.empty() ? std::nullopt : std::optional(std::move(both));
}

const std::string &chooseService(const Route &route, std::uint64_t seed)
{
    static const std::string None;
    if (route.services.empty()) {
        return None;
    }
    const std::uint64_t total =
            std::accumulate(route.services.begin(), route.services.end(), std::uint64_t{0},
                            [](std::uint64_t sum, const auto &part) { return sum + part.weight; });
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t point = seed % total;
    for (const WeightedService &part : route.services) {
        if (point < part.weight) {
            return part.service;
        }
        point -= part.weight;
    }
    return route.services.back().service;
}

} // namespace limereel::forward
