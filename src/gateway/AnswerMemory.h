/** \file
 * The bytes that this box holds of answers, of all runs together: reading from a server waits where
 * the box holds too much, so that TCP holds the server back.
 */
#pragma once

#include "forward/AnswerLedger.h"
#include "gateway/RunState.h"
#include "kernel/Kernel.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string_view>

namespace limereel::gateway {

/** The ledger of the box, and the answers that wait. */
struct AnswerStock
{
    /** A box has some 160 MB; the rest is for connections, small answers and what the box knows. */
    static constexpr std::size_t Capacity = std::size_t{32} * 1024 * 1024;

    forward::AnswerLedger ledger{Capacity};
    std::set<boost::asio::steady_timer *> waiting;

    void wakeAll();
};

/** Keeps the stock. */
class AnswerMemory : public kernel::Service
{
public:
    static constexpr std::string_view Name = "answer-memory";

    std::string_view name() const override { return Name; }
    void start() override {}
    void stop() override {}

    const std::shared_ptr<AnswerStock> &stock() const { return stock_; }

private:
    std::shared_ptr<AnswerStock> stock_ = std::make_shared<AnswerStock>();
};

/** What is held of one attempt's answer, until it is dropped. */
class HeldAnswer
{
public:
    explicit HeldAnswer(RunState &run);
    ~HeldAnswer();
    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;

    /** Reads the rest of a body from \a connection, which fails if the body is too long. */
    boost::asio::awaitable<tl::expected<http::Body, http::CallFailure>>
    readAll(http::KeptConnection::Ptr connection);

    /** Waits until \a bytes may be held, or the run is stopped. */
    boost::asio::awaitable<void> hold(std::size_t bytes);

private:
    RunState &run_;
    std::shared_ptr<AnswerStock> stock_;
    std::uint64_t answer_;
};

} // namespace limereel::gateway
