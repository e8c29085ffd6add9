#include "services/HallView.h"

#include "membership/Ownership.h"

#include <algorithm>
#include <unordered_map>

namespace limereel::services {

using membership::BackendState;
using membership::ShortHash;

namespace {

struct Report
{
    std::uint64_t box;
    const BackendState *state;
};

using Reports = std::unordered_multimap<ShortHash, Report>;

Reports collectReports(const std::vector<membership::BoxState> &states)
{
    Reports reports;
    for (const auto &state : states) {
        for (const BackendState &backend : state.backends) {
            reports.emplace(backend.backend, Report{state.box, &backend});
        }
    }
    return reports;
}

const Report *chooseReport(const Reports &reports, std::uint64_t backend,
                           const std::vector<std::uint64_t> &owners)
{
    const auto [begin, end] = reports.equal_range(membership::shortHash(backend));
    const auto owner = begin == end ? std::nullopt : membership::ownerOf(backend, owners);
    const Report *best = nullptr;
    for (auto entry = begin; entry != end; ++entry) {
        if (owner && entry->second.box == *owner) {
            return &entry->second;
        }
        if (best == nullptr || entry->second.state->inFlight > best->state->inFlight) {
            best = &entry->second;
        }
    }
    return best;
}

routing::Candidate candidateOf(const BackendView &backend)
{
    return {.engine = backend.listed.backend.hash(),
            .incarnation = backend.state.incarnation,
            .inFlight = backend.state.inFlight};
}

} // namespace

bool BackendView::holds(ShortHash model) const
{
    return std::ranges::find(state.models, model) != state.models.end();
}

const BackendView *HallView::find(std::uint64_t hash) const
{
    const auto entry = std::ranges::find_if(backends, [hash](const BackendView &backend) {
        return backend.listed.backend.hash() == hash;
    });
    return entry == backends.end() ? nullptr : &*entry;
}

const BackendView *HallView::findShort(ShortHash hash) const
{
    const auto entry = std::ranges::find_if(backends, [hash](const BackendView &backend) {
        return membership::shortHash(backend.listed.backend.hash()) == hash;
    });
    return entry == backends.end() ? nullptr : &*entry;
}

std::vector<routing::Candidate> HallView::enginesOf(ShortHash model) const
{
    std::vector<routing::Candidate> engines;
    for (const BackendView &backend : backends) {
        if (backend.listed.isEngine() && backend.open() && backend.holds(model)) {
            engines.push_back(candidateOf(backend));
        }
    }
    return engines;
}

std::vector<routing::Candidate> HallView::knownEnginesOf(ShortHash model) const
{
    std::vector<routing::Candidate> engines;
    for (const BackendView &backend : backends) {
        if (backend.listed.isEngine() && backend.holds(model)) {
            engines.push_back(candidateOf(backend));
        }
    }
    return engines;
}

std::uint64_t HallView::reporterOf(std::uint64_t hash) const
{
    const BackendView *const backend = find(hash);
    return backend == nullptr ? 0 : backend->reporter;
}

std::vector<const BackendView *> HallView::runnersOf(const std::string &service) const
{
    std::vector<const BackendView *> runners;
    for (const BackendView &backend : backends) {
        if (backend.listed.service == service && backend.open()) {
            runners.push_back(&backend);
        }
    }
    return runners;
}

HallView makeHallView(const store::HallList &list, const std::vector<membership::BoxState> &states,
                      const std::vector<std::uint64_t> &owners)
{
    const Reports reports = collectReports(states);
    HallView view;
    view.backends.reserve(list.backends.size());
    for (const auto &listed : list.backends) {
        BackendView backend{listed, {}, false, 0};
        if (const auto *const report = chooseReport(reports, listed.backend.hash(), owners)) {
            backend.state = *report->state;
            backend.reported = true;
            backend.reporter = report->box;
        }
        view.backends.push_back(std::move(backend));
    }
    return view;
}

} // namespace limereel::services
