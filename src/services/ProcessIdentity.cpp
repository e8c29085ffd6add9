#include "services/ProcessIdentity.h"

namespace limereel::services {

namespace {

// A box keeps nothing, so what tells this process from the one before it is the time of its start.
// One whose clock was set back learns so from the others, which still speak of the earlier process
// (MembershipService).
std::uint64_t incarnationNow()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

void identifyProcess(Context &context)
{
    context.incarnation = incarnationNow();
    const std::uint64_t seed = context.settings.seed;
    const std::uint64_t chance = std::random_device()() ^ context.settings.box.hash();
    context.random.seed(seed != 0 ? seed : chance);
}

} // namespace limereel::services
