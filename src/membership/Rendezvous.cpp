#include "membership/Rendezvous.h"

#include <algorithm>

namespace limereel::membership {

namespace {

struct Ranked
{
    std::uint64_t weight;
    std::uint64_t member;
    std::size_t position;
};

bool better(const Ranked &left, const Ranked &right)
{
    if (left.weight != right.weight) {
        return left.weight > right.weight;
    }
    return left.member < right.member;
}

} // namespace

std::vector<std::size_t> rendezvousOrder(std::uint64_t key, std::span<const std::uint64_t> members,
                                         std::size_t count)
{
    // Keeps the best few in order by insertion: count is small, members are many.
    std::vector<Ranked> best;
    best.reserve(count + 1);
    for (std::size_t position = 0; position < members.size(); ++position) {
        const Ranked entry{rendezvousWeight(key, members[position]), members[position], position};
        if (best.size() == count && (count == 0 || !better(entry, best.back()))) {
            continue;
        }
        best.insert(std::upper_bound(best.begin(), best.end(), entry, better), entry);
        if (best.size() > count) {
            best.pop_back();
        }
    }
    std::vector<std::size_t> order;
    order.reserve(best.size());
    for (const Ranked &entry : best) {
        order.push_back(entry.position);
    }
    return order;
}

std::optional<std::uint64_t> rendezvousOwner(std::uint64_t key,
                                             std::span<const std::uint64_t> members)
{
    const auto order = rendezvousOrder(key, members, 1);
    if (order.empty()) {
        return std::nullopt;
    }
    return members[order.front()];
}

} // namespace limereel::membership
