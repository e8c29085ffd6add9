/** \file
 * Which backend servers were lately sent which prompt parts, as far as this box knows.
 *
 * A part is of use only together with all before it, so the index is kept by prefixes: the first
 * part, the first two, and so on. The last part of a prompt belongs to its request or session and
 * counts only where there is no other.
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

/** The index of one box. Pure: time is handed in. */
class PartIndex
{
public:
    /** \param remembered how long after its last use a part is thought kept. */
    explicit PartIndex(kernel::Duration remembered)
        : remembered_(remembered)
    {
    }

    /** \a server was sent \a prompt. */
    void note(const Prompt &prompt, const std::string &server, kernel::Instant now);

    /** How many shared prefixes of \a prompt lie at \a server; 0: none. */
    std::size_t depth(const Prompt &prompt, const std::string &server, kernel::Instant now) const;

    /** The servers that hold the most shared prefixes of \a prompt, more than \a beyond of them;
     * the one that was used last comes first. */
    std::vector<std::string> holders(const Prompt &prompt, std::size_t beyond,
                                     kernel::Instant now) const;

    /** Forgets a server that is gone, in a time that grows with what lies there alone. */
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
    /** The prefixes by server; some may lie there no more. */
    std::unordered_map<std::string, std::vector<std::uint64_t>> keysOf_;
    kernel::Instant swept_;
};

} // namespace limereel::forward
