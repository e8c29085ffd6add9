/** \file
 * Chooses the backend server for each attempt of a request, and acquires what it takes to send the
 * request there: a place at an engine, or permission to use a cold server.
 *
 * Where admission control is enabled, a request needs a place at an engine always, and at a plain
 * server while its service is short of capacity. While the service isn't short, up to three owners
 * are asked without waiting, and one of those that had no place may then queue the request. While
 * it is short, one owner after the other may queue it. If none has a place in time, there is no
 * server.
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

    /** Whether another server than that of the present attempt could run the request now. */
    bool anotherIsUsable();

    /** Records that \a id was tried; it isn't chosen again. */
    void noteTried(const std::string &id) { tried_.push_back(id); }

    /** Whether the last choice failed because all servers are in backoff. */
    bool allInBackoff() const { return allInBackoff_; }

    /** Whether the last choice failed because no server has a place for the request in time. */
    bool noPlace() const { return noPlace_; }

    /** When the caller should return then, as the last owner said; zero: none said. */
    kernel::Duration retryDelay() const { return retryDelay_; }

private:
    /** What becomes of a chosen server. */
    enum class Step : std::uint8_t {
        Taken,  ///< The request is sent there.
        Next,   ///< Another server is chosen.
        Refused ///< No server is used.
    };

    /** A server that has no place for the request. */
    struct FullServer
    {
        forward::Choice choice;
        kernel::Duration expectedWait{};
        bool silent = false; ///< Its owner didn't answer the ask, or didn't end the wait.
    };

    forward::ServerRequirements requirements() const;
    bool admits() const { return run_.context.settings.gateway.admission; }
    bool isShort() const;
    void begin(forward::ServerRequirements &requirements);
    boost::asio::awaitable<Step> takePlace(forward::ServerRequirements &requirements,
                                           forward::Choice &choice);
    boost::asio::awaitable<bool> takePlaceByBound(forward::ServerRequirements &requirements,
                                                  forward::Choice &choice);
    boost::asio::awaitable<bool> takeColdSend(forward::ServerRequirements &requirements,
                                              const forward::Choice &choice);
    boost::asio::awaitable<Step> admit(forward::ServerRequirements &requirements,
                                       forward::Choice &choice);
    boost::asio::awaitable<std::optional<forward::Choice>>
    withoutChoice(forward::ServerRequirements &requirements);
    boost::asio::awaitable<std::optional<forward::Choice>>
    queueAtBest(forward::ServerRequirements &requirements);
    Step afterRefusal(forward::ServerRequirements &requirements, const forward::Choice &choice,
                      const PlaceOutcome &outcome);
    boost::asio::awaitable<Step> use(forward::ServerRequirements &requirements,
                                     forward::Choice &choice);
    boost::asio::awaitable<Step> useOrPassOver(forward::ServerRequirements &requirements,
                                               forward::Choice &choice);
    Step passOver(forward::ServerRequirements &requirements, const forward::Choice &choice);
    bool mayUseUnanswered(const forward::ListedServer &server) const;
    PlaceTerms terms(const forward::ServerRequirements &requirements);
    std::uint64_t identity();
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

    forward::PlaceSearch search_; ///< Of one choice.

    // Of one choice where admission control is enabled.
    bool mayWait_ = false;                      ///< Whether owners may queue the request.
    std::size_t waitingAsks_ = 0;               ///< Asks left that may wait.
    std::vector<FullServer> full_;              ///< Servers whose owners had no place.
    std::optional<forward::Choice> aboveBound_; ///< The last server that is above the load bound.
    bool noPlace_ = false;
    kernel::Duration retryDelay_{};
    bool returnReserved_ = false; ///< An owner expects the caller's return after that time.
    std::optional<std::uint64_t> identity_; ///< Computed when first needed.
};

} // namespace limereel::gateway
