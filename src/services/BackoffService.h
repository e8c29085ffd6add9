/** \file
 * Which backend servers have asked this box to back off (Retry-After in an answer that turns a
 * request away). The handlers of the project's own interfaces check it before they send a request.
 */
#pragma once

#include "forward/BackoffTable.h"
#include "http/RetryAfter.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <memory>
#include <string>

namespace limereel::services {

/** The back-offs that backend servers have asked of this box. */
class BackoffService : public kernel::Service
{
public:
    explicit BackoffService(Context &context);

    std::string_view name() const override { return "rests"; }
    void start() override;
    void stop() override;

    /** Notes that a backend server has turned a request away.
     * \param incarnationKey hash of the server and its incarnation.
     * \param asked the server's Retry-After field. */
    void note(std::uint64_t incarnationKey, const std::string &server,
              const http::RetryAfter &asked);

    /** For how long this box still may not send to \a incarnationKey; zero: no back-off. */
    kernel::Duration remaining(std::uint64_t incarnationKey) const;
    bool inBackoff(std::uint64_t incarnationKey) const
    {
        return remaining(incarnationKey) > kernel::Duration(0);
    }

private:
    Context &context_;
    forward::BackoffTable book_;
    std::unique_ptr<PeriodicTask> sweep_;
};

/** The back-off that an answer asks for; only one with \a status 503 can ask for any. */
http::RetryAfter requestedBackoff(int status, const http::Fields &fields);

} // namespace limereel::services
