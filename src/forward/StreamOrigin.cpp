#include "forward/StreamOrigin.h"

#include "kernel/decisions/Name.h"

namespace limereel::forward {

StreamOrigin StreamOrigin::of(const ListedServer &server)
{
    return {kernel::hashOf(server.service), server.hash(), server.version};
}

bool StreamOrigin::mayContinueAt(const ListedServer &candidate) const
{
    const bool sameVersion =
            version.sameAs(candidate.version) && service == kernel::hashOf(candidate.service);
    return sameVersion || (server != 0 && server == candidate.hash());
}

bool StreamOrigin::agreesWith(const StreamOrigin &other) const
{
    const bool sameServer = server != 0 && server == other.server;
    return sameServer || (service == other.service && version.sameAs(other.version));
}

} // namespace limereel::forward
