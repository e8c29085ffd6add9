#include "membership/Ownership.h"

namespace limereel::membership {

std::vector<std::uint64_t> rankedOwners(std::uint64_t resource,
                                        const std::vector<std::uint64_t> &owners, std::size_t count)
{
    std::vector<std::uint64_t> ranked;
    for (const std::size_t position : rendezvousOrder(resource, owners, count)) {
        ranked.push_back(owners[position]);
    }
    return ranked;
}

} // namespace limereel::membership
