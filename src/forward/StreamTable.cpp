#include "forward/StreamTable.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// Of the boxes that are asked, all but one keep the record of any equal request's stream.
constexpr std::size_t AnswersThatCover = 2;

void extend(StreamRecord &record, const StreamOrigin &origin, kernel::Instant until)
{
    record.until = std::max(record.until, until);
    record.contradicted = record.contradicted || !record.origin.agreesWith(origin);
}

const StreamRecord *ifKept(const StreamRecord &record, kernel::Instant now)
{
    return record.until <= now ? nullptr : &record;
}

} // namespace

StreamId streamIdOf(const RequestIdentity &request, std::string_view organisation,
                    std::string_view id)
{
    return {{request.high, request.low}, digestOf({organisation, id})};
}

StreamTable::Noted StreamTable::note(const StreamId &id, const StreamOrigin &origin,
                                     kernel::Instant until, bool own)
{
    const StreamRecord added{origin, false, own, until, false};
    const auto request = requests_.find(id.request);
    if (request != requests_.end()) {
        // Also if there is no room for the attempt: equal requests must not seem to agree.
        extend(request->second, origin, until);
    }
    const auto attempt = attempts_.find(id.attempt);
    if (attempt != attempts_.end()) {
        StreamRecord &record = attempt->second.record;
        extend(record, origin, until);
        record.own = record.own || own;
        return record.contradicted ? Noted::Contradicted : Noted::Known;
    }
    if (attempts_.size() >= MaxStreams) {
        return Noted::Full;
    }
    attempts_.emplace(id.attempt, Attempt{id.request, added});
    requests_.try_emplace(id.request, added);
    return Noted::Added;
}

void StreamTable::noteEnded(const Digest &attempt)
{
    const auto place = attempts_.find(attempt);
    if (place != attempts_.end()) {
        place->second.record.ended = true;
    }
}

const StreamRecord *StreamTable::findAttempt(const Digest &attempt, kernel::Instant now) const
{
    const auto place = attempts_.find(attempt);
    return place == attempts_.end() ? nullptr : ifKept(place->second.record, now);
}

const StreamRecord *StreamTable::findRequest(const Digest &request, kernel::Instant now) const
{
    const auto place = requests_.find(request);
    return place == requests_.end() ? nullptr : ifKept(place->second, now);
}

void StreamTable::forEach(
        const std::function<void(const StreamId &, const StreamRecord &)> &visit) const
{
    for (const auto &[key, attempt] : attempts_) {
        visit({attempt.request, key}, attempt.record);
    }
}

void StreamTable::expire(kernel::Instant now)
{
    std::erase_if(attempts_, [now](const auto &entry) { return entry.second.record.until <= now; });
    std::erase_if(requests_, [now](const auto &entry) { return entry.second.until <= now; });
}

void StreamSources::add(const StreamRecord *record)
{
    if (record == nullptr) {
        return;
    }
    contradicted_ = contradicted_ || record->contradicted
                    || (origin_ && !origin_->agreesWith(record->origin));
    if (!origin_) {
        origin_ = record->origin;
    }
    ++agreeing_;
}

std::optional<StreamOrigin> StreamSources::origin() const
{
    return contradicted_ ? std::nullopt : origin_;
}

bool coversEqualRequests(const StreamAnswers &answers)
{
    return answers.wholeFleet && answers.answered >= std::min(answers.asked, AnswersThatCover);
}

} // namespace limereel::forward
