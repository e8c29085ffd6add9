/** \file
 * Chooses the backend server for each attempt of a request, and acquires what it takes to send the
 * request there: a place at an engine, or permission to use a cold server.
 */
#pragma once

#include "gateway/RunState.h"

#include <optional>
#include <string>
#include <vector>

namespace limereel::gateway {

/** The choices for one request. */
class ServerSelection
{
public:
    ServerSelection(RunState &run, PlaceService &places)
        : run_(run)
        , places_(places)
    {
    }

    /** Chooses the server for the next attempt and takes a place there, if one is needed; nothing
     * if no server can be used. */
    boost::asio::awaitable<std::optional<forward::Choice>> choose();

    /** Records that \a id was tried; it isn't chosen again. */
    void noteTried(const std::string &id) { tried_.push_back(id); }

    /** Whether the last choice failed because all servers are in backoff. */
    bool allInBackoff() const { return allInBackoff_; }

private:
    boost::asio::awaitable<bool> takePlace(forward::ServerRequirements &requirements,
                                           forward::Choice &choice);
    boost::asio::awaitable<bool> learnHolders(forward::ServerRequirements &requirements,
                                              const forward::Choice &choice);
    void noteTrial(const forward::Choice &choice);
    void noteNoServer(const forward::ServerRequirements &requirements);
    void excludeCold(forward::ServerRequirements &requirements, const std::string &id);
    boost::asio::awaitable<void> assignPartSource(forward::ServerRequirements &requirements,
                                                  forward::Choice &choice);

    RunState &run_;
    PlaceService &places_;
    std::vector<std::string> tried_;
    bool allInBackoff_ = false;
};

} // namespace limereel::gateway
