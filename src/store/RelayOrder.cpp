#include "store/RelayOrder.h"

#include "membership/Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace limereel::store {

std::vector<std::uint64_t> relayOrder(std::uint64_t hall, const std::vector<RelayCandidate> &live,
                                      std::size_t count)
{
    std::map<std::uint32_t, std::vector<std::uint64_t>, std::greater<>> byLink;
    for (const RelayCandidate &candidate : live) {
        byLink[candidate.linkMbps].push_back(candidate.box);
    }
    std::vector<std::uint64_t> order;
    for (auto &[link, boxes] : byLink) {
        std::ranges::sort(boxes);
        const std::size_t wanted = std::min(count - order.size(), boxes.size());
        for (const std::size_t position : membership::rendezvousOrder(hall, boxes, wanted)) {
            order.push_back(boxes[position]);
        }
        if (order.size() == count) {
            break;
        }
    }
    return order;
}

std::size_t largestRelayed(double linkMbps, std::size_t boxes, double longestSeconds)
{
    constexpr double BytesPerMegabit = 125000;
    const double bytes = linkMbps * BytesPerMegabit * longestSeconds;
    return static_cast<std::size_t>(bytes / static_cast<double>(std::max<std::size_t>(boxes, 1)));
}

} // namespace limereel::store
