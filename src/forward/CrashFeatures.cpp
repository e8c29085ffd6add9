#include "forward/CrashFeatures.h"

#include "forward/PartsDigest.h"
#include "kernel/decisions/Name.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr std::string_view PartLabel = "prompt part";
// Bounds the work and the records that one request can cause.
constexpr std::size_t MaxParts = 64;

// \param idHash the hash of the part's id.
std::uint64_t partShapeOf(std::string_view organisation, std::uint64_t idHash)
{
    const std::uint64_t labelled = kernel::combine(kernel::hashOf(PartLabel), idHash);
    return kernel::combine(labelled, kernel::hashOf(organisation));
}

std::size_t sharedPartsOf(const Prompt *prompt)
{
    const std::size_t all = prompt != nullptr ? prompt->parts.size() : 0;
    return all == 0 ? 0 : std::min(all - 1, MaxParts);
}

} // namespace

RequestIdentity partIdentityOf(std::string_view organisation, std::string_view id)
{
    const Digest digest = digestOf({PartLabel, organisation, id});
    return {partShapeOf(organisation, kernel::hashOf(id)), digest.high, digest.low};
}

const RequestIdentity &anyFailedTrial()
{
    static const Digest Name = digestOf({"any failed trial"});
    static const RequestIdentity Identity = {Name.low, Name.high, Name.low};
    return Identity;
}

RequestFeatures::RequestFeatures(IdentityParts parts, const Prompt *prompt)
    : organisation_(parts.organisation)
    , parts_(parts)
    , prompt_(prompt)
{
    parts_.organisation = {};
}

const RequestIdentity &RequestFeatures::whole()
{
    if (!identity_) {
        IdentityParts parts = parts_;
        parts.organisation = organisation_;
        identity_ = identityOf(parts);
    }
    return *identity_;
}

std::vector<CrashFeature>
RequestFeatures::where(const std::function<bool(std::uint64_t shape)> &wanted)
{
    if (!shape_) {
        IdentityParts parts = parts_;
        parts.organisation = organisation_;
        shape_ = shapeOf(parts);
    }
    std::vector<CrashFeature> found;
    if (wanted(*shape_)) {
        found.push_back({whole(), 0});
    }
    const auto add = [&](std::string_view organisation, std::size_t index) {
        const PromptPart &part = prompt_->parts[index];
        if (!wanted(partShapeOf(organisation, part.part))) {
            return;
        }
        const RequestIdentity identity = partIdentityOf(organisation, part.id);
        if (std::ranges::find(found, identity, &CrashFeature::identity) == found.end()) {
            found.push_back({identity, index + 1});
        }
    };
    for (std::size_t index = 0; index < sharedPartsOf(prompt_); ++index) {
        add({}, index);
        if (!organisation_.empty()) {
            add(organisation_, index);
        }
    }
    return found;
}

std::vector<CrashFeature> RequestFeatures::all()
{
    return where([](std::uint64_t) { return true; });
}

} // namespace limereel::forward
