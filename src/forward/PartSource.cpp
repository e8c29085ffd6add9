#include "forward/PartSource.h"

#include <algorithm>

namespace limereel::forward {

bool PartSource::named(const ServerRecord &record) const
{
    const auto shortened = static_cast<std::uint32_t>(record.hash);
    return std::ranges::find(requirements_.holders, shortened) != requirements_.holders.end();
}

std::size_t PartSource::heldBy(const ServerRecord &record) const
{
    return named(record) ? sharedPrefixes(*requirements_.prompt).size()
                         : view_.parts.depth(*requirements_.prompt, record.server.id, view_.now);
}

bool PartSource::holdsAll(const ServerRecord &record) const
{
    return named(record)
           || view_.parts.depth(*requirements_.prompt, record.server.id, view_.now)
                      >= sharedPrefixes(*requirements_.prompt).size();
}

// Finds another server from which \a target may fetch the prompt parts that it lacks: one that is
// known to hold them, or else the one that would be chosen without \a target and without servers
// added recently, since those weren't listed when the parts were read.
std::optional<kernel::Endpoint> PartSource::find(const ServerRecord &target, std::size_t held,
                                                 const HallSet &allowed) const
{
    const Prompt &prompt = *requirements_.prompt;
    if (held >= sharedPrefixes(prompt).size()) {
        return std::nullopt;
    }
    const auto mayBeSource = [&](const ServerRecord &record) {
        const bool tried = std::ranges::find(requirements_.tried, record.server.id)
                           != requirements_.tried.end();
        return record.server.service == requirements_.service && allowed[record.hall]
               && &record != &target && !tried && !view_.health.isSuspected(record, view_.now);
    };
    if (const ServerRecord *holder = firstNamed(requirements_.holders, mayBeSource)) {
        return holder->server.address;
    }
    for (const std::string &id : view_.parts.holders(prompt, held, view_.now)) {
        const ServerRecord *record = view_.index.find(id);
        if (record != nullptr && mayBeSource(*record)) {
            return record->server.address;
        }
    }
    // A server known to hold the first part is better than a guess: many prompts begin with that
    // part, so it is also at engines that never had this prompt.
    const ServerRecord *firstPartHolder =
            held == 0 ? firstNamed(requirements_.firstPartHolders, mayBeSource) : nullptr;
    const ServerRecord *source =
            firstPartHolder != nullptr ? firstPartHolder : guessed(mayBeSource);
    return source == nullptr ? std::nullopt : std::optional(source->server.address);
}

const ServerRecord *PartSource::firstNamed(const std::vector<std::uint32_t> &hashes,
                                           const MayBeSource &mayBeSource) const
{
    for (const std::uint32_t hash : hashes) {
        const ServerRecord *record = view_.index.findShort(hash);
        if (record != nullptr && mayBeSource(*record)) {
            return record;
        }
    }
    return nullptr;
}

const ServerRecord *PartSource::guessed(const MayBeSource &mayBeSource) const
{
    const ServiceServers *service = view_.index.service(requirements_.service);
    if (service == nullptr) {
        return nullptr;
    }
    const std::uint64_t key = sharedPartsKey(*requirements_.prompt);
    CandidateOrder established(service->table, key, [&](const ServerRecord &record) {
        return view_.now - record.since >= view_.newServerAge && mayBeSource(record);
    });
    const ServerRecord *source = established.next();
    return source != nullptr ? source : CandidateOrder(service->table, key, mayBeSource).next();
}

bool PartSource::known(const Choice &choice) const
{
    const std::size_t shared = sharedPrefixes(*requirements_.prompt).size();
    const bool anyNamed = std::ranges::any_of(requirements_.holders, [this](std::uint32_t hash) {
        return view_.index.findShort(hash) != nullptr;
    });
    return choice.held >= shared || anyNamed
           || !view_.parts.holders(*requirements_.prompt, shared - 1, view_.now).empty();
}

} // namespace limereel::forward
