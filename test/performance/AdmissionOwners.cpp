#include "performance/AdmissionOwners.h"

#include "peer/Envelope.h"
#include "peer/Messages.h"

#include <algorithm>
#include <cmath>

namespace limereel::performance {

using admission::Decision;
using admission::PlaceBookPolicy;
using kernel::Duration;
using kernel::Instant;

namespace {

constexpr Duration SettleEach = 5ms;
constexpr std::size_t IpAndUdpHeaders = 28;
constexpr std::uint64_t LargeHash = ~0ULL;

std::size_t wire(const peer::Message &message)
{
    return peer::encode(message).size() + peer::EnvelopeBytes + IpAndUdpHeaders;
}

// Messages of usual values.
std::size_t askBytes()
{
    peer::AskPermit ask;
    ask.request = ask.router = ask.organisation = ask.resource = LargeHash;
    ask.caller = ask.identity = LargeHash;
    ask.waitMs = 300;
    ask.lateMs = 2000;
    ask.leaseMs = 2500;
    ask.slots = 24;
    return wire(ask);
}

std::size_t answerBytes()
{
    peer::PermitAnswer answer;
    answer.request = LargeHash;
    answer.comeBackMs = answer.waitMs = 300;
    return wire(answer);
}

std::size_t endBytes()
{
    peer::GiveBack end;
    end.request = end.resource = LargeHash;
    end.firstMs = 300;
    return wire(end);
}

} // namespace

GradientLimit::GradientLimit(std::uint32_t slots, std::uint32_t most)
    : limit_(slots)
    , most_(most)
{
}

void GradientLimit::noteHeld(Duration held)
{
    constexpr double Tolerance = 2; // The work of requests differs by a factor of three.
    constexpr double Weight = 0.1;
    const double seconds = kernel::seconds(held);
    shortest_ = shortest_ == 0 ? seconds : std::min(shortest_, seconds);
    recent_ = recent_ == 0 ? seconds : recent_ + Weight * (seconds - recent_);
    const double gradient = std::clamp(Tolerance * shortest_ / recent_, 0.5, 1.0);
    const double next = gradient * limit_ + std::sqrt(limit_);
    limit_ = std::clamp(limit_ + Weight * (next - limit_), 2.0, most_);
}

DelayLimit::DelayLimit(std::uint32_t slots, std::uint32_t most)
    : limit_(slots)
    , most_(most)
{
}

void DelayLimit::noteHeld(Duration held, Instant now)
{
    constexpr double Accepted = 0.1; // Of the mean time of a place.
    constexpr double Decrease = 0.9;
    constexpr double Weight = 0.1;
    const double seconds = kernel::seconds(held);
    shortest_ = shortest_ == 0 ? seconds : std::min(shortest_, seconds);
    mean_ = mean_ == 0 ? seconds : mean_ + Weight * (seconds - mean_);
    lately_ = lately_ == 0 ? seconds : std::min(lately_, seconds);
    limit_ = std::min(most_, limit_ + 1 / limit_);
    if (now >= roundUntil_) {
        if (lately_ - shortest_ > Accepted * mean_) {
            limit_ = std::max(2.0, limit_ * Decrease);
        }
        lately_ = 0;
        roundUntil_ = now + std::chrono::round<Duration>(std::chrono::duration<double>(mean_));
    }
}

AdmissionOwners::AdmissionOwners(AdmissionNet &net, const AdmissionLoad &load, std::size_t boxes,
                                 LimitKind kind, Deliver deliver)
    : net_(net)
    , slots_(load.slots)
    , kind_(kind)
    , deliver_(std::move(deliver))
    , ticking_(boxes)
    , askBytes_(askBytes())
    , answerBytes_(answerBytes())
    , endBytes_(endBytes())
{
    PlaceBookPolicy policy;
    if (kind != LimitKind::Aimd) {
        policy.capacity.turnaround = 0ms;
    }
    if (kind != LimitKind::Aimd && kind != LimitKind::AimdOneAhead) {
        policy.capacity.decrease = 1; // The limit is what the asks say of the slots.
    }
    for (std::size_t box = 0; box < boxes; ++box) {
        books_.emplace_back(policy);
    }
    const std::uint32_t most = load.slots + load.queue;
    for (std::size_t index = 0; index < load.servers; ++index) {
        servers_.push_back({index * boxes / load.servers, GradientLimit(load.slots, most),
                            DelayLimit(load.slots, most)});
    }
}

// The book grants one place more than the slots where nothing is granted ahead.
std::uint32_t AdmissionOwners::slotsTold(const Server &server) const
{
    const auto less = [](double limit) {
        return std::max(1U, static_cast<std::uint32_t>(limit) - 1);
    };
    switch (kind_) {
    case LimitKind::Aimd:
    case LimitKind::AimdOneAhead:
        break;
    case LimitKind::Fixed:
        return less(slots_);
    case LimitKind::Gradient:
        return less(server.gradient.limit());
    case LimitKind::Delay:
        return less(server.delay.limit());
    }
    return slots_;
}

void AdmissionOwners::ask(std::size_t server, admission::PlaceRequest request)
{
    const std::size_t owner = servers_[server].owner;
    request.server = server;
    net_.tell(request.box, owner, askBytes_, [this, owner, server, request]() mutable {
        request.slots = slotsTold(servers_[server]);
        answer(owner, books_[owner].ask(request, net_.now(), net_.random()));
        startTicks(owner);
    });
}

void AdmissionOwners::end(std::size_t box, std::size_t server, admission::PlaceEnd end,
                          Duration held)
{
    const std::size_t owner = servers_[server].owner;
    net_.tell(box, owner, endBytes_, [this, owner, server, end, held] {
        if (!end.unused && !end.rejected) {
            servers_[server].gradient.noteHeld(held);
            servers_[server].delay.noteHeld(held, net_.now());
        }
        books_[owner].end(end, net_.now());
        settle(owner);
    });
}

void AdmissionOwners::answer(std::size_t owner, const Decision &decision)
{
    net_.tell(owner, decision.box, answerBytes_, [this, decision] { deliver_(decision); });
}

void AdmissionOwners::settle(std::size_t owner)
{
    for (const Decision &decision : books_[owner].settle(net_.now(), net_.random())) {
        answer(owner, decision);
    }
    startTicks(owner);
}

void AdmissionOwners::startTicks(std::size_t owner)
{
    if (ticking_[owner] || !books_[owner].anyWaiting()) {
        return;
    }
    ticking_[owner] = true;
    net_.after(SettleEach, [this, owner] {
        ticking_[owner] = false;
        books_[owner].expire(net_.now());
        settle(owner);
    });
}

} // namespace limereel::performance
