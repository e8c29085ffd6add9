#include "store/AnswerBudget.h"

namespace limereel::store {

namespace {

constexpr double BudgetSeconds = 0.5;
constexpr double DefaultMbps = 100;
constexpr double BytesPerMegabit = 125000;
// Holds the changes of a few hundred servers within one second.
constexpr std::size_t SmallAnswer = std::size_t{64} * 1024;

} // namespace

AnswerBudget::AnswerBudget(double linkMbps)
    : maxBytes_(static_cast<std::size_t>((linkMbps > 0 ? linkMbps : DefaultMbps) * BytesPerMegabit
                                         * BudgetSeconds))
{
}

bool AnswerBudget::take(std::size_t bytes)
{
    const bool onlyAnswer = held_ == 0;
    if (!onlyAnswer && bytes > SmallAnswer && held_ + bytes > maxBytes_) {
        return false;
    }
    held_ += bytes;
    return true;
}

} // namespace limereel::store
