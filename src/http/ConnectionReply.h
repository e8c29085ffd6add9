/** \file
 * The way back to the caller over one connection: whole answers, and streams as chunks. Each write
 * has its time limit.
 */
#pragma once

#include "http/Server.h"
#include "http/TimeLimit.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace limereel::http {

/** The connection that a reply goes over. */
struct ReplyWay
{
    boost::asio::ip::tcp::socket &socket;
    TimeLimit &limit;
    const ServerLimits &limits;
    const bool &closing; ///< Of the server: each answer closes its connection.
};

/** What of the request decides the form of its answer. */
struct ReplyForm
{
    unsigned version = 11; ///< Of HTTP, as in 11 for 1.1.
    bool keepAlive = false;
    bool headOnly = false; ///< The request was a HEAD: the answer has no body.
};

/** The reply to one request. */
class ConnectionReply : public Reply
{
public:
    ConnectionReply(const ReplyWay &way, const ReplyForm &form);
    ~ConnectionReply() override;
    ConnectionReply(const ConnectionReply &) = delete;
    ConnectionReply &operator=(const ConnectionReply &) = delete;

    boost::asio::awaitable<bool> send(Answer answer) override;
    boost::asio::awaitable<bool> begin(int status, Fields fields) override;
    boost::asio::awaitable<bool> write(std::string_view part) override;
    boost::asio::awaitable<bool> finish() override;
    bool clientGone() override;
    bool begun() const override { return begun_; }
    void watchClient(std::function<void()> gone) override;
    void closeAfter() override { form_.keepAlive = false; }

    /** Whether the answer went out to its end. */
    bool whole() const { return whole_; }

    /** Whether the head that went out left the connection open. The caller may have sent its next
     * request by then, so this is kept to also if the box has begun to leave since. */
    bool keptOpen() const { return keptOpen_; }

    /** How long the caller was told that the connection may rest; nothing: zero. */
    kernel::Duration toldRest() const { return toldRest_; }

private:
    /** Sends an answer whose end is that of the connection. */
    boost::asio::awaitable<bool> sendUnmarked(Answer answer);

    /** Decides whether the connection stays open, and says so in the head of \a response. */
    template <typename Response>
    void keepOpen(Response &response);

    /** What a wait holds that may outlast the reply. */
    struct Watch
    {
        std::function<void()> gone; ///< Empty once the reply is over.
    };

    ReplyWay way_;
    ReplyForm form_;
    std::shared_ptr<Watch> watch_;
    bool begun_ = false;
    bool keptOpen_ = false;
    kernel::Duration toldRest_{};
    bool whole_ = false;
};

} // namespace limereel::http
