#include "forward/StreamOrigin.h"

#include "kernel/decisions/HexWord.h"
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

std::string text(const StreamOrigin &origin)
{
    return kernel::hexWord(origin.service) + kernel::hexWord(origin.server)
           + kernel::hexWord(origin.version.hash());
}

std::optional<StreamOrigin> streamOriginFrom(std::string_view text)
{
    constexpr std::size_t Digits = kernel::HexWordDigits;
    if (text.size() != 3 * Digits) {
        return std::nullopt;
    }
    const auto service = kernel::wordFromHex(text.substr(0, Digits));
    const auto server = kernel::wordFromHex(text.substr(Digits, Digits));
    const auto version = kernel::wordFromHex(text.substr(2 * Digits));
    if (!service || !server || !version) {
        return std::nullopt;
    }
    return StreamOrigin{*service, *server, SoftwareVersion::withHash(*version)};
}

} // namespace limereel::forward
