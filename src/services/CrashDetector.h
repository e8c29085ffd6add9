/** \file
 * Finds out whether the backend server at which an attempt was lost has crashed: probes its port at
 * once and again for some time, as the port of a crashing server may stay open longer than its
 * connections, and learns from the platform's list.
 */
#pragma once

#include "forward/CrashFeatures.h"
#include "kernel/BoxSettings.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limereel::services {

/** A feature of a request whose attempt was lost. */
struct LostFeature
{
    forward::RequestIdentity identity;
    std::uint64_t aloneGrant =
            0;             ///< The grant that it was sent with; 0: none, or handed back already.
    bool ranAlone = false; ///< It was sent with a grant to run alone.
};

/** An attempt whose connection ended before its answer was complete. */
struct LostAttempt
{
    std::vector<LostFeature> features; ///< The whole request first.
    std::string serverId;
    std::uint64_t server = 0; ///< Hash of the server and its incarnation.
    kernel::Endpoint address;
};

/** The attempts that were lost at servers that may have crashed. */
class CrashDetector
{
public:
    /** The functions that the detector calls. */
    struct Hooks
    {
        /** The server of \a lost has crashed, as was found out later. */
        std::function<void(LostAttempt lost)> onCrash;
        /** Probing has ended without a result: grants of \a lost aren't kept any longer. */
        std::function<void(LostAttempt &lost)> handBack;
    };

    CrashDetector(Context &context, Hooks hooks);

    /** Probes the server of \a lost. \return whether it has crashed. If not, the attempt is kept
     * and its server probed again. */
    boost::asio::awaitable<bool> findCrash(const LostAttempt &lost);

    /** Keeps an attempt whose server isn't probed, as only the list may still tell. */
    void keep(LostAttempt lost);

    /** Whether a server is known to have crashed, or refuses a new connection now.
     * \param server hash of the server and its incarnation. */
    boost::asio::awaitable<bool> hasCrashed(std::uint64_t server, kernel::Endpoint address);

    /** The same for a server that has just closed a connection, whose port may follow within
     * moments; waits for these. */
    boost::asio::awaitable<bool> isAboutToCrash(std::uint64_t server, kernel::Endpoint address);

    /** Notes that the platform no longer lists a server. */
    void onServerDelisted(const std::string &id);

    /** Sets a function that tells whether this box has lost its way to the service of a server:
     * then a refused connection doesn't show that the server has crashed. */
    using WayLost = std::function<bool(std::uint64_t server)>;
    void setWayLost(WayLost wayLost) { wayLost_ = std::move(wayLost); }

    /** Drops what is too old to be resolved. */
    void expire(kernel::Instant now);

private:
    /** An attempt whose server may still turn out to have crashed. */
    struct UnresolvedAttempt
    {
        LostAttempt lost;
        kernel::Instant since;
    };

    /** What a probe of a server's port shows. */
    enum class ProbeResult : std::uint8_t { Crashed, Listening, NoResponse };

    boost::asio::awaitable<ProbeResult> probe(std::uint64_t server, kernel::Endpoint address);
    boost::asio::awaitable<void> probeAgain(std::uint64_t server, kernel::Endpoint address);
    bool isUnresolved(std::uint64_t server) const;
    void resolve(const std::function<bool(const LostAttempt &lost)> &hasCrashed);

    Context &context_;
    Hooks hooks_;
    std::vector<UnresolvedAttempt> unresolved_;
    std::set<std::uint64_t> probedServers_; ///< Server incarnations that are being probed again.
    std::map<std::uint64_t, kernel::Instant>
            crashedServers_; ///< When a crash was seen, by server incarnation.
    WayLost wayLost_ = [](std::uint64_t) { return false; };
};

} // namespace limereel::services
