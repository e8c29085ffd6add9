#include "performance/AdmissionNet.h"

#include <algorithm>

namespace limereel::performance {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr std::uint32_t LostOneIn = 100;

} // namespace

AdmissionNet::AdmissionNet(std::size_t boxes, std::uint64_t seed)
    : random_(seed)
    , messages_(boxes)
    , bytes_(boxes)
{
}

void AdmissionNet::after(Duration wait, std::function<void()> what)
{
    events_.push({now_ + std::max(wait, Duration(0)), ++order_, std::move(what)});
}

void AdmissionNet::step()
{
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.what();
}

void AdmissionNet::runUntil(Instant end)
{
    while (!events_.empty() && events_.top().at <= end) {
        step();
    }
    now_ = end;
}

void AdmissionNet::run()
{
    while (!events_.empty()) {
        step();
    }
}

void AdmissionNet::tell(std::size_t from, std::size_t to, std::size_t bytes,
                        std::function<void()> what)
{
    if (from == to) {
        after(Duration(0), std::move(what));
        return;
    }
    for (const std::size_t box : {from, to}) {
        messages_[box] += 1;
        bytes_[box] += static_cast<double>(bytes);
    }
    if (random_() % LostOneIn != 0) {
        after(Hop, std::move(what));
    }
}

double AdmissionNet::mostMessages() const
{
    return std::ranges::max(messages_);
}

double AdmissionNet::mostBytes() const
{
    return std::ranges::max(bytes_);
}

} // namespace limereel::performance
