#include "forward/ServerRecord.h"

#include <cmath>

namespace limereel::forward {

namespace {

// Half-life, in seconds, of the reported load of other boxes, which they report only now and then.
constexpr double OthersHalfLife = 1.5;
// Half-life, in seconds, of the share of failed answers; the decay gives a server another chance.
constexpr double ErrorsHalfLife = 4;
constexpr double ErrorWeight = 0.12;
// Smaller loads and shares don't affect any decision; they count as zero, so that the record can
// return to its default state.
constexpr double Negligible = 0.01;
// How long an unanswered connection attempt counts as evidence against the server.
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
           && !inBackoff(now) && load(now) == 0 && errorShare(now) == 0 && !unansweredLately(now)
           && pace.mean(now) == kernel::Duration(0);
}

} // namespace limereel::forward
