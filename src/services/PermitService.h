/** \file
 * The router's side of permits: finds an engine for a chat by asking owners, renews the permits
 * while they are in use, and gives them back.
 *
 * A request for a permit that isn't answered is repeated once under the same id, then goes to the
 * next box in the resource's order of owners, which takes over. No caller waits longer than a few
 * ask timeouts.
 */
#pragma once

#include "config/Effective.h"
#include "outcome/ResultCode.h"
#include "peer/Messages.h"
#include "services/Context.h"
#include "services/HallView.h"
#include "services/PeriodicTask.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

namespace limereel::services {

/** What a request needs an engine for. */
struct EngineRequirements
{
    std::uint64_t organisation = 0; ///< Hash of its path.
    kernel::ChatKey chat = 0;
    membership::ShortHash model = 0;
    std::size_t candidates = 1; ///< As the pool's settings say.
    std::set<std::uint64_t>
            excluded; ///< Engines that failed this request already, or asked for back-off.
    std::optional<std::uint64_t> preferred; ///< Engine that the caller's chat token names.
    std::uint32_t preferredIncarnation = 0;
};

/** A permit that is held. */
struct Permit
{
    std::uint64_t request = 0;
    std::uint64_t resource = 0;
    store::ListedBackend backend;  ///< Of an engine's permit.
    std::uint32_t incarnation = 0; ///< Of the engine, as known at the grant.
    routing::Reason reason = routing::Reason::First;

    /** Hash of the engine and its incarnation. */
    std::uint64_t incarnationKey() const { return kernel::combine(resource, incarnation); }
};

/** Why there is no permit. */
struct PermitRefusal
{
    outcome::ResultCode code = outcome::ResultCode::NoEngine;
    kernel::Duration retryDelay{};
};

/** Acquires, renews and gives back the permits of this box's requests. */
class PermitService : public kernel::Service
{
public:
    explicit PermitService(Context &context);

    std::string_view name() const override { return "permits"; }
    void start() override;
    void stop() override;

    /** Acquires a place on an engine of this hall. */
    boost::asio::awaitable<tl::expected<Permit, PermitRefusal>>
    acquireEngine(EngineRequirements need);

    /** Acquires a place within an organisation's limits. */
    boost::asio::awaitable<tl::expected<Permit, PermitRefusal>>
    acquireQuota(std::uint64_t organisation);

    /** Gives a permit back and reports what was observed of the engine. */
    void giveBack(const Permit &permit, peer::Observed observed);

    std::size_t held() const { return held_.size(); }

    /** The permit request for \a need, under a new request id. */
    peer::AskPermit askFor(const EngineRequirements &need) const;

    /** Asks the box at \a where, and once more if \a timeout passes without an answer; nothing if
     * it doesn't answer. */
    boost::asio::awaitable<std::optional<peer::PermitAnswer>>
    askAt(kernel::Endpoint where, peer::AskPermit ask, kernel::Duration timeout);

    /** Registers \a permit, which the box at \a delegate holds for this one under \a ask, so that
     * it is renewed. */
    void holdInOtherHall(const peer::AskPermit &ask, const Permit &permit,
                         const kernel::Endpoint &delegate);

private:
    struct Pending;

    /** An answer, and the box that sent it. */
    struct Answered
    {
        peer::PermitAnswer answer;
        std::uint64_t box = 0;
    };

    struct Held
    {
        peer::HeldPermit permit;
        std::set<std::uint64_t> owners; ///< Boxes that may have it in their ledgers.
        std::optional<kernel::Endpoint>
                delegate;        ///< The box of another hall that holds it for this one.
        kernel::Instant renewed; ///< When it was granted or last renewed.
    };

    void receive(const peer::Message &message, const kernel::Endpoint &from);
    boost::asio::awaitable<std::optional<peer::PermitAnswer>> askBox(std::uint64_t box,
                                                                     peer::AskPermit ask);
    boost::asio::awaitable<std::optional<Answered>> askOwner(peer::AskPermit ask);
    boost::asio::awaitable<std::optional<Permit>> tryEngine(const EngineRequirements &need,
                                                            peer::AskPermit ask,
                                                            peer::Suggestion suggestion,
                                                            PermitRefusal &refusal);
    bool excludeBackingOff(EngineRequirements &need,
                           const std::vector<routing::Candidate> &engines) const;
    Permit take(const peer::AskPermit &ask, std::uint64_t owner, const BackendView &backend,
                routing::Reason reason);
    boost::asio::awaitable<kernel::Duration> renewRound();
    void sendToOwner(std::uint64_t box, const peer::Message &message);

    Context &context_;
    std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::unordered_map<std::uint64_t, Held> held_;
    std::unique_ptr<PeriodicTask> renewLoop_;
};

} // namespace limereel::services
