#include "forward/StreamTable.h"

#include <algorithm>

namespace limereel::forward {

StreamKey streamKeyOf(std::string_view organisation, std::string_view id)
{
    return digestOf({organisation, id});
}

StreamTable::Noted StreamTable::note(const StreamKey &key, const StreamOrigin &origin,
                                     kernel::Instant until)
{
    const auto place = records_.find(key);
    if (place == records_.end()) {
        if (records_.size() >= MaxRecords) {
            return Noted::Full;
        }
        records_.emplace(key, StreamRecord{origin, false, until});
        return Noted::Added;
    }
    StreamRecord &record = place->second;
    record.until = std::max(record.until, until);
    record.contradicted = record.contradicted || !record.origin.agreesWith(origin);
    return record.contradicted ? Noted::Contradicted : Noted::Known;
}

const StreamRecord *StreamTable::find(const StreamKey &key, kernel::Instant now) const
{
    const auto place = records_.find(key);
    return place == records_.end() || place->second.until <= now ? nullptr : &place->second;
}

void StreamTable::forEach(
        const std::function<void(const StreamKey &, const StreamRecord &)> &visit) const
{
    for (const auto &[key, record] : records_) {
        visit(key, record);
    }
}

void StreamTable::expire(kernel::Instant now)
{
    std::erase_if(records_, [now](const auto &entry) { return entry.second.until <= now; });
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

} // namespace limereel::forward
