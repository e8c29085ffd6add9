/** \file
 * Idle connections to backend servers, by their incarnation, so that none is used for another
 * server that has taken over the address.
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

/** An idle connection with what is known of how long it stays open. */
struct PooledConnection
{
    http::KeptConnection::Ptr connection;
    kernel::Instant idleSince;   ///< Its last answer arrived, read or not.
    kernel::Instant usableUntil; ///< It isn't used from then on.
    bool keepAliveKnown = false; ///< The server said how long it keeps it.
};

/** The pool. */
class ConnectionPool
{
public:
    explicit ConnectionPool(services::Context &context)
        : context_(context)
    {
    }

    /**
     * An idle connection to \a server, if there is one.
     * \param surelyOpen only one of which the server can't be about to close it.
     */
    std::optional<PooledConnection> take(const forward::ListedServer &server, bool surelyOpen);

    /** Gives back what was taken and not used. It is no fresher than it was. */
    void returnUnused(const forward::ListedServer &server, PooledConnection unused);

    /**
     * Keeps \a connection if it may be used again.
     * \param keptFor what the server said of idling.
     * \param rested since its answer arrived; nothing if that isn't known.
     */
    void returnUsed(const forward::ListedServer &server, http::KeptConnection::Ptr connection,
                    std::optional<kernel::Duration> keptFor,
                    std::optional<kernel::Duration> rested);

    /**
     * Closes the connections to \a id that have rested since before \a before, when something was
     * sent on one of their kind and nothing came back. What silences one without a reset, such as a
     * lost entry of a middlebox, silences those that rested beside it; each offered in turn would
     * cost a request its wait for the silence.
     */
    void closeIdleBefore(const std::string &id, kernel::Instant before);

    /** Closes all connections to \a id. */
    void drop(const std::string &id);

    /** Closes those that have idled for too long. */
    void sweep();

private:
    services::Context &context_;
    std::map<std::string, std::vector<PooledConnection>> idle_;
};

} // namespace limereel::gateway
