/** \file
 * One request, as far as it may end backend servers: whether it may be sent, and what each attempt
 * says of it. Every way of a request through a box uses it; CrashService does the rest.
 */
#pragma once

#include "outcome/Attempt.h"
#include "services/CrashService.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace limereel::services {

/** How an attempt ended, as far as it says something of its server. */
enum class AttemptOutcome : std::uint8_t {
    Nothing,    ///< Nothing was sent, or the server rejected it.
    Whole,      ///< A whole answer came, a failure of the server's own included.
    Lost,       ///< The connection ended before the answer did.
    Interrupted ///< This box ended it, for its caller or its deadline.
};

/** The server of an attempt. */
struct AttemptServer
{
    std::string id;
    std::uint64_t incarnationKey = 0; ///< Hash of this life of the server.
    kernel::Endpoint address;
};

/** What an attempt that failed at \a point says. */
AttemptOutcome attemptOutcomeOf(outcome::Point point);

/** The guard of one request. Hands back on its end what it still holds. */
class CrashGuard
{
public:
    explicit CrashGuard(Context &context);
    ~CrashGuard();
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    /** Sets what the request is known by; what the views show, but the organisation, has to outlive
     * the guard. */
    void setParts(forward::IdentityParts parts);
    const forward::RequestIdentity &identity();

    /** Asks for leave before an attempt. A send alone takes \a longest at most. */
    boost::asio::awaitable<SendPermission> acquireSendPermission(kernel::Duration longest);

    /** Whether the attempt goes by leave to run alone. */
    bool isAlone() const { return aloneGrant_ != 0; }

    /** Whether the leave that was given still holds: others may have learnt more meanwhile. */
    bool mayBeSent() { return aloneGrant_ != 0 || !needsLeave(); }

    /** A piece of the attempt's answer has come. */
    void notePiece();

    /** The attempt is over. */
    boost::asio::awaitable<void> noteEnd(AttemptOutcome sight, AttemptServer server);

private:
    bool isKnown() const;
    bool needsLeave();
    void noteSound();
    void handBack();

    Context &context_;
    CrashService &crashes_;
    std::string organisation_;
    forward::IdentityParts parts_;
    std::uint64_t shape_ = 0;
    std::optional<forward::RequestIdentity> identity_; ///< Once it was asked for.
    std::uint64_t aloneGrant_ = 0;                     ///< The leave to send it alone; 0: none.
    std::optional<kernel::Instant> firstPiece_;        ///< Of this attempt's answer.
    bool sound_ = false; ///< The attempt has gone on past its beginning.
};

} // namespace limereel::services
