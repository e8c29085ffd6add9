#include "forward/AnswerPace.h"

#include <cmath>

namespace limereel::forward {

namespace {

// Single slow answers average out, and a server that has recovered is found within seconds.
constexpr double HalfLifeAnswers = 3;
constexpr double HalfLifeSeconds = 3;
// A mean that is older than four half-lives says little and is forgotten, so that the record of a
// server that is no longer used returns to its default state.
constexpr kernel::Duration Kept = 12s;
// Smaller factors between two paces count as noise of a shared machine.
constexpr double LeastFactor = 2;

double decay(kernel::Duration age)
{
    return std::exp2(-kernel::seconds(age) / HalfLifeSeconds);
}

} // namespace

// Time takes weight from the earlier answers and not from their mean, so that the mean of a server
// that is seldom used isn't too low.
void AnswerPace::note(kernel::Duration taken, kernel::Instant now)
{
    const bool first = mean(now) == kernel::Duration(0);
    const double kept = first ? 0 : std::exp2(-1 / HalfLifeAnswers) * decay(now - notedAt_);
    mean_ = std::chrono::round<kernel::Duration>(mean_ * kept + taken * (1 - kept));
    notedAt_ = now;
}

kernel::Duration AnswerPace::mean(kernel::Instant now) const
{
    return now - notedAt_ < Kept ? mean_ : kernel::Duration(0);
}

kernel::Duration AnswerPace::current(kernel::Instant now) const
{
    return std::chrono::round<kernel::Duration>(mean(now) * decay(now - notedAt_));
}

double paceFactor(kernel::Duration pace, kernel::Duration best)
{
    if (best <= kernel::Duration(0) || pace < best * LeastFactor) {
        return 1;
    }
    return static_cast<double>(pace.count()) / static_cast<double>(best.count());
}

} // namespace limereel::forward
