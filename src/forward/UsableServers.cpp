#include "forward/UsableServers.h"

#include <algorithm>
#include <numeric>

namespace limereel::forward {

namespace {

// If a server's share of failed answers exceeds the mean of its service by this much, the failures
// are attributed to the server.
constexpr double ErrorsBeyondMean = 0.22;

bool in(const HallSet &halls, HallNumber hall)
{
    return hall < halls.size() && halls[hall];
}

} // namespace

UsableServers::UsableServers(const ServerView &view, const ServerRequirements &requirements)
    : view_(view)
    , requirements_(requirements)
    , service_(view.index.service(requirements.service))
{
    if (service_ == nullptr) {
        return;
    }
    exclude(requirements.tried);
    exclude(requirements.barred);
    std::ranges::sort(excluded_);
    excluded_.erase(std::unique(excluded_.begin(), excluded_.end()), excluded_.end());
    countUntracked();
    gradeTracked();
}

bool UsableServers::contains(const ServerRecord &record) const
{
    return mayTake(record) && !excluded(record) && gradeOf(record) >= lowestGrade_;
}

double UsableServers::meanLoad() const
{
    double sum = 0;
    for (const ServerRecord *record : tracked_) {
        sum += record->load(view_.now);
    }
    return sum / static_cast<double>(size());
}

const ServerRecord *UsableServers::pickUntracked(std::size_t number, std::mt19937_64 &random) const
{
    for (HallNumber hall = 0; hall < perHall_.size(); ++hall) {
        if (number < perHall_[hall]) {
            return pickUntrackedIn(hall, random);
        }
        number -= perHall_[hall];
    }
    return nullptr;
}

const ServerRecord *UsableServers::pickUntrackedIn(HallNumber hall, std::mt19937_64 &random) const
{
    // Few servers are tracked or excluded, so this loop ends after a few steps, unless the request
    // continues a stream of a version that few servers have.
    const auto &servers = service_->byHall[hall];
    const std::size_t first = random() % servers.size();
    for (std::size_t step = 0; step < servers.size(); ++step) {
        const ServerRecord *record = servers[(first + step) % servers.size()];
        if (!record->tracked && !excluded(*record) && fitsStream(*record)) {
            return record;
        }
    }
    return nullptr;
}

bool UsableServers::mayTake(const ServerRecord &record) const
{
    return isCandidate(record) && !record.inBackoff(view_.now)
           && !(view_.limitedToSlots && record.allSlotsTaken(view_.now));
}

bool UsableServers::isCandidate(const ServerRecord &record) const
{
    return record.server.service == requirements_.service && !record.server.leaving
           && in(view_.open, record.hall) && fitsStream(record);
}

bool UsableServers::fitsStream(const ServerRecord &record) const
{
    return !requirements_.origin || requirements_.origin->mayContinueAt(record.server);
}

std::size_t UsableServers::listedIn(HallNumber hall) const
{
    const auto &servers = service_->byHall[hall];
    if (!requirements_.origin) {
        return servers.size();
    }
    return static_cast<std::size_t>(std::ranges::count_if(
            servers, [this](const ServerRecord *record) { return fitsStream(*record); }));
}

bool UsableServers::excluded(const ServerRecord &record) const
{
    return std::ranges::binary_search(excluded_, &record);
}

UsableServers::Grade UsableServers::gradeOf(const ServerRecord &record) const
{
    if (in(view_.closed, record.hall)
        || (record.tracked && view_.health.isSuspected(record, view_.now))) {
        return Grade::Suspected;
    }
    const bool poor =
            record.tracked
            && (record.errorShare(view_.now) >= errorShareLimit_ || view_.now < record.fullUntil);
    return poor ? Grade::Fair : Grade::Good;
}

void UsableServers::exclude(const std::vector<std::string> &ids)
{
    for (const std::string &id : ids) {
        if (const ServerRecord *record = view_.index.find(id)) {
            excluded_.push_back(record);
        }
    }
}

void UsableServers::countUntracked()
{
    for (HallNumber hall = 0; hall < service_->byHall.size(); ++hall) {
        perHall_.push_back(in(view_.open, hall) ? listedIn(hall) : 0);
    }
    for (const ServerRecord *record : excluded_) {
        if (isCandidate(*record) && !record->tracked) {
            --perHall_[record->hall];
        }
    }
    for (const ServerRecord *record : view_.index.tracked()) {
        if (isCandidate(*record)) {
            --perHall_[record->hall];
        }
    }
}

// The mean share of failed answers is taken over all servers that may run the request.
void UsableServers::gradeTracked()
{
    double errorSum = 0;
    for (const ServerRecord *record : view_.index.tracked()) {
        if (mayTake(*record) && !excluded(*record)) {
            tracked_.push_back(record);
            errorSum += record->errorShare(view_.now);
        }
    }
    const std::size_t all = std::accumulate(perHall_.begin(), perHall_.end(), tracked_.size());
    errorShareLimit_ = (all == 0 ? 0 : errorSum / static_cast<double>(all)) + ErrorsBeyondMean;
    std::size_t reachable = 0;
    for (HallNumber hall = 0; hall < perHall_.size(); ++hall) {
        reachable += in(view_.closed, hall) ? 0 : perHall_[hall];
    }
    lowestGrade_ = reachable > 0 ? Grade::Good : Grade::Suspected;
    for (const ServerRecord *record : tracked_) {
        lowestGrade_ = std::max(lowestGrade_, gradeOf(*record));
    }
    std::erase_if(tracked_, [this](const auto *record) { return gradeOf(*record) < lowestGrade_; });
    for (HallNumber hall = 0; hall < perHall_.size(); ++hall) {
        if (lowestGrade_ > Grade::Suspected && in(view_.closed, hall)) {
            perHall_[hall] = 0;
        }
    }
    untracked_ = std::accumulate(perHall_.begin(), perHall_.end(), std::size_t{0});
}

} // namespace limereel::forward
