#include "membership/Ownership.h"

namespace limereel::membership {

std::vector<std::uint64_t> rankedOwners(std::uint64_t thing,
                                        const std::vector<std::uint64_t> &owners, std::size_t count)
{
    std::vector<std::uint64_t> line;
    for (const std::size_t position : rendezvousOrder(thing, owners, count)) {
        line.push_back(owners[position]);
    }
    return line;
}

} // namespace limereel::membership
