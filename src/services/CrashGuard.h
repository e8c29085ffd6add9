/** \file
 * Tracks one request that may crash backend servers: asks whether it may be sent, and reports how
 * each attempt ended. All request handlers of a box use it; CrashService does the rest.
 */
#pragma once

#include "outcome/Attempt.h"
#include "services/CrashService.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <vector>

namespace limereel::services {

/** How an attempt ended, as far as that shows whether its server crashed. */
enum class AttemptOutcome : std::uint8_t {
    Nothing,    ///< Nothing was sent, or the server rejected it.
    Whole,      ///< A whole answer came.
    Failed,     ///< A whole answer came; it says that the request failed.
    Lost,       ///< The connection ended before the answer was complete.
    Interrupted ///< This box ended it because of its caller or its deadline.
};

/** The server of an attempt. */
struct AttemptServer
{
    std::string id;
    std::uint64_t incarnationKey = 0; ///< Hash of the server and its incarnation.
    kernel::Endpoint address;
};

/** How an attempt ended that failed at \a point. */
AttemptOutcome attemptOutcomeOf(outcome::FailurePoint point);

/** The crash tracking of one request. Its destructor hands back a grant that it still holds. */
class CrashGuard
{
public:
    explicit CrashGuard(Context &context);
    ~CrashGuard();
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    /** Sets what identifies the request. The texts that \a parts refers to, except the
     * organisation, and \a prompt have to outlive the guard. \param prompt nullptr: none. */
    void setParts(forward::IdentityParts parts, const forward::Prompt *prompt = nullptr);
    const forward::RequestIdentity &identity() { return features_.whole(); }

    /** Asks for permission before an attempt. \param longest how long a send alone may take. */
    boost::asio::awaitable<SendPermission> acquireSendPermission(kernel::Duration longest);

    /** Whether the attempt has a grant to run alone. */
    bool isAlone() const { return !grants_.empty(); }

    /** Whether the permission still holds: more crashes may have become known since it was given.
     */
    bool mayBeSent();

    /** Notes that a part of the attempt's answer has arrived. */
    void notePiece();

    /** Notes that the attempt has ended. */
    boost::asio::awaitable<void> noteEnd(AttemptOutcome result, AttemptServer server);

private:
    std::uint64_t takeGrant(const forward::RequestIdentity &feature);
    void noteHealthy(AttemptOutcome result);
    void handBack();
    LostAttempt lostAt(AttemptServer server);

    Context &context_;
    CrashService &crashes_;
    forward::RequestFeatures features_;
    std::vector<AloneGrant> grants_;            ///< To send it alone; empty: there are none.
    std::optional<kernel::Instant> firstPiece_; ///< Arrival of this attempt's first part.
    bool pastStart_ =
            false; ///< The attempt has run on past the time in which it would crash a server.
};

} // namespace limereel::services
