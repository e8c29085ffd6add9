/** \file
 * Idle connections to backend servers. They are kept by the server's incarnation, so that none is
 * used for another server that has taken over the address.
 */
#pragma once

#include "forward/Backend.h"
#include "http/KeptConnection.h"
#include "services/Context.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limereel::gateway {

/** An idle connection and how long it is expected to stay open. */
struct PooledConnection
{
    http::KeptConnection::Ptr connection;
    kernel::Instant idleSince;   ///< When its last answer arrived, even if it was read later.
    kernel::Instant usableUntil; ///< It isn't used from this time on.
    bool keepAliveKnown = false; ///< The server announced how long it keeps it open.
};

/** A pool of idle connections. */
class ConnectionPool
{
public:
    explicit ConnectionPool(services::Context &context)
        : context_(context)
    {
    }

    /**
     * Takes an idle connection to \a server, if there is one.
     * \param surelyOpen accepts only a connection that the server can't be about to close.
     */
    std::optional<PooledConnection> take(const forward::ListedServer &server, bool surelyOpen);

    /** Returns a connection that was taken and not used. Its idle time goes on unchanged. */
    void returnUnused(const forward::ListedServer &server, PooledConnection unused);

    /**
     * Returns \a connection after an exchange; keeps it if it can be used again, else closes it.
     * \param keptFor the idle timeout that the server announced.
     * \param idleFor time since its answer arrived; empty if unknown.
     */
    void returnUsed(const forward::ListedServer &server, http::KeptConnection::Ptr connection,
                    std::optional<kernel::Duration> keptFor,
                    std::optional<kernel::Duration> idleFor);

    /**
     * Closes the connections to server \a id that have been idle since before \a before. Called
     * when a request on such a connection got no answer: a fault that silences one connection
     * without a reset, such as an entry dropped by a middlebox, silences all that were idle at that
     * time. Reusing each of them would cost a request its silence timeout.
     */
    void closeIdleBefore(const std::string &id, kernel::Instant before);

    /** Closes all connections to \a id. */
    void drop(const std::string &id);

    /** Closes connections that have been idle for too long or are no longer usable. */
    void sweep();

private:
    services::Context &context_;
    std::map<std::string, std::vector<PooledConnection>> idle_;
};

} // namespace limereel::gateway
