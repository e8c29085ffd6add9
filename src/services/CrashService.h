/** \file
 * Keeps requests that crash backend servers from crashing one server of the fleet after another:
 * records which features of requests (forward/CrashFeatures.h) servers crashed under, exchanges
 * these records with the owner of each such feature, and sends all boxes the records of those that
 * restrict requests. forward/CrashTable.h makes the decisions.
 *
 * The owner of a feature is found by rendezvous hashing over the live boxes, so that one box counts
 * the crashes that different boxes see. A request that has to run alone isn't sent without the
 * permission of the owners of all features that demand it.
 */
#pragma once

#include "forward/CrashTable.h"
#include "forward/SingleSendLeases.h"
#include "outcome/ResultCode.h"
#include "peer/Messages.h"
#include "services/Context.h"
#include "services/CrashBroadcast.h"
#include "services/CrashDetector.h"
#include "services/PeriodicTask.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::services {

/** A grant of the owner of a feature to send one request with it. */
struct AloneGrant
{
    forward::RequestIdentity feature;
    std::uint64_t ask = 0; ///< Identifies the grant.
};

/** Whether a request may be sent now. */
struct SendPermission
{
    forward::SendRestriction restriction = forward::SendRestriction::Free;
    std::size_t place = 0; ///< Of the prompt's part that restricts it; 0: the whole request does.
    std::vector<AloneGrant> grants; ///< To send it alone; to be handed back.
    kernel::Duration notBefore{}; ///< If it may not be sent: how long to wait before the next try.

    bool granted() const
    {
        return restriction == forward::SendRestriction::Free || !grants.empty();
    }

    /** Whether the answer to another request may lift the restriction any moment. */
    bool mayClear() const { return restriction == forward::SendRestriction::Alone && place != 0; }
};

/** The result code for a request that \a permission denies. */
outcome::ResultCode codeOf(const SendPermission &permission);

/** Why \a permission was denied, as a message for the caller. */
std::string denialMessage(const SendPermission &permission);

/** Records crashes of backend servers by request and decides with the owners whether a request may
 * be sent. */
class CrashService : public kernel::Service
{
public:
    explicit CrashService(Context &context);

    std::string_view name() const override { return "crashes"; }
    void start() override;
    void stop() override;

    /** The features of a request that have records. */
    std::vector<forward::CrashFeature> recordedOf(forward::RequestFeatures &features) const;

    /** How a request with these recorded features may be sent. */
    forward::SendVerdict verdict(const std::vector<forward::CrashFeature> &recorded)
    {
        return book_.verdict(recorded, context_.now());
    }

    forward::SendRestriction restriction(const forward::RequestIdentity &feature)
    {
        return book_.restriction(feature, context_.now());
    }

    /** How requests with this feature and all others that can't be told from it may be sent. */
    forward::SendRestriction standing(const forward::RequestIdentity &feature)
    {
        return book_.verdict(book_.sameCrashes(feature), context_.now()).restriction;
    }

    /** Asks whether a request with these recorded features may be sent. \param longest how long a
     * send alone may take. */
    boost::asio::awaitable<SendPermission>
    requestSendPermission(std::vector<forward::CrashFeature> recorded, kernel::Duration longest);

    /** Notes that a send alone has ended without a crash, and returns its grant. */
    void handBack(const AloneGrant &grant);

    /** Notes that an attempt was lost. If its server has crashed, reports that to the request's
     * owner and waits for the answer. If that isn't clear yet, a grant to run alone isn't handed
     * back until it is. */
    boost::asio::awaitable<void> noteLost(LostAttempt lost);

    /** Notes that this box ended an attempt before its answer was complete, because of its caller
     * or its deadline. Its server may still turn out to have crashed. */
    void noteInterrupted(LostAttempt lost);

    /** Notes that a request with this feature got its whole answer, or is still running after the
     * time in which it would have crashed its server. \param aloneGrant the grant that it was sent
     * with; 0: none. */
    void noteAnswered(const forward::RequestIdentity &feature, std::uint64_t aloneGrant);

    /** Forgets the crashes of a feature, as an operator lets requests with it run again. \return
     * whether there was a record of it. */
    bool lift(const forward::RequestIdentity &feature);

    CrashDetector &detector() { return detector_; }

    /** Sets a function that fetches a record from outside this part of the fleet before a request
     * is sent alone. */
    using LookUp = std::function<boost::asio::awaitable<void>(forward::RequestIdentity)>;
    void setLookUp(LookUp lookUp) { lookUp_ = std::move(lookUp); }

    /** Merges a record that another box or the store has. */
    void take(const forward::CrashRecord &record);

    /** Whether this box is the owner of \a request. */
    bool owns(const forward::RequestIdentity &request) const;

    /** Adds a callback that runs when the record of a request has changed. */
    using Changed = std::function<void(const forward::CrashRecord &before,
                                       const forward::CrashRecord &record)>;
    void onChange(Changed changed) { changed_.push_back(std::move(changed)); }

    const forward::CrashTable &book() const { return book_; }

private:
    struct Pending
    {
        boost::asio::steady_timer timer;
        std::optional<peer::CrashWord> answer;
    };

    std::vector<forward::RequestIdentity>
    leasesFor(const std::vector<forward::CrashFeature> &recorded) const;

    /** Asks the owner of a feature for a grant, and adds it to \a permission, or how long to wait.
     * \return whether it was granted. */
    boost::asio::awaitable<bool> askAlone(forward::RequestIdentity feature,
                                          kernel::Duration longest, SendPermission &permission);
    void handBackAll(SendPermission &permission);
    boost::asio::awaitable<void> reportCrash(LostAttempt lost);
    boost::asio::awaitable<void> reportFeature(LostFeature lost, std::uint64_t server);
    boost::asio::awaitable<std::optional<peer::CrashWord>> askOwner(peer::CrashReport report);
    peer::CrashReport reportOf(const forward::RequestIdentity &request, peer::CrashMatter matter);
    peer::CrashWord decide(const peer::CrashReport &report);
    void notifyOwner(const forward::RequestIdentity &request, peer::CrashMatter matter,
                     std::uint64_t ask);
    void noteChange(const forward::CrashRecord &before);
    void receive(const peer::Message &message, const kernel::Endpoint &from);

    Context &context_;
    forward::CrashTable book_;
    forward::SingleSendLeases aloneLeases_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_; ///< By ask.
    CrashDetector detector_;
    CrashBroadcast broadcast_;
    std::vector<Changed> changed_;
    LookUp lookUp_; ///< If empty, no record is fetched.
    std::unique_ptr<PeriodicTask> sweep_;
};

} // namespace limereel::services
