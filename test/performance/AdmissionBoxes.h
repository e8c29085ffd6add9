/** \file
 * What the boxes and the servers of an admission bench know.
 */
#pragma once

#include "performance/AdmissionLoad.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace limereel::performance {

/** One attempt of a request. */
struct Call
{
    const Arrival *arrival = nullptr;
    std::size_t box = 0;
    bool second = false;
    kernel::Instant sent;
    int sends = 0;
    std::vector<std::size_t> order; ///< Servers, the preferred ones first.
    std::size_t next = 0;           ///< In the order.
    std::size_t best = 0;           ///< Of those that had no place, the one with the least wait.
    kernel::Duration bestWait = kernel::Duration::max();
    kernel::Duration comeBack{};

    kernel::Instant inTimeUntil() const { return sent + arrival->objective; }
    kernel::Instant deadline() const { return arrival->at + arrival->deadline; }
};

using CallPtr = std::shared_ptr<Call>;

/** The slots and the queue of one server. */
class ServerQueue
{
public:
    explicit ServerQueue(const AdmissionLoad &load)
        : slots_(load.slots)
        , queue_(load.queue)
    {
    }

    /** Begins \a work, now or when a slot is free. \return false if there is no room. */
    bool offer(std::function<void()> work)
    {
        if (running_ >= slots_ && waiting_.size() >= queue_) {
            return false;
        }
        if (running_ < slots_) {
            ++running_;
            work();
        } else {
            waiting_.push_back(std::move(work));
        }
        return true;
    }

    /** One has ended. \return how many run and wait. */
    std::uint32_t end()
    {
        --running_;
        if (!waiting_.empty()) {
            ++running_;
            const auto work = std::move(waiting_.front());
            waiting_.pop_front();
            work();
        }
        return running_ + static_cast<std::uint32_t>(waiting_.size());
    }

private:
    std::uint32_t slots_;
    std::uint32_t queue_;
    std::uint32_t running_ = 0;
    std::deque<std::function<void()>> waiting_;
};

/** What one box knows of the servers. */
struct BoxView
{
    std::vector<std::uint32_t> own;  ///< In flight, by server.
    std::vector<std::uint32_t> told; ///< Load of others in the last answer of each server.
    kernel::Instant shortUntil;

    std::uint32_t seen(std::size_t server) const { return own[server] + told[server]; }

    /** An answer of \a server has come, which says its load. */
    void noteAnswer(std::size_t server, std::uint32_t load)
    {
        --own[server];
        told[server] = load > own[server] ? load - own[server] : 0;
    }
};

/** An ask that has no final answer yet. */
struct Ask
{
    CallPtr call;
    std::size_t server = 0;
    bool mayWait = false;
    bool answered = false;
};

} // namespace limereel::performance
