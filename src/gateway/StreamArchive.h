/** \file
 * Keeps in the platform's store which backend servers began the streams of this box's callers, so
 * that these can be taken up after all boxes have lost power. docs/design/stream-origins.md says
 * what it costs.
 *
 * Only while servers of several software versions serve: each box replaces an object of its own as
 * a stream begins, a few times a second at most. Nothing waits for that. What wasn't written in
 * time is unknown, and a stream of unknown origin isn't continued.
 */
#pragma once

#include "forward/MixedVersions.h"
#include "gateway/FleetView.h"
#include "gateway/StoreClient.h"
#include "gateway/StreamService.h"
#include "services/PeriodicTask.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limereel::gateway {

/** Writes records of streams to the store and reads them there. */
class StreamArchive : public kernel::Service
{
public:
    StreamArchive(services::Context &context, FleetView &fleetView, StreamService &streams);

    std::string_view name() const override { return "stream-archive"; }
    void start() override;
    void stop() override;

private:
    /** A record that this box has read in its own object: from before its last start. */
    struct Carried
    {
        peer::StreamNote note;
        kernel::Instant until;
    };

    boost::asio::awaitable<kernel::Duration> round();
    kernel::Duration pause() const;
    kernel::Duration untilNextWrite() const;
    bool hasNew(const std::vector<peer::StreamNote> &notes) const;
    void updateVersions();
    std::vector<peer::StreamNote> dueNotes() const;
    boost::asio::awaitable<void> write(std::vector<peer::StreamNote> notes);
    boost::asio::awaitable<void> remove();
    boost::asio::awaitable<void> recall(kernel::Duration longest);
    boost::asio::awaitable<void> waitForRead(kernel::Duration longest);
    bool readLately() const;
    boost::asio::awaitable<bool> read(AnswerWait wait);
    boost::asio::awaitable<bool> readPages(AnswerWait wait);
    boost::asio::awaitable<bool> readOwn();
    void take(const store::StoredObject &object);
    void noteFailure(const char *what, const std::string &why);

    services::Context &context_;
    FleetView &fleetView_;
    StreamService &streams_;
    StoreClient writes_;
    StoreClient reads_;
    forward::MixedVersions versions_;
    std::optional<kernel::Instant> versionsAt_; ///< When the versions were last looked at.
    std::set<forward::StreamId> written_;       ///< The streams in this box's object.
    std::optional<kernel::Instant> wroteAt_;    ///< When it began to write that object.
    std::optional<std::uint64_t> revision_;     ///< Of that object; nothing: there is none.
    std::vector<Carried> carried_;
    std::map<std::string, std::uint64_t> taken_; ///< Revisions of the objects that were read.
    std::optional<kernel::Instant> readAt_;      ///< When all objects were last read.
    bool reading_ = false;
    bool ownRead_ = false; ///< Whether this box's object is known, as it was before the start.
    std::set<boost::asio::steady_timer *> waiting_; ///< For the end of a read.
    std::unique_ptr<services::PeriodicTask> loop_;
};

} // namespace limereel::gateway
