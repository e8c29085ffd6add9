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

/** The pool. */
class ConnectionPool
{
public:
    explicit ConnectionPool(services::Context &context)
        : context_(context)
    {
    }

    /**
     * An idle connection to \a server, or nullptr.
     * \param surelyOpen only one of which the server can't be about to close it.
     */
    http::KeptConnection::Ptr take(const forward::ListedServer &server, bool surelyOpen);

    /** Keeps \a connection if it may be used again. \param keptFor what the server said of idling.
     */
    void give(const forward::ListedServer &server, http::KeptConnection::Ptr connection,
              std::optional<kernel::Duration> keptFor);

    /** Closes all connections to \a id. */
    void drop(const std::string &id);

    /** Closes those that have idled for too long. */
    void sweep();

private:
    struct Idle
    {
        http::KeptConnection::Ptr connection;
        kernel::Instant since;
        kernel::Instant until;
        bool told = false; ///< The server said how long it keeps it.
    };

    services::Context &context_;
    std::map<std::string, std::vector<Idle>> idle_;
};

} // namespace limereel::gateway
