#include "kernel/decisions/Name.h"

#include <array>
#include <xxhash.h>

namespace limereel::kernel {

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t combine(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> both = {first, second};
    return XXH3_64bits(both.data(), sizeof(both));
}

ChatKey chatKey(const OrganisationId &organisation, const ModelId &model, std::string_view chat)
{
    return combine(combine(organisation.hash(), model.hash()), hashOf(chat));
}

} // namespace limereel::kernel
