#include "http/ByteBudget.h"

#include <algorithm>
#include <utility>

namespace limereel::http {

bool ByteBudget::hasRoom(std::size_t more, std::size_t own) const
{
    const bool alone = held_ == own;
    return alone || held_ + more <= limit_;
}

// The asker itself if it is the first to give way.
ByteBudget::Share *ByteBudget::nextToGiveWay(std::size_t more, const Share &asker) const
{
    const auto wanted = [&](const Share *share) {
        return share->bytes_ + (share == &asker ? more : 0);
    };
    const auto place = first_ == GivesWay::Largest
                               ? std::ranges::max_element(mayGiveWay_, {}, wanted)
                               : std::ranges::find_if(mayGiveWay_, [&](const Share *share) {
                                     return wanted(share) > 0;
                                 });
    return place == mayGiveWay_.end() ? nullptr : *place;
}

void ByteBudget::makeRoom(std::size_t more, const Share &asker)
{
    while (!hasRoom(more, asker.bytes_)) {
        Share *const next = nextToGiveWay(more, asker);
        if (next == nullptr || next == &asker || next->bytes_ == 0) {
            return;
        }
        ++gaveWay_;
        held_ -= std::exchange(next->bytes_, 0);
        next->gaveWay_ = true;
        const auto giveWay = std::move(next->giveWay_);
        next->keep();
        giveWay();
    }
}

ByteBudget::Share::Share(std::shared_ptr<ByteBudget> budget, std::function<void()> giveWay)
    : budget_(std::move(budget))
    , giveWay_(std::move(giveWay))
    , place_(budget_->mayGiveWay_.insert(budget_->mayGiveWay_.end(), this))
{
}

ByteBudget::Share::~Share()
{
    keep();
    budget_->held_ -= bytes_;
}

bool ByteBudget::Share::resize(std::size_t bytes)
{
    if (gaveWay_) {
        return false;
    }
    if (bytes > bytes_) {
        const std::size_t more = bytes - bytes_;
        budget_->makeRoom(more, *this);
        if (!budget_->hasRoom(more, bytes_)) {
            return false;
        }
    }
    budget_->held_ += bytes;
    budget_->held_ -= bytes_;
    bytes_ = bytes;
    return true;
}

void ByteBudget::Share::keep()
{
    if (place_ != budget_->mayGiveWay_.end()) {
        budget_->mayGiveWay_.erase(place_);
        place_ = budget_->mayGiveWay_.end();
    }
    giveWay_ = nullptr;
}

} // namespace limereel::http
