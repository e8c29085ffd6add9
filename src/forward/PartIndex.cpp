#include "forward/PartIndex.h"

#include "kernel/decisions/Name.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr std::size_t MaxUses = 6; ///< Servers remembered for one prefix.
constexpr std::size_t MaxPrefixes = 65536;
constexpr kernel::Duration SweepEvery = 5s;

} // namespace

std::vector<std::uint64_t> sharedPrefixes(const Prompt &prompt)
{
    std::vector<std::uint64_t> keys;
    std::uint64_t key = kernel::hashOf(prompt.model);
    const std::size_t shared = std::max<std::size_t>(prompt.parts.size(), 2) - 1;
    for (std::size_t i = 0; i < std::min(shared, prompt.parts.size()); ++i) {
        key = kernel::combine(key, prompt.parts[i].part);
        keys.push_back(key);
    }
    return keys;
}

std::uint64_t sharedPartsKey(const Prompt &prompt)
{
    const std::vector<std::uint64_t> keys = sharedPrefixes(prompt);
    return keys.empty() ? kernel::hashOf(prompt.model) : keys.back();
}

void PartIndex::note(const Prompt &prompt, const std::string &server, kernel::Instant now)
{
    if (now - swept_ >= SweepEvery || prefixes_.size() >= MaxPrefixes) {
        sweep(now);
    }
    for (const std::uint64_t key : sharedPrefixes(prompt)) {
        std::vector<Use> &uses = prefixes_[key];
        if (std::erase_if(uses, [&](const Use &use) { return use.server == server; }) == 0) {
            keysOf_[server].push_back(key);
        }
        uses.insert(uses.begin(), Use{server, now});
        if (uses.size() > MaxUses) {
            uses.pop_back();
        }
    }
}

std::size_t PartIndex::depth(const Prompt &prompt, const std::string &server,
                             kernel::Instant now) const
{
    const std::vector<std::uint64_t> keys = sharedPrefixes(prompt);
    for (std::size_t length = keys.size(); length > 0; --length) {
        const auto it = prefixes_.find(keys[length - 1]);
        if (it == prefixes_.end()) {
            continue;
        }
        const bool holds = std::ranges::any_of(it->second, [&](const Use &use) {
            return use.server == server && now - use.last <= remembered_;
        });
        if (holds) {
            return length;
        }
    }
    return 0;
}

std::vector<std::string> PartIndex::holders(const Prompt &prompt, std::size_t beyond,
                                            kernel::Instant now) const
{
    const std::vector<std::uint64_t> keys = sharedPrefixes(prompt);
    for (std::size_t length = keys.size(); length > beyond; --length) {
        const auto it = prefixes_.find(keys[length - 1]);
        std::vector<std::string> servers;
        if (it != prefixes_.end()) {
            for (const Use &use : it->second) {
                if (now - use.last <= remembered_) {
                    servers.push_back(use.server);
                }
            }
        }
        if (!servers.empty()) {
            return servers;
        }
    }
    return {};
}

void PartIndex::forget(const std::string &server)
{
    const auto keys = keysOf_.find(server);
    if (keys == keysOf_.end()) {
        return;
    }
    for (const std::uint64_t key : keys->second) {
        const auto uses = prefixes_.find(key);
        if (uses != prefixes_.end()) {
            std::erase_if(uses->second, [&](const Use &use) { return use.server == server; });
        }
    }
    keysOf_.erase(keys);
}

void PartIndex::sweep(kernel::Instant now)
{
    swept_ = now;
    keysOf_.clear();
    for (auto &[key, uses] : prefixes_) {
        std::erase_if(uses, [&](const Use &use) { return now - use.last > remembered_; });
        for (const Use &use : uses) {
            keysOf_[use.server].push_back(key);
        }
    }
    std::erase_if(prefixes_, [](const auto &item) { return item.second.empty(); });
    if (prefixes_.size() >= MaxPrefixes) {
        prefixes_.clear();
        keysOf_.clear();
    }
}

} // namespace limereel::forward
