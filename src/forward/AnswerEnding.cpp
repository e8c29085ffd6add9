#include "forward/AnswerEnding.h"

namespace limereel::forward {

const char *text(Completeness completeness)
{
    switch (completeness) {
    case Completeness::Complete:
        return "complete";
    case Completeness::Unmarked:
        return "unmarked";
    case Completeness::BrokenOff:
        break;
    }
    return "broken-off";
}

Completeness completenessOf(const AnswerEnding &ending)
{
    // Whatever the framing says: no server stops inside an event on purpose.
    if (ending.eventStream && ending.insideEvent) {
        return Completeness::BrokenOff;
    }
    if (isMarked(ending.end)) {
        return Completeness::Complete;
    }
    const bool nothingCame = ending.eventStream && !ending.anyEvent;
    return nothingCame || ending.serverGone ? Completeness::BrokenOff : Completeness::Unmarked;
}

bool needsServerState(const AnswerEnding &ending)
{
    return completenessOf(ending) == Completeness::Unmarked;
}

} // namespace limereel::forward
