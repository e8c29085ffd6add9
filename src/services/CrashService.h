/** \file
 * Keeps requests that end backend servers from going through the fleet server by server: takes in
 * under which requests servers ended, asks and answers as the owner of such a request, and tells
 * all boxes of those that don't run freely (forward/CrashBook.h decides).
 *
 * The owner of a request is found by rendezvous hashing over the live boxes, so that ends seen by
 * different boxes are summed at one. Without its word a request that has to run alone isn't sent.
 */
#pragma once

#include "forward/AloneLedger.h"
#include "forward/CrashBook.h"
#include "outcome/ResultCode.h"
#include "peer/Messages.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limereel::services {

/** Whether a request may be sent now. */
struct SendPermission
{
    forward::Standing standing = forward::Standing::Free;
    std::uint64_t aloneGrant = 0; ///< The leave to send it alone, to be handed back; 0: none.
    kernel::Duration notBefore{}; ///< Where it may not be sent: not before this.

    bool granted() const { return standing == forward::Standing::Free || aloneGrant != 0; }
};

/** The result of a request that got no \a leave. */
outcome::ResultCode codeOf(const SendPermission &leave);

/** Why \a leave wasn't given, for the caller. */
std::string denialMessage(const SendPermission &leave);

/** An attempt whose connection ended before its answer did. */
struct LostAttempt
{
    forward::RequestIdentity request;
    std::string serverId;
    std::uint64_t server = 0; ///< Hash of this life of the server.
    kernel::Endpoint address;
    std::uint64_t aloneGrant =
            0;             ///< The leave that it was sent with, unless it has been handed back.
    bool ranAlone = false; ///< It was sent with one.
};

/** The service. */
class CrashService : public kernel::Service
{
public:
    explicit CrashService(Context &context);

    std::string_view name() const override { return "crashes"; }
    void start() override;
    void stop() override;

    /** Whether a request of this shape has to be looked at before it is sent. */
    bool concerns(std::uint64_t shape) const { return book_.concerns(shape); }

    forward::Standing standing(const forward::RequestIdentity &request)
    {
        return book_.standing(request, context_.now());
    }

    /** Asks whether \a request may be sent. A send alone takes \a longest at most. */
    boost::asio::awaitable<SendPermission> requestSendPermission(forward::RequestIdentity request,
                                                                 kernel::Duration longest);

    /** A send alone is over, and its server goes on. */
    void handBack(const forward::RequestIdentity &request, std::uint64_t aloneGrant);

    /** An attempt was lost. Looks whether its server has ended; if so, tells the request's owner
     * and waits for its word. If not, the server is looked at some more times, as its port may
     * outlast its connections; meanwhile a leave to run alone isn't handed back. */
    boost::asio::awaitable<void> noteLost(LostAttempt lost);

    /** An attempt was ended before its answer by this box, for its caller or its deadline: its
     * server may still turn out to have ended. */
    void noteInterrupted(LostAttempt lost);

    /** A request got its whole answer, or runs on past its beginning. \param alone the leave that
     * it was sent with; 0: none. */
    void noteAnswered(const forward::RequestIdentity &request, std::uint64_t aloneGrant);

    /** An operator lets the request run again. \return whether anything was known of it. */
    bool lift(const forward::RequestIdentity &request);

    /** A backend server is listed no more. */
    void onServerDelisted(const std::string &id);

    /** Sets what asks elsewhere for a record, before a request is sent alone. */
    using LookUp = std::function<boost::asio::awaitable<void>(forward::RequestIdentity)>;
    void setLookUp(LookUp lookUp) { lookUp_ = std::move(lookUp); }

    /** What another box, or the store, knows. */
    void take(const forward::CrashRecord &record);

    /** Whether this box is the owner of \a request. */
    bool owns(const forward::RequestIdentity &request) const;

    /** Adds something that is called when what is known of a request has changed. */
    using Changed = std::function<void(const forward::CrashRecord &before,
                                       const forward::CrashRecord &record)>;
    void onChange(Changed changed) { changed_.push_back(std::move(changed)); }

    const forward::CrashBook &book() const { return book_; }

private:
    struct Pending
    {
        boost::asio::steady_timer timer;
        std::optional<peer::CrashWord> answer;
    };

    /** Whose server may still turn out to have ended. */
    struct Unsettled
    {
        LostAttempt lost;
        kernel::Instant since;
    };

    /** What is told to all boxes once more, as a datagram may be lost. */
    struct Retold
    {
        forward::RequestIdentity request;
        kernel::Instant due;
    };

    /** What a look at a server shows. */
    enum class Look : std::uint8_t { Ended, Listens, Unclear };

    boost::asio::awaitable<SendPermission> askAlone(forward::RequestIdentity request,
                                                    kernel::Duration longest);
    boost::asio::awaitable<Look> look(kernel::Endpoint address);
    boost::asio::awaitable<void> lookAgain(std::uint64_t server, kernel::Endpoint address);
    bool isUnsettled(std::uint64_t server) const;
    void settle(const std::function<bool(const LostAttempt &lost)> &ended);
    void keepUnsettled(LostAttempt lost);
    boost::asio::awaitable<void> tellEnd(LostAttempt lost);
    boost::asio::awaitable<std::optional<peer::CrashWord>> askOwner(peer::CrashReport report);
    peer::CrashReport reportOf(const forward::RequestIdentity &request, peer::CrashMatter matter);
    peer::CrashWord decide(const peer::CrashReport &report);
    void tellOwner(const forward::RequestIdentity &request, peer::CrashMatter matter,
                   std::uint64_t ask);
    void noteChange(const forward::CrashRecord &before);
    void tellAll(const forward::RequestIdentity &request);
    void sendTo(std::uint64_t box, const std::vector<forward::CrashRecord> &records);
    void retell();
    void greetNewcomers();
    void tellOne();
    void receive(const peer::Message &message, const kernel::Endpoint &from);

    Context &context_;
    forward::CrashBook book_;
    forward::AloneLedger aloneGrant_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_; ///< By ask.
    std::vector<Unsettled> unsettled_;
    std::set<std::uint64_t> lookedAt_; ///< Lives of servers that are looked at again.
    std::map<std::uint64_t, kernel::Instant> endedLives_; ///< Seen to have ended, and when.
    std::deque<Retold> retold_;
    std::map<std::uint64_t, std::uint64_t> known_; ///< Incarnations of the boxes known before.
    std::size_t turn_ = 0;
    std::vector<Changed> changed_;
    LookUp lookUp_; ///< Nothing: nobody is asked.
    std::unique_ptr<PeriodicTask> sweep_;
};

} // namespace limereel::services
