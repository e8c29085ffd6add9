#include "forward/StreamKeepers.h"

#include "membership/Rendezvous.h"

#include <algorithm>

namespace limereel::forward {

std::vector<StreamKeeper> keepersOf(const Digest &request, const std::vector<StreamKeeper> &boxes,
                                    std::size_t count)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(boxes.size());
    for (const StreamKeeper &keeper : boxes) {
        hashes.push_back(keeper.box);
    }
    std::vector<StreamKeeper> order;
    for (const std::size_t position :
         membership::rendezvousOrder(request.low, hashes, hashes.size())) {
        order.push_back(boxes[position]);
    }
    const auto elsewhere = std::ranges::find_if(order, [&order](const StreamKeeper &keeper) {
        return keeper.hall != order.front().hall;
    });
    if (elsewhere != order.end()) {
        std::rotate(order.begin() + 1, elsewhere, elsewhere + 1);
    }
    order.resize(std::min(count, order.size()));
    return order;
}

} // namespace limereel::forward
