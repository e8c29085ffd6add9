/** \file
 * Keeps requests that crash backend servers from crashing one server of the fleet after another:
 * records which requests servers crashed under, exchanges these records with the owner of each such
 * request, and sends all boxes the records of requests that are restricted. forward/CrashTable.h
 * makes the decisions.
 *
 * The owner of a request is found by rendezvous hashing over the live boxes, so that one box counts
 * the crashes that different boxes see. A request that has to run alone isn't sent without the
 * owner's permission.
 */
#pragma once

#include "forward/CrashTable.h"
#include "forward/SingleSendLeases.h"
#include "outcome/ResultCode.h"
#include "peer/Messages.h"
#include "services/Context.h"
#include "services/CrashDetector.h"
#include "services/PeriodicTask.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::services {

/** Whether a request may be sent now. */
struct SendPermission
{
    forward::SendRestriction restriction = forward::SendRestriction::Free;
    std::uint64_t aloneGrant = 0; ///< The grant to send it alone, to be handed back; 0: none.
    kernel::Duration notBefore{}; ///< If it may not be sent: how long to wait before the next try.

    bool granted() const
    {
        return restriction == forward::SendRestriction::Free || aloneGrant != 0;
    }
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

    /** Whether any request of this shape has a record, so that its restriction has to be checked
     * before it is sent. */
    bool concerns(std::uint64_t shape) const { return book_.concerns(shape); }

    forward::SendRestriction restriction(const forward::RequestIdentity &request)
    {
        return book_.restriction(request, context_.now());
    }

    /** Asks whether \a request may be sent. \param longest how long a send alone may take. */
    boost::asio::awaitable<SendPermission> requestSendPermission(forward::RequestIdentity request,
                                                                 kernel::Duration longest);

    /** Notes that a send alone has ended without a crash, and returns its grant. */
    void handBack(const forward::RequestIdentity &request, std::uint64_t aloneGrant);

    /** Notes that an attempt was lost. If its server has crashed, reports that to the request's
     * owner and waits for the answer. If that isn't clear yet, a grant to run alone isn't handed
     * back until it is. */
    boost::asio::awaitable<void> noteLost(LostAttempt lost);

    /** Notes that this box ended an attempt before its answer was complete, because of its caller
     * or its deadline. Its server may still turn out to have crashed. */
    void noteInterrupted(LostAttempt lost);

    /** Notes that a request got its whole answer, or is still running after the time in which it
     * would have crashed its server. \param aloneGrant the grant that it was sent with; 0: none. */
    void noteAnswered(const forward::RequestIdentity &request, std::uint64_t aloneGrant);

    /** Forgets the crashes of a request, as an operator lets it run again. \return whether there
     * was a record of it. */
    bool lift(const forward::RequestIdentity &request);

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

    /** A record that is sent to all boxes once more, as a datagram may be lost. */
    struct Resend
    {
        forward::RequestIdentity request;
        kernel::Instant due;
    };

    boost::asio::awaitable<SendPermission> askAlone(forward::RequestIdentity request,
                                                    kernel::Duration longest);
    boost::asio::awaitable<void> reportCrash(LostAttempt lost);
    boost::asio::awaitable<std::optional<peer::CrashWord>> askOwner(peer::CrashReport report);
    peer::CrashReport reportOf(const forward::RequestIdentity &request, peer::CrashMatter matter);
    peer::CrashWord decide(const peer::CrashReport &report);
    void notifyOwner(const forward::RequestIdentity &request, peer::CrashMatter matter,
                     std::uint64_t ask);
    void noteChange(const forward::CrashRecord &before);
    void sendToAll(const forward::RequestIdentity &request);
    void sendTo(std::uint64_t box, const std::vector<forward::CrashRecord> &records);
    void sendDueResends();
    void sendToNewcomers();
    void sendToRandomBox();
    void receive(const peer::Message &message, const kernel::Endpoint &from);

    Context &context_;
    forward::CrashTable book_;
    forward::SingleSendLeases aloneLeases_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_; ///< By ask.
    CrashDetector detector_;
    std::deque<Resend> resends_;
    std::map<std::uint64_t, std::uint64_t>
            incarnations_;       ///< Incarnation of each box at the last sweep.
    std::size_t nextRecord_ = 0; ///< The record that sendToRandomBox() sends next.
    std::vector<Changed> changed_;
    LookUp lookUp_; ///< If empty, no record is fetched.
    std::unique_ptr<PeriodicTask> sweep_;
};

} // namespace limereel::services
