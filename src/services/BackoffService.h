/** \file
 * Which backend servers have asked this box for rest over the own interface. Every way of a request
 * through it asks here before it sends; the decision itself is RestBook's.
 */
#pragma once

#include "forward/RestBook.h"
#include "http/RetryAfter.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <memory>
#include <string>

namespace limereel::services {

/** The rests of one box. */
class BackoffService : public kernel::Service
{
public:
    explicit BackoffService(Context &context);

    std::string_view name() const override { return "rests"; }
    void start() override;
    void stop() override;

    /** A backend server has turned a request away. \param word what it says of when to come back.
     */
    void note(std::uint64_t incarnationKey, const std::string &server,
              const http::RetryAfter &word);

    /** For how long \a life still wants nothing from this box; zero: it doesn't rest. */
    kernel::Duration remaining(std::uint64_t incarnationKey) const;
    bool inBackoff(std::uint64_t incarnationKey) const
    {
        return remaining(incarnationKey) > kernel::Duration(0);
    }

private:
    Context &context_;
    forward::RestBook book_;
    std::unique_ptr<PeriodicTask> sweep_;
};

/** What an answer with \a status says of rest; only one that turns a request away does. */
http::RetryAfter requestedBackoff(int status, const http::Fields &fields);

} // namespace limereel::services
