#include "forward/ServerRecord.h"

#include <cmath>

namespace limereel::forward {

namespace {

// What others run is told now and then; an old word fades to half in this time.
constexpr double OthersHalfLife = 1.5;
// A share of failed answers fades to half in this time, so that a server gets another chance.
constexpr double ErrorsHalfLife = 4;
constexpr double ErrorWeight = 0.12;
// Less than a hundredth of a request or of a share decides nothing; then a record is put away.
constexpr double Negligible = 0.01;
// After this, that connecting brought nothing back is no word on the server any more.
constexpr kernel::Duration NoResponseKept = 10s;

double faded(double value, kernel::Duration age, double halfLife)
{
    const double left = value * std::exp2(-kernel::seconds(age) / halfLife);
    return left < Negligible ? 0 : left;
}

} // namespace

double ServerRecord::load(kernel::Instant now) const
{
    return own + (others > 0 ? faded(others, now - othersAt, OthersHalfLife) : 0);
}

double ServerRecord::errorShare(kernel::Instant now) const
{
    return errors > 0 ? faded(errors, now - errorsAt, ErrorsHalfLife) : 0;
}

void ServerRecord::noteError(kernel::Instant now)
{
    errors = errorShare(now) * (1 - ErrorWeight) + ErrorWeight;
    errorsAt = now;
}

void ServerRecord::noteGoodAnswer(kernel::Instant now)
{
    errors = errorShare(now) * (1 - ErrorWeight);
    errorsAt = now;
}

bool ServerRecord::unansweredLately(kernel::Instant now) const
{
    return noResponseAt != kernel::Instant() && now - noResponseAt < NoResponseKept;
}

bool ServerRecord::hasDefaultState(kernel::Instant now) const
{
    return own == 0 && failuresInARow == 0 && now >= suspectedUntil && now >= fullUntil
           && !inBackoff(now) && load(now) == 0 && errorShare(now) == 0 && !unansweredLately(now);
}

} // namespace limereel::forward
