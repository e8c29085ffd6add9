#include "forward/SoftwareVersion.h"

#include "kernel/decisions/Name.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr std::size_t KeptCharacters = 24;

bool isPrintable(char character)
{
    return character >= ' ' && character <= '~';
}

} // namespace

SoftwareVersion SoftwareVersion::of(std::string_view text)
{
    SoftwareVersion version;
    if (text.empty()) {
        return version;
    }
    // 0 stands for an unknown version.
    version.hash_ = std::max<std::uint64_t>(1, kernel::hashOf(text));
    version.beginning_ = text.substr(0, KeptCharacters);
    std::ranges::replace_if(
            version.beginning_, [](char character) { return !isPrintable(character); }, '?');
    return version;
}

SoftwareVersion SoftwareVersion::withHash(std::uint64_t hash)
{
    SoftwareVersion version;
    version.hash_ = hash;
    return version;
}

std::string SoftwareVersion::text() const
{
    if (!known()) {
        return "unknown";
    }
    return beginning_.empty() ? "#" + std::to_string(hash_) : beginning_;
}

} // namespace limereel::forward
