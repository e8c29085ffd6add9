#include "forward/ServerOrder.h"

#include "membership/Rendezvous.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// A choice seldom looks at more than three holders or a few full servers.
constexpr std::size_t FirstBatch = 16;
// If all servers are full, all of them are visited, in a few passes.
constexpr std::size_t BatchGrowth = 16;

} // namespace

bool WeighedServer::before(const WeighedServer &other) const
{
    if (weight != other.weight) {
        return weight > other.weight;
    }
    return hash < other.hash;
}

void RendezvousTable::insert(ServerRecord &record)
{
    record.row = records_.size();
    hashes_.push_back(record.hash);
    records_.push_back(&record);
    firstKey_.reset();
}

// The last record moves to the free row.
void RendezvousTable::erase(const ServerRecord &record)
{
    const std::size_t row = record.row;
    hashes_[row] = hashes_.back();
    records_[row] = records_.back();
    records_[row]->row = row;
    hashes_.pop_back();
    records_.pop_back();
    firstKey_.reset();
}

const std::vector<WeighedServer> &RendezvousTable::first(std::uint64_t key) const
{
    if (firstKey_ != key) {
        const WeighedServer beforeAll{~std::uint64_t{0}, 0, nullptr};
        first_ = after(key, beforeAll, FirstBatch, [](const ServerRecord &) { return true; });
        firstKey_ = key;
    }
    return first_;
}

std::vector<WeighedServer> RendezvousTable::after(std::uint64_t key, const WeighedServer &last,
                                                  std::size_t count, const Wanted &wanted) const
{
    const auto before = [](const WeighedServer &left, const WeighedServer &right) {
        return left.before(right);
    };
    std::vector<WeighedServer> found; // A heap with the last one of the order on top.
    std::uint64_t least = 0;          // Servers with less weight can't be among the first \a count.
    for (std::size_t row = 0; row < hashes_.size(); ++row) {
        const std::uint64_t weight = membership::rendezvousWeight(key, hashes_[row]);
        if (weight < least || weight > last.weight) {
            continue;
        }
        const WeighedServer one{weight, hashes_[row], records_[row]};
        const bool tooLate = found.size() == count && !one.before(found.front());
        const bool tooSoon = last.record != nullptr && !last.before(one);
        if (tooLate || tooSoon || !wanted(*one.record)) {
            continue;
        }
        found.push_back(one);
        std::push_heap(found.begin(), found.end(), before);
        if (found.size() > count) {
            std::pop_heap(found.begin(), found.end(), before);
            found.pop_back();
        }
        least = found.size() == count ? found.front().weight : 0;
    }
    std::sort_heap(found.begin(), found.end(), before);
    return found;
}

CandidateOrder::CandidateOrder(const RendezvousTable &table, std::uint64_t key,
                               RendezvousTable::Wanted wanted)
    : table_(table)
    , key_(key)
    , wanted_(std::move(wanted))
    , found_(table.first(key))
    , batch_(FirstBatch)
{
}

const ServerRecord *CandidateOrder::next()
{
    while (true) {
        while (next_ < found_.size()) {
            const ServerRecord *record = found_[next_++].record;
            if (wanted_(*record)) {
                return record;
            }
        }
        if (found_.size() < batch_) {
            return nullptr;
        }
        const WeighedServer last = found_.back();
        batch_ *= BatchGrowth;
        found_ = table_.after(key_, last, batch_, wanted_);
        next_ = 0;
    }
}

} // namespace limereel::forward
