#include "services/CrashGuard.h"

#include <utility>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

// A request that ends servers does so as it begins to run.
constexpr kernel::Duration BeginsWithin = 1s;

} // namespace

AttemptOutcome attemptOutcomeOf(outcome::Point point)
{
    using outcome::Point;
    switch (point) {
    case Point::PartSent:
    case Point::AllSent:
    case Point::AnswerBegun:
        return AttemptOutcome::Lost;
    case Point::AnsweredFailure:
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

bool CrashGuard::isKnown() const
{
    return crashes_.concerns(shape_);
}

bool CrashGuard::needsLeave()
{
    return isKnown() && crashes_.standing(identity()) != forward::Standing::Free;
}

void CrashGuard::handBack()
{
    if (aloneGrant_ != 0) {
        crashes_.handBack(identity(), std::exchange(aloneGrant_, 0));
    }
}

asio::awaitable<SendPermission> CrashGuard::acquireSendPermission(kernel::Duration longest)
{
    // The attempt before didn't use it.
    handBack();
    firstPiece_.reset();
    sound_ = false;
    SendPermission leave;
    if (needsLeave()) {
        forward::RequestIdentity request = identity();
        leave = co_await crashes_.requestSendPermission(request, longest);
        aloneGrant_ = leave.aloneGrant;
    }
    co_return leave;
}

void CrashGuard::noteSound()
{
    if (aloneGrant_ != 0 || isKnown()) {
        crashes_.noteAnswered(identity(), std::exchange(aloneGrant_, 0));
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

asio::awaitable<void> CrashGuard::noteEnd(AttemptOutcome sight, AttemptServer server)
{
    const bool ended = sight == AttemptOutcome::Lost || sight == AttemptOutcome::Interrupted;
    const bool beginning = !firstPiece_ || context_.now() - *firstPiece_ < BeginsWithin;
    if (sight == AttemptOutcome::Whole) {
        noteSound();
    }
    if (!ended || !beginning) {
        co_return;
    }
    const bool wasAlone = aloneGrant_ != 0;
    LostAttempt lost{identity(),     std::move(server.id),          server.incarnationKey,
                     server.address, std::exchange(aloneGrant_, 0), wasAlone};
    if (sight == AttemptOutcome::Lost) {
        co_await crashes_.noteLost(std::move(lost));
    } else if (wasAlone) {
        crashes_.noteInterrupted(std::move(lost));
    }
}

} // namespace limereel::services
