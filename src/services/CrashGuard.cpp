#include "services/CrashGuard.h"

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
        return AttemptOutcome::Whole;
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

void CrashGuard::setParts(forward::IdentityParts parts)
{
    organisation_ = parts.organisation;
    parts_ = parts;
    parts_.organisation = organisation_;
    shape_ = forward::shapeOf(parts_);
}

const forward::RequestIdentity &CrashGuard::identity()
{
    if (!identity_) {
        identity_ = forward::identityOf(parts_);
    }
    return *identity_;
}

bool CrashGuard::hasRecords() const
{
    return crashes_.concerns(shape_);
}

bool CrashGuard::needsPermission()
{
    return hasRecords() && crashes_.restriction(identity()) != forward::SendRestriction::Free;
}

void CrashGuard::handBack()
{
    if (aloneGrant_ != 0) {
        crashes_.handBack(identity(), std::exchange(aloneGrant_, 0));
    }
}

asio::awaitable<SendPermission> CrashGuard::acquireSendPermission(kernel::Duration longest)
{
    // The previous attempt didn't use its grant.
    handBack();
    firstPiece_.reset();
    pastStart_ = false;
    SendPermission permission;
    if (needsPermission()) {
        forward::RequestIdentity request = identity();
        permission = co_await crashes_.requestSendPermission(request, longest);
        aloneGrant_ = permission.aloneGrant;
    }
    co_return permission;
}

void CrashGuard::noteHealthy()
{
    if (aloneGrant_ != 0 || hasRecords()) {
        crashes_.noteAnswered(identity(), std::exchange(aloneGrant_, 0));
    }
}

void CrashGuard::notePiece()
{
    const kernel::Instant now = context_.now();
    if (!firstPiece_) {
        firstPiece_ = now;
    }
    if (!pastStart_ && now - *firstPiece_ >= StartPhase) {
        pastStart_ = true;
        noteHealthy();
    }
}

asio::awaitable<void> CrashGuard::noteEnd(AttemptOutcome result, AttemptServer server)
{
    const bool ended = result == AttemptOutcome::Lost || result == AttemptOutcome::Interrupted;
    const bool starting = !firstPiece_ || context_.now() - *firstPiece_ < StartPhase;
    if (result == AttemptOutcome::Whole) {
        noteHealthy();
    }
    if (!ended || !starting) {
        co_return;
    }
    const bool wasAlone = aloneGrant_ != 0;
    LostAttempt lost{identity(),     std::move(server.id),          server.incarnationKey,
                     server.address, std::exchange(aloneGrant_, 0), wasAlone};
    if (result == AttemptOutcome::Lost) {
        co_await crashes_.noteLost(std::move(lost));
    } else if (wasAlone) {
        crashes_.noteInterrupted(std::move(lost));
    }
}

} // namespace limereel::services
