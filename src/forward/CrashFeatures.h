/** \file
 * By what a request that crashes backend servers is recognised when it, or another one that crashes
 * them for the same reason, comes again: the whole request, and each part of its prompt, both for
 * itself and together with the organisation. The last part of a prompt belongs to the request alone
 * and isn't one of them.
 *
 * A part is known for itself, not with the parts before it, since it may stand anywhere in a
 * prompt. Together with the organisation it tells an organisation whose requests crash servers from
 * others that use the same part.
 */
#pragma once

#include "forward/Call.h"
#include "forward/RequestIdentity.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::forward {

/** One feature of a request. */
struct CrashFeature
{
    RequestIdentity identity;
    std::size_t place = 0; ///< Of the part in its prompt, from 1 on; 0: the whole request.

    auto operator<=>(const CrashFeature &) const = default;
};

/** The identity of the part \a id of prompts. \param organisation whose requests are meant; empty:
 * those of all. */
RequestIdentity partIdentityOf(std::string_view organisation, std::string_view id);

/** The identity of the lease that all requests with failed trials share, so that only one of them
 * runs at a time. */
const RequestIdentity &anyFailedTrial();

/** The features of one request. Identities are computed only when they are asked for. */
class RequestFeatures
{
public:
    RequestFeatures() = default;

    /** The texts that \a parts refers to, except the organisation, and \a prompt have to outlive
     * this. \param prompt nullptr: there is none. */
    RequestFeatures(IdentityParts parts, const Prompt *prompt);

    /** The identity of the whole request. */
    const RequestIdentity &whole();

    /** All features whose shape is \a wanted; the whole request comes first. */
    std::vector<CrashFeature> where(const std::function<bool(std::uint64_t shape)> &wanted);

    std::vector<CrashFeature> all();

private:
    std::string organisation_;
    IdentityParts parts_; ///< But for the organisation.
    const Prompt *prompt_ = nullptr;
    std::optional<std::uint64_t> shape_;      ///< Computed when first needed.
    std::optional<RequestIdentity> identity_; ///< Computed when first needed.
};

} // namespace limereel::forward
