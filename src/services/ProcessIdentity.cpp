#include "services/ProcessIdentity.h"

namespace limereel::services {

namespace {

// A box has no persistent storage, so its start time is its incarnation number. If the clock was
// set back, the box learns that from the other boxes, whose heartbeats still name the incarnation
// of the earlier process; see MembershipService.
std::uint64_t incarnationNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

void identifyProcess(Context &context)
{
    context.incarnation = incarnationNow();
    const std::uint64_t seed = context.settings.seed;
    const std::uint64_t systemSeed = std::random_device()() ^ context.settings.box.hash();
    context.random.seed(seed != 0 ? seed : systemSeed);
}

} // namespace limereel::services
