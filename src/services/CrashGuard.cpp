#include "services/CrashGuard.h"

#include <utility>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

// A request that ends servers does so as it begins to run.
constexpr kernel::Duration BeginsWithin = 1s;

} // namespace

AttemptSight sightOf(outcome::FailurePoint point)
{
    using outcome::FailurePoint;
    switch (point) {
    case FailurePoint::PartSent:
    case FailurePoint::AllSent:
    case FailurePoint::AnswerBegun:
        return AttemptSight::Lost;
    case FailurePoint::AnsweredFailure:
        return AttemptSight::Whole;
    default:
        return AttemptSight::Nothing;
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

bool CrashGuard::isKnown() const
{
    return crashes_.concerns(shape_);
}

bool CrashGuard::needsLeave()
{
    return isKnown() && crashes_.restriction(identity()) != forward::SendRestriction::Free;
}

void CrashGuard::handBack()
{
    if (alone_ != 0) {
        crashes_.handBack(identity(), std::exchange(alone_, 0));
    }
}

asio::awaitable<SendLeave> CrashGuard::takeLeave(kernel::Duration longest)
{
    // The attempt before didn't use it.
    handBack();
    firstPiece_.reset();
    sound_ = false;
    SendLeave leave;
    if (needsLeave()) {
        forward::RequestIdentity request = identity();
        leave = co_await crashes_.askLeave(request, longest);
        alone_ = leave.alone;
    }
    co_return leave;
}

void CrashGuard::noteSound()
{
    if (alone_ != 0 || isKnown()) {
        crashes_.noteAnswered(identity(), std::exchange(alone_, 0));
    }
}

void CrashGuard::notePiece()
{
    const kernel::Instant now = context_.now();
    if (!firstPiece_) {
        firstPiece_ = now;
    }
    if (!sound_ && now - *firstPiece_ >= BeginsWithin) {
        sound_ = true;
        noteSound();
    }
}

asio::awaitable<void> CrashGuard::noteEnd(AttemptSight sight, AttemptServer server)
{
    const bool ended = sight == AttemptSight::Lost || sight == AttemptSight::Interrupted;
    const bool beginning = !firstPiece_ || context_.now() - *firstPiece_ < BeginsWithin;
    if (sight == AttemptSight::Whole) {
        noteSound();
    }
    if (!ended || !beginning) {
        co_return;
    }
    const bool wasAlone = alone_ != 0;
    LostAttempt lost{identity(),     std::move(server.id),     server.life,
                     server.address, std::exchange(alone_, 0), wasAlone};
    if (sight == AttemptSight::Lost) {
        co_await crashes_.noteLost(std::move(lost));
    } else if (wasAlone) {
        crashes_.noteUnsettled(std::move(lost));
    }
}

} // namespace limereel::services
