#include "forward/RequestIdentity.h"

#include "forward/PartsDigest.h"
#include "kernel/decisions/HexWord.h"
#include "kernel/decisions/Name.h"

namespace limereel::forward {

std::uint64_t shapeOf(const IdentityParts &parts)
{
    std::uint64_t shape = kernel::hashOf(parts.organisation);
    shape = kernel::combine(shape, kernel::hashOf(parts.method));
    shape = kernel::combine(shape, kernel::hashOf(parts.host));
    shape = kernel::combine(shape, kernel::hashOf(parts.target));
    return kernel::combine(shape, parts.body.size());
}

RequestIdentity identityOf(const IdentityParts &parts)
{
    const Digest digest =
            digestOf({parts.organisation, parts.method, parts.host, parts.target, parts.body});
    return {shapeOf(parts), digest.high, digest.low};
}

std::string text(const RequestIdentity &identity)
{
    return kernel::hexWord(identity.shape) + kernel::hexWord(identity.high)
           + kernel::hexWord(identity.low);
}

std::optional<RequestIdentity> identityFrom(std::string_view text)
{
    if (text.size() != 3 * kernel::HexWordDigits) {
        return std::nullopt;
    }
    const auto shape = kernel::wordFromHex(text.substr(0, kernel::HexWordDigits));
    const auto high =
            kernel::wordFromHex(text.substr(kernel::HexWordDigits, kernel::HexWordDigits));
    const auto low = kernel::wordFromHex(text.substr(2 * kernel::HexWordDigits));
    if (!shape || !high || !low) {
        return std::nullopt;
    }
    return RequestIdentity{*shape, *high, *low};
}

} // namespace limereel::forward
