#include "services/CrashBroadcast.h"

#include "peer/Messages.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"

#include <algorithm>
#include <array>
#include <random>

namespace limereel::services {

using forward::CrashRecord;
using forward::RequestIdentity;

namespace {

// A record is sent to all boxes at once, and again after these delays.
constexpr std::array<kernel::Duration, 2> ResendDelays = {300ms, 1200ms};
constexpr std::size_t RecordsPerMessage = 8; ///< Fit one datagram under an MTU of 1,500 bytes.
constexpr std::size_t MaxRecordsForNewcomer = 256;
// Expected number of boxes that send their records to a box that has just started.
constexpr double NewcomerSenders = 6;

} // namespace

void CrashBroadcast::sweep()
{
    sendDueResends();
    sendToNewcomers();
    sendToRandomBox();
}

void CrashBroadcast::sendOnceToAll(const RequestIdentity &feature)
{
    const auto &members = context_.kernel.find<MembershipService>("membership");
    const std::vector<CrashRecord> records = {book_.record(feature)};
    for (const membership::BoxState &state : members.states()) {
        sendTo(state.box, records);
    }
}

void CrashBroadcast::sendToAll(const RequestIdentity &feature)
{
    sendOnceToAll(feature);
    const bool again = std::ranges::any_of(
            resends_, [&](const Resend &resend) { return resend.feature == feature; });
    if (!again) {
        for (const kernel::Duration after : ResendDelays) {
            resends_.push_back({feature, context_.now() + after});
        }
    }
}

void CrashBroadcast::sendTo(std::uint64_t box, const std::vector<CrashRecord> &records)
{
    const auto &members = context_.kernel.find<MembershipService>("membership");
    const auto address = members.addressOf(box);
    if (box == members.self() || !address) {
        return;
    }
    auto &peer = context_.kernel.find<PeerService>("peer");
    for (std::size_t first = 0; first < records.size(); first += RecordsPerMessage) {
        const std::size_t last = std::min(first + RecordsPerMessage, records.size());
        peer::CrashWord notice;
        notice.records.assign(records.begin() + static_cast<std::ptrdiff_t>(first),
                              records.begin() + static_cast<std::ptrdiff_t>(last));
        peer.send(*address, notice);
    }
}

void CrashBroadcast::sendDueResends()
{
    const kernel::Instant now = context_.now();
    std::vector<RequestIdentity> due;
    std::erase_if(resends_, [&](const Resend &resend) {
        if (resend.due <= now) {
            due.push_back(resend.feature);
        }
        return resend.due <= now;
    });
    for (const RequestIdentity &feature : due) {
        sendOnceToAll(feature);
    }
}

// A box that has just started has none of the records that were sent to all boxes before.
void CrashBroadcast::sendToNewcomers()
{
    const auto &members = context_.kernel.find<MembershipService>("membership");
    const std::vector<membership::BoxState> states = members.states();
    std::vector<CrashRecord> records = book_.shared();
    records.resize(std::min(records.size(), MaxRecordsForNewcomer));
    std::uniform_real_distribution<double> chance(0, static_cast<double>(states.size()));
    std::map<std::uint64_t, std::uint64_t> now;
    for (const membership::BoxState &state : states) {
        now[state.box] = state.incarnation;
        const auto before = incarnations_.find(state.box);
        const bool isNew = before == incarnations_.end() || before->second != state.incarnation;
        if (isNew && !records.empty() && chance(context_.random) < NewcomerSenders) {
            sendTo(state.box, records);
        }
    }
    incarnations_ = std::move(now);
}

// Sends some records in turn to a random box, so that records that were lost in the network or
// during a partition arrive eventually.
void CrashBroadcast::sendToRandomBox()
{
    const std::vector<CrashRecord> records = book_.shared();
    const auto &members = context_.kernel.find<MembershipService>("membership");
    const std::vector<membership::BoxState> states = members.states();
    if (records.empty() || states.empty()) {
        return;
    }
    std::vector<CrashRecord> some;
    for (std::size_t count = 0; count < std::min(RecordsPerMessage, records.size()); ++count) {
        some.push_back(records[(nextRecord_ + count) % records.size()]);
    }
    nextRecord_ += some.size();
    sendTo(states[context_.random() % states.size()].box, some);
}

} // namespace limereel::services
