#include "peer/FeedRecord.h"

#include <algorithm>

namespace limereel::peer {

using kernel::Instant;

namespace {

std::optional<std::int64_t> told(Instant question, const std::optional<Instant> &when)
{
    return when ? std::optional(sinceQuestion(question, *when)) : std::nullopt;
}

} // namespace

void FeedRecord::replace(std::vector<store::KeptObject> objects, std::uint64_t at, Instant told)
{
    history_.replace(std::move(objects), at, told);
}

void FeedRecord::change(std::vector<store::KeptObject> objects, std::uint64_t at, Instant told)
{
    history_.change(std::move(objects), at, told);
}

void FeedRecord::confirm(Instant asOf)
{
    confirmedAsOf_ = std::max(asOf, confirmedAsOf_.value_or(asOf));
}

void FeedRecord::noteStoreFailure(Instant when)
{
    storeFailedAt_ = std::max(when, storeFailedAt_.value_or(when));
}

bool FeedRecord::answersAtOnce(const FeedAsk &ask) const
{
    return lost_ || !history_.at() || history_.hasNewsSince(ask.at);
}

FeedAnswer FeedRecord::answer(const FeedAsk &ask, Instant question, std::size_t largest) const
{
    FeedAnswer answer;
    answer.question = ask.question;
    answer.lost = lost_ || !history_.at() || !confirmedAsOf_;
    answer.storeFailedMs = told(question, storeFailedAt_);
    if (!history_.at() || !confirmedAsOf_) {
        return answer;
    }
    store::FeedNews news = history_.since(ask.at);
    answer.at = news.at;
    answer.whole = news.whole;
    answer.objects = std::move(news.objects);
    answer.confirmedMs = told(question, confirmedAsOf_);
    answer.toldMs = told(question, news.told);
    for (store::KeptObject &object : answer.objects) {
        if (object.text.size() > largest && !ask.largeToo) {
            object.large = true;
            object.text.clear();
        }
    }
    return answer;
}

Verdict judge(const FeedAnswer &answer, const FeedAsk &ask, Instant asked, Instant now,
              kernel::Duration oldest)
{
    if (answer.question != ask.question) {
        return Verdict::Foreign;
    }
    if (answer.lost || !answer.confirmedMs) {
        return Verdict::Lost;
    }
    const Instant asOf = forAsker(asked, *answer.confirmedMs);
    return now - asOf > oldest ? Verdict::Old : Verdict::Good;
}

} // namespace limereel::peer
