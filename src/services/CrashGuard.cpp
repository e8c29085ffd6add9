#include "services/CrashGuard.h"

#include <algorithm>
#include <utility>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

// A request that crashes servers does so as it begins to run.
constexpr kernel::Duration StartPhase = 1s;

} // namespace

AttemptOutcome attemptOutcomeOf(outcome::FailurePoint point)
{
    using outcome::FailurePoint;
    switch (point) {
    case FailurePoint::PartSent:
    case FailurePoint::AllSent:
    case FailurePoint::AnswerBegun:
        return AttemptOutcome::Lost;
    case FailurePoint::AnsweredFailure:
        return AttemptOutcome::Failed;
    default:
        return AttemptOutcome::Nothing;
    }
}

CrashGuard::CrashGuard(Context &context)
    : context_(context)
    , crashes_(context.kernel.find<CrashService>("crashes"))
{
}

CrashGuard::~CrashGuard()
{
    handBack();
}

void CrashGuard::setParts(forward::IdentityParts parts, const forward::Prompt *prompt)
{
    features_ = forward::RequestFeatures(parts, prompt);
}

bool CrashGuard::mayBeSent()
{
    const forward::SendVerdict now = crashes_.verdict(crashes_.recordedOf(features_));
    return now.restriction == forward::SendRestriction::Free
           || (now.restriction == forward::SendRestriction::Alone && isAlone());
}

void CrashGuard::handBack()
{
    for (const AloneGrant &grant : std::exchange(grants_, {})) {
        crashes_.handBack(grant);
    }
}

std::uint64_t CrashGuard::takeGrant(const forward::RequestIdentity &feature)
{
    const auto grant = std::ranges::find(grants_, feature, &AloneGrant::feature);
    return grant == grants_.end() ? 0 : std::exchange(grant->ask, 0);
}

asio::awaitable<SendPermission> CrashGuard::acquireSendPermission(kernel::Duration longest)
{
    // The previous attempt didn't use its grants.
    handBack();
    firstPiece_.reset();
    pastStart_ = false;
    SendPermission permission;
    std::vector<forward::CrashFeature> recorded = crashes_.recordedOf(features_);
    if (crashes_.verdict(recorded).restriction != forward::SendRestriction::Free) {
        permission = co_await crashes_.requestSendPermission(std::move(recorded), longest);
        grants_ = permission.grants;
    }
    co_return permission;
}

// An answer that reports a failure clears the request itself, but not the parts of its prompt: the
// server need not have begun to answer on them.
void CrashGuard::noteHealthy(AttemptOutcome result)
{
    for (const forward::CrashFeature &feature : crashes_.recordedOf(features_)) {
        if (result == AttemptOutcome::Whole || feature.place == 0) {
            crashes_.noteAnswered(feature.identity, takeGrant(feature.identity));
        }
    }
    handBack();
}

void CrashGuard::notePiece()
{
    const kernel::Instant now = context_.now();
    if (!firstPiece_) {
        firstPiece_ = now;
    }
    if (!pastStart_ && now - *firstPiece_ >= StartPhase) {
        pastStart_ = true;
        noteHealthy(AttemptOutcome::Whole);
    }
}

LostAttempt CrashGuard::lostAt(AttemptServer server)
{
    LostAttempt lost{{}, std::move(server.id), server.incarnationKey, std::move(server.address)};
    for (const forward::CrashFeature &feature : features_.all()) {
        const std::uint64_t grant = takeGrant(feature.identity);
        lost.features.push_back({feature.identity, grant, grant != 0});
    }
    handBack();
    return lost;
}

asio::awaitable<void> CrashGuard::noteEnd(AttemptOutcome result, AttemptServer server)
{
    const bool ended = result == AttemptOutcome::Lost || result == AttemptOutcome::Interrupted;
    const bool starting = !firstPiece_ || context_.now() - *firstPiece_ < StartPhase;
    if (result == AttemptOutcome::Whole || result == AttemptOutcome::Failed) {
        noteHealthy(result);
    }
    if (!ended || !starting) {
        co_return;
    }
    const bool wasAlone = isAlone();
    if (result == AttemptOutcome::Lost) {
        LostAttempt lost = lostAt(std::move(server));
        co_await crashes_.noteLost(std::move(lost));
    } else if (wasAlone) {
        crashes_.noteInterrupted(lostAt(std::move(server)));
    }
}

} // namespace limereel::services
