#include "http/ByteBudget.h"

#include <utility>

namespace limereel::http {

bool ByteBudget::hasRoom(std::size_t more, std::size_t own) const
{
    const bool alone = held_ == own;
    return alone || held_ + more <= limit_;
}

// Those that are younger than the asker stay: it is the one that has taken long.
void ByteBudget::makeRoom(std::size_t more, const Share &asker)
{
    auto place = mayGiveWay_.begin();
    while (place != mayGiveWay_.end() && *place != &asker && !hasRoom(more, asker.bytes_)) {
        Share &oldest = **place;
        ++place;
        if (oldest.bytes_ == 0) {
            continue;
        }
        ++gaveWay_;
        held_ -= std::exchange(oldest.bytes_, 0);
        oldest.gaveWay_ = true;
        const auto giveWay = std::move(oldest.giveWay_);
        oldest.keep();
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
