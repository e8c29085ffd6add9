#include "config/Effective.h"

#include "config/Schema.h"
#include "config/Values.h"
#include "kernel/decisions/Name.h"

namespace limereel::config {

namespace {

// The tree was validated before it was installed, so values parse.
std::uint32_t integerAt(const Tree &tree, const std::string &path, const std::string &key)
{
    return static_cast<std::uint32_t>(toInteger(effective(tree, path, key).value).value_or(0));
}

bool flagAt(const Tree &tree, const std::string &path, const std::string &key)
{
    return effective(tree, path, key).value == "true";
}

std::set<std::string> namesAt(const Tree &tree, const std::string &path, const std::string &key)
{
    const auto names = splitNames(effective(tree, path, key).value);
    return {names.begin(), names.end()};
}

OrganisationSettings organisationAt(const Tree &tree, const std::string &path)
{
    return {.path = path,
            .pools = namesAt(tree, path, "allow-pools"),
            .services = namesAt(tree, path, "allow-services"),
            .maxInFlight = integerAt(tree, path, "max-in-flight"),
            .requestsPerMinute = integerAt(tree, path, "requests-per-minute"),
            .priority = static_cast<int>(integerAt(tree, path, "priority"))};
}

PoolSettings poolAt(const Tree &tree, const std::string &path, const std::string &name)
{
    return {.name = name,
            .models = splitNames(effective(tree, path, "models").value),
            .loadFactor = toDecimal(effective(tree, path, "load-factor").value).value_or(1),
            .idleLoad = integerAt(tree, path, "idle-load"),
            .candidates = integerAt(tree, path, "candidates"),
            .slots = integerAt(tree, path, "slots"),
            .minCopies = integerAt(tree, path, "min-copies"),
            .spill = flagAt(tree, path, "spill")};
}

ServiceSettings serviceAt(const Tree &tree, const std::string &path, const std::string &name)
{
    return {.name = name,
            .repeatable = flagAt(tree, path, "repeatable"),
            .demandKey = flagAt(tree, path, "demand-key")};
}

template <typename Map>
const typename Map::mapped_type *lookUp(const Map &map, const auto &key)
{
    const auto place = map.find(key);
    return place == map.end() ? nullptr : &place->second;
}

bool contains(const std::set<std::string> &names, const std::string &name)
{
    return names.contains("*") || names.contains(name);
}

} // namespace

bool OrganisationSettings::mayUsePool(const std::string &pool) const
{
    return contains(pools, pool);
}

bool OrganisationSettings::mayUseService(const std::string &service) const
{
    return contains(services, service);
}

EffectiveSettings::EffectiveSettings(const Tree &tree)
{
    for (const auto &[path, node] : tree.nodes) {
        const std::string name = path.substr(path.find(':') + 1);
        switch (kindOf(path).value_or(NodeKind::Organisation)) {
        case NodeKind::Organisation:
            organisations_.emplace(path, organisationAt(tree, path));
            organisationByPathHash_.emplace(kernel::hashOf(path), path);
            for (const std::string &hash :
                 splitNames(effective(tree, path, "api-key-hashes").value)) {
                organisationByHash_.emplace(hash, path);
            }
            break;
        case NodeKind::Pool:
            for (const std::string &model :
                 pools_.emplace(name, poolAt(tree, path, name)).first->second.models) {
                poolByModel_.emplace(model, name);
                poolByModelHash_.emplace(static_cast<std::uint32_t>(kernel::hashOf(model)), name);
            }
            break;
        case NodeKind::Service:
            services_.emplace(name, serviceAt(tree, path, name));
            break;
        }
    }
}

const OrganisationSettings *EffectiveSettings::organisationByKeyHash(std::string_view hash) const
{
    const std::string *const path = lookUp(organisationByHash_, hash);
    return path == nullptr ? nullptr : organisation(*path);
}

const OrganisationSettings *EffectiveSettings::organisation(std::string_view path) const
{
    return lookUp(organisations_, path);
}

const PoolSettings *EffectiveSettings::poolOfModel(std::string_view model) const
{
    const std::string *const name = lookUp(poolByModel_, model);
    return name == nullptr ? nullptr : lookUp(pools_, *name);
}

const OrganisationSettings *EffectiveSettings::organisationByHash(std::uint64_t hash) const
{
    const std::string *const path = lookUp(organisationByPathHash_, hash);
    return path == nullptr ? nullptr : organisation(*path);
}

const PoolSettings *EffectiveSettings::poolOfModelHash(std::uint32_t model) const
{
    const std::string *const name = lookUp(poolByModelHash_, model);
    return name == nullptr ? nullptr : lookUp(pools_, *name);
}

const ServiceSettings *EffectiveSettings::service(std::string_view name) const
{
    return lookUp(services_, name);
}

} // namespace limereel::config
