#include "peer/FeedRecord.h"

#include <algorithm>
#include <limits>

namespace limereel::peer {

using kernel::Instant;

namespace {

// Boxes of a hall stand at one of a few revisions.
constexpr std::size_t MostTold = 8;
// Of what is kept beside the newest; the list of ten thousand servers is some 4 MB.
constexpr std::size_t MostToldBytes = std::size_t{4} * 1024 * 1024;

std::size_t largestFor(const FeedAsk &ask, std::size_t largest)
{
    return ask.largeToo ? std::numeric_limits<std::size_t>::max() : largest;
}

void nameOnly(std::vector<store::KeptObject> &objects, std::size_t largest)
{
    for (store::KeptObject &object : objects) {
        if (object.text.size() > largest) {
            object.large = true;
            object.text.clear();
        }
    }
}

std::optional<std::int64_t> told(Instant question, const std::optional<Instant> &when)
{
    return when ? std::optional(sinceQuestion(question, *when)) : std::nullopt;
}

} // namespace

void FeedRecord::replace(std::vector<store::KeptObject> objects, std::uint64_t at, Instant told)
{
    told_.clear();
    history_.replace(std::move(objects), at, told);
}

void FeedRecord::change(std::vector<store::KeptObject> objects, std::uint64_t at, Instant told)
{
    told_.clear();
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
    return lost_ || !history_.at() || history_.hasChangesSince(ask.at);
}

FeedAnswer FeedRecord::answerHead(const FeedAsk &ask, Instant question) const
{
    FeedAnswer answer;
    answer.question = ask.question;
    answer.lost = lost_ || knowsNothing();
    answer.storeFailedMs = told(question, storeFailedAt_);
    if (!knowsNothing()) {
        answer.at = *history_.at();
        answer.confirmedMs = told(question, confirmedAsOf_);
    }
    return answer;
}

FeedAnswer FeedRecord::answer(const FeedAsk &ask, Instant question, std::size_t largest) const
{
    FeedAnswer answer = answerHead(ask, question);
    if (knowsNothing()) {
        return answer;
    }
    store::FeedUpdate news = history_.since(ask.at);
    answer.whole = news.whole;
    answer.toldMs = told(question, news.reportTime);
    answer.objects = std::move(news.objects);
    nameOnly(answer.objects, largestFor(ask, largest));
    return answer;
}

EncodedAnswer FeedRecord::encodedAnswer(const FeedAsk &ask, Instant question,
                                        std::size_t largest) const
{
    FeedAnswer answer = answerHead(ask, question);
    if (knowsNothing()) {
        return {encode(answer), answer.lost, false};
    }
    const Told &news = toldSince(ask.at, largestFor(ask, largest));
    answer.whole = news.whole;
    answer.toldMs = told(question, news.told);
    return {encode(answer, news.objects), answer.lost, news.news};
}

const FeedRecord::Told &FeedRecord::toldSince(std::uint64_t since, std::size_t largest) const
{
    const auto known = std::ranges::find_if(told_, [&](const Told &told) {
        return told.since == since && told.largest == largest;
    });
    if (known != told_.end()) {
        return *known;
    }
    store::FeedUpdate news = history_.since(since);
    nameOnly(news.objects, largest);
    Bytes objects = encodeObjects(news.objects);
    std::size_t bytes = 0;
    const auto tooMuch = std::ranges::find_if(told_, [&](const Told &told) {
        bytes += told.objects.size();
        return bytes > MostToldBytes;
    });
    told_.erase(tooMuch, told_.end());
    told_.resize(std::min(told_.size(), MostTold - 1));
    told_.push_front({since, largest, news.whole, !news.objects.empty(), news.reportTime,
                      std::move(objects)});
    return told_.front();
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
