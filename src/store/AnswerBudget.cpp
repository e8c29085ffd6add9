#include "store/AnswerBudget.h"

namespace limereel::store {

namespace {

constexpr double SecondsOfLink = 0.5;
constexpr double UntoldMbps = 100;
constexpr double BytesPerMegabit = 125000;
// Changes of a second, of some hundred servers.
constexpr std::size_t SmallAnswer = std::size_t{64} * 1024;

} // namespace

AnswerBudget::AnswerBudget(double linkMbps)
    : most_(static_cast<std::size_t>((linkMbps > 0 ? linkMbps : UntoldMbps) * BytesPerMegabit
                                     * SecondsOfLink))
{
}

bool AnswerBudget::take(std::size_t bytes)
{
    const bool alone = held_ == 0;
    if (!alone && bytes > SmallAnswer && held_ + bytes > most_) {
        return false;
    }
    held_ += bytes;
    return true;
}

} // namespace limereel::store
