/** \file
 * Records which backend servers were recently sent which prompt parts, as far as this box knows.
 *
 * A part can be reused only together with all parts before it, so the index is keyed by prefixes:
 * the first part, the first two, and so on. The last part of a prompt belongs to its request or
 * session and counts only if it is the only part.
 */
#pragma once

#include "forward/Call.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace limereel::forward {

/** The keys of the prefixes of \a prompt that other requests share, shortest first. */
std::vector<std::uint64_t> sharedPrefixes(const Prompt &prompt);

/** The key of the longest shared prefix of \a prompt. */
std::uint64_t sharedPartsKey(const Prompt &prompt);

/** The index of one box. Deterministic: callers pass in the current time. */
class PartIndex
{
public:
    /** \param remembered how long a part is assumed to be kept after its last use. */
    explicit PartIndex(kernel::Duration remembered)
        : remembered_(remembered)
    {
    }

    /** Records that \a server was sent \a prompt. */
    void note(const Prompt &prompt, const std::string &server, kernel::Instant now);

    /** How many shared prefixes of \a prompt \a server holds; 0: none. */
    std::size_t depth(const Prompt &prompt, const std::string &server, kernel::Instant now) const;

    /** The servers that hold the most shared prefixes of \a prompt, if more than \a beyond; the
     * most recently used one comes first. */
    std::vector<std::string> holders(const Prompt &prompt, std::size_t beyond,
                                     kernel::Instant now) const;

    /** Drops a removed server, in time proportional to the number of its prefixes. */
    void forget(const std::string &server);

    std::size_t size() const { return prefixes_.size(); }

private:
    struct Use
    {
        std::string server;
        kernel::Instant last;
    };

    void sweep(kernel::Instant now);

    kernel::Duration remembered_;
    std::unordered_map<std::uint64_t, std::vector<Use>> prefixes_;
    /** The prefixes by server; may include some that the server no longer holds. */
    std::unordered_map<std::string, std::vector<std::uint64_t>> keysOf_;
    kernel::Instant swept_;
};

} // namespace limereel::forward
