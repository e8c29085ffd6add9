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

const char *text(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Good:
        return "good";
    case Verdict::Foreign:
        return "foreign";
    case Verdict::Behind:
        return "behind";
    case Verdict::Lost:
        return "lost";
    case Verdict::Old:
        return "old";
    case Verdict::Large:
        break;
    }
    return "large";
}

bool tellsSomething(Verdict verdict)
{
    return verdict != Verdict::Foreign && verdict != Verdict::Behind;
}

Verdict judge(const FeedAnswer &answer, const AskState &asker)
{
    if (answer.question != asker.ask.question) {
        return Verdict::Foreign;
    }
    const bool tells = answer.confirmedMs.has_value();
    if (tells && asker.ask.at == 0 && answer.at < asker.known) {
        return Verdict::Behind;
    }
    const bool large = std::ranges::any_of(answer.objects, &store::KeptObject::large);
    if (large && asker.ask.largeToo) {
        return Verdict::Large;
    }
    if (answer.lost || !tells) {
        return Verdict::Lost;
    }
    const Instant asOf = forAsker(asker.asked, *answer.confirmedMs);
    return asker.now - asOf > asker.oldest ? Verdict::Old : Verdict::Good;
}

} // namespace limereel::peer
