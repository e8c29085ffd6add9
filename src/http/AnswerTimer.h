/** \file
 * The time limit of a wait for an answer on a connection. Before it ends the wait it looks whether
 * the answer is there but unread (LateLooks.h).
 */
#pragma once

#include "http/LateLooks.h"
#include "kernel/Counters.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace limereel::http {

/** The timer. It calls nothing any more once it is stopped or gone. */
class AnswerTimer
{
public:
    /**
     * \param counters count the waits that went on past their ends ("late_looks"); they outlive the
     * timer.
     * \param wait names the wait there.
     */
    AnswerTimer(boost::asio::io_context &io, kernel::Counters &counters, std::string wait);
    ~AnswerTimer();
    AnswerTimer(const AnswerTimer &) = delete;
    AnswerTimer &operator=(const AnswerTimer &) = delete;

    /**
     * Begins a wait for \a longest; one that runs is stopped.
     * \param heard what the connection has brought.
     * \param over called when the time has run out and no answer is on its way.
     */
    void start(kernel::Duration longest, std::function<Heard()> heard, std::function<void()> over);
    void stop();

private:
    struct Wait;

    boost::asio::io_context &io_;
    kernel::Counters &counters_;
    std::string name_;
    std::shared_ptr<Wait> wait_;
};

} // namespace limereel::http
