/** \file
 * Tells other boxes which backend server began a stream, and finds that out for a caller that takes
 * its stream up here, whichever box began it. docs/design/stream-origins.md says why it is done so.
 *
 * Messages may be lost, late or doubled: what isn't found out in time is unknown, and a stream of
 * unknown origin isn't continued.
 */
#pragma once

#include "forward/StreamKeepers.h"
#include "peer/Messages.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::gateway {

/** The result of looking for the origin of a stream. */
struct StreamLookup
{
    std::optional<forward::StreamOrigin> origin;
    std::string why; ///< Without an origin: why none is known.
};

/** The records of streams of one box. */
class StreamService : public kernel::Service
{
public:
    explicit StreamService(services::Context &context);

    std::string_view name() const override { return "streams"; }
    void start() override;
    void stop() override;

    /** Records that \a origin began a stream, here and at the boxes that keep its record.
     * \param left how long its caller may take it up. */
    void note(const forward::StreamId &id, const forward::StreamOrigin &origin,
              kernel::Duration left);

    /** Finds out who began a stream, by asking the boxes that should know.
     * \param byAttempt whether the caller has named the attempt; else all streams of equal requests
     * have to agree.
     * \param objective of the route; a fraction of it is spent at most. */
    boost::asio::awaitable<StreamLookup> find(forward::StreamId id, bool byAttempt,
                                              kernel::Duration objective);

    /** Records that the caller has received the whole stream. */
    void noteEnded(const forward::StreamId &id) { table_.noteEnded(id.attempt); }

    /** Sets what is called after each note(). */
    void onNote(std::function<void()> called) { onNote_ = std::move(called); }

    /** Takes over what another source than a box tells of a stream. */
    void learn(const peer::StreamNote &note) { keep(note, false); }

    const forward::StreamTable &table() const { return table_; }

    /** Sets what calls learn() for streams that no box knows, within \a longest. */
    using Recall = std::function<boost::asio::awaitable<void>(kernel::Duration longest)>;
    void setRecall(Recall recall) { recall_ = std::move(recall); }

    /** Before a planned stop: hands the records over to the boxes that keep them without this one.
     */
    void beginLeaving();

private:
    /** A question that waits for answers. */
    struct Pending
    {
        boost::asio::steady_timer timer;
        forward::StreamSources sources;
        std::vector<std::uint64_t> unanswered; ///< Boxes.
        bool byAttempt = true;
        bool over() const;
    };
    using PendingPtr = std::shared_ptr<Pending>;

    const std::vector<forward::StreamKeeper> &keepers();
    void tellNewKeepers();
    kernel::Duration timeFor(const std::vector<forward::StreamKeeper> &asked,
                             kernel::Duration objective) const;
    void send(std::uint64_t box, const peer::Message &message);
    void tell(const peer::StreamNotes &notes);
    void tellNewKeepersOf(const forward::StreamId &id, const forward::StreamRecord &record,
                          std::map<std::uint64_t, peer::StreamNotes> &batches);
    void add(const peer::StreamNote &note, std::uint64_t box,
             std::map<std::uint64_t, peer::StreamNotes> &batches);
    void flush(std::map<std::uint64_t, peer::StreamNotes> &batches);
    void keep(const peer::StreamNote &note, bool own);
    void receive(const peer::Message &message, const kernel::Endpoint &from);
    void receive(const peer::StreamNotes &notes);
    void receive(const peer::StreamAnswer &answer, const kernel::Endpoint &from);
    const forward::StreamRecord *known(const peer::StreamAsk &ask) const;
    peer::StreamAnswer answerTo(const peer::StreamAsk &ask) const;
    boost::asio::awaitable<void> waitUntil(PendingPtr pending, kernel::Instant until);

    services::Context &context_;
    forward::StreamTable table_;
    std::vector<forward::StreamKeeper> keepers_;
    std::optional<kernel::Instant> keepersAt_; ///< When they were determined.
    /** Among which boxes the records were spread last. */
    std::vector<forward::StreamKeeper> toldKeepers_;
    std::map<std::uint64_t, PendingPtr> pending_;
    bool leaving_ = false;
    Recall recall_;
    std::function<void()> onNote_ = [] {};
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
