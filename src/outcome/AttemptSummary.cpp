#include "outcome/AttemptSummary.h"

namespace limereel::outcome {

namespace {

// "Ran" outweighs "unknown".
int weight(Ran ran)
{
    switch (ran) {
    case Ran::NotRun:
        return 0;
    case Ran::Unknown:
        return 1;
    case Ran::Ran:
        break;
    }
    return 2;
}

} // namespace

void AttemptSummary::add(const Verdict &verdict)
{
    latest_ = verdict;
    if (weight(verdict.ran) > weight(furthest_.ran)) {
        furthest_ = verdict;
    }
}

Verdict AttemptSummary::finalVerdict(const Verdict &last) const
{
    if (weight(furthest_.ran) > weight(last.ran)) {
        return furthest_;
    }
    const bool noEngineLeft = last.code == ResultCode::NoEngine && latest_.code != ResultCode::Ok;
    return noEngineLeft ? latest_ : last;
}

} // namespace limereel::outcome
