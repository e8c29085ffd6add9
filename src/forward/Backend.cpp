#include "forward/Backend.h"

#include "kernel/decisions/Name.h"

namespace limereel::forward {

std::uint64_t ListedServer::hash() const
{
    const std::uint64_t named = kernel::hashOf(id);
    return startNumber ? kernel::combine(named, *startNumber) : named;
}

} // namespace limereel::forward
