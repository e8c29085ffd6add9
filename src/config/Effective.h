/** \file
 * The settings in force for one organisation, pool or service, as typed values, worked out once for
 * each installed tree.
 */
#pragma once

#include "config/Tree.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::config {

/** What an organisation may use. */
struct OrganisationSettings
{
    std::string path;
    std::set<std::string> pools;    ///< "*" stands for all.
    std::set<std::string> services; ///< "*" stands for all.
    std::uint32_t maxInFlight = 0;
    std::uint32_t requestsPerMinute = 0;
    int priority = 0;

    bool mayUsePool(const std::string &pool) const;
    bool mayUseService(const std::string &service) const;

    bool operator==(const OrganisationSettings &) const = default;
};

/** How a pool is run. */
struct PoolSettings
{
    std::string name;
    std::vector<std::string> models;
    double loadFactor = 0;
    std::uint32_t idleLoad = 1;
    std::size_t candidates = 0;
    std::uint32_t slots = 0;
    std::uint32_t minCopies = 0;
    bool spill = false;

    bool operator==(const PoolSettings &) const = default;
};

/** How a service is called. */
struct ServiceSettings
{
    std::string name;
    bool repeatable = false;
    bool demandKey = false;

    bool operator==(const ServiceSettings &) const = default;
};

/** All settings in force, by the keys that requests look them up by. */
class EffectiveSettings
{
public:
    explicit EffectiveSettings(const Tree &tree);

    /** The organisation that has an API key with \a hash (64 hexadecimal digits). */
    const OrganisationSettings *organisationByKeyHash(std::string_view hash) const;
    const OrganisationSettings *organisation(std::string_view path) const;
    const PoolSettings *poolOfModel(std::string_view model) const;

    /** The organisation whose path has \a hash. */
    const OrganisationSettings *organisationByHash(std::uint64_t hash) const;

    /** The pool of the model whose name's hash, cut to 32 bits, is \a model. */
    const PoolSettings *poolOfModelHash(std::uint32_t model) const;
    const ServiceSettings *service(std::string_view name) const;
    const std::map<std::string, PoolSettings, std::less<>> &pools() const { return pools_; }

private:
    std::map<std::string, OrganisationSettings, std::less<>> organisations_;
    std::map<std::string, PoolSettings, std::less<>> pools_;
    std::map<std::string, ServiceSettings, std::less<>> services_;
    std::map<std::string, std::string, std::less<>> organisationByHash_;
    std::map<std::string, std::string, std::less<>> poolByModel_;
    std::map<std::uint64_t, std::string> organisationByPathHash_;
    std::map<std::uint32_t, std::string> poolByModelHash_;
};

} // namespace limereel::config
