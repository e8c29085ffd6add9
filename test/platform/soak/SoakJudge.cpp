#include "platform/soak/SoakJudge.h"

namespace limereel::soak {

namespace {

constexpr int Ok = 200;
constexpr int Unauthorized = 401;
constexpr int Unavailable = 503;
constexpr int MaxAttempts = 2; ///< Of the routes of requests that may run again.
// Runs at servers that have ended don't count, which the judge can't tell; the users allow as many.
constexpr std::size_t MostRunTooOften = 3;

// Statuses that promise that the request did not run and never will.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool onceOnly(Kind kind)
{
    return kind == Kind::Once || kind == Kind::OnceStream;
}

bool mustNotRun(Kind kind, bool scarce)
{
    return onceOnly(kind) || scarce;
}

// The results that are refused with 503 for another reason than a lack of servers, and by
// docs/RESULT_CODES.md without Retry-After.
bool tellsNoReturn(const std::string &body)
{
    return body.find("\"no-configuration\"") != std::string::npos
           || body.find("\"stopping\"") != std::string::npos
           || body.find("\"ends-servers\"") != std::string::npos;
}

std::string organisationOf(const std::string &key)
{
    return key == KeyTwo ? "two" : "one";
}

constexpr std::string_view WrittenBy = " by ";

std::string withoutVersions(const std::string &body)
{
    std::string plain;
    std::size_t begin = 0;
    for (std::size_t at = body.find(WrittenBy); at != std::string::npos;
         at = body.find(WrittenBy, begin)) {
        plain += body.substr(begin, at - begin);
        begin = std::min(body.find('\n', at), body.size());
    }
    return plain + body.substr(begin);
}

} // namespace

std::string SoakJudge::wholeStream()
{
    std::string text;
    for (int event = 1; event <= 5; ++event) {
        const std::string number = std::to_string(event);
        text += "id: " + number + "\ndata: piece " + number + "\n\n";
    }
    return text;
}

void SoakJudge::breach(const std::string &promise, const std::string &what)
{
    violations_.push_back({promise, what});
}

void SoakJudge::noteAttempt(const SoakAttempt &attempt)
{
    attempts_[attempt.id] = attempt;
    repeats_.noteRequest(attempt.sent);
}

std::set<std::string> SoakJudge::versionsIn(const std::string &body)
{
    std::set<std::string> versions;
    for (std::size_t at = body.find(WrittenBy); at != std::string::npos;
         at = body.find(WrittenBy, at + 1)) {
        const std::size_t begin = at + WrittenBy.size();
        versions.insert(body.substr(begin, body.find('\n', begin) - begin));
    }
    return versions;
}

void SoakJudge::noteAnswer(const std::string &id, const SoakAnswer &answer)
{
    const SoakAttempt &attempt = attempts_.at(id);
    if (!isStream(attempt.kind) || answer.status != Ok) {
        checkAnswer(attempt, answer);
        return;
    }
    if (versionsIn(answer.body).size() > 1) {
        breach("one software version a stream", id + " holds '" + answer.body + "'");
    }
    SoakAnswer plain = answer;
    plain.body = withoutVersions(answer.body);
    checkAnswer(attempt, plain);
}

void SoakJudge::checkAnswer(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    const std::string &id = attempt.id;
    if (answer.status == Ok && answer.whole) {
        ++served_;
        checkSuccess(attempt, answer);
    } else if (answer.status == 0 || !answer.whole) {
        ++cut_;
        checkCut(attempt, answer);
        checkOverdue(attempt, answer);
    } else {
        checkFailure(attempt, answer);
    }
    if (isStream(attempt.kind) && answer.status == Ok && !wholeStream().starts_with(answer.body)) {
        breach("pieces in order", id + " got '" + answer.body + "'");
    }
}

void SoakJudge::checkSuccess(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    const std::size_t dot = answer.stamp.rfind('.');
    if (dot == std::string::npos || answer.stamp.substr(dot + 1) != attempt.id) {
        breach("whole answer to its own request", attempt.id + " got " + answer.stamp);
        return;
    }
    const std::string server = answer.stamp.substr(0, dot);
    const std::string expected = isStream(attempt.kind) ? wholeStream() : "done by " + server;
    if (answer.body != expected) {
        breach("whole answer to its own request",
               attempt.id + " got '" + answer.body + "' of " + server);
    }
    if (runs_[attempt.id] == 0) {
        breach("whole answer to its own request", attempt.id + " was served and never ran");
    }
    checkVersion(attempt, answer);
}

void SoakJudge::checkFailure(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    if (answer.status == Unauthorized && (attempt.key == "key-one" || attempt.key == KeyTwo)) {
        breach("no refusal of what is allowed", attempt.id + " got 401 with a good key");
    }
    if (!promisesNotRun(answer.status)) {
        return;
    }
    ++refusedCount_;
    checkRefusal(attempt, answer);
    if (mustNotRun(attempt.kind, bounds_.served > 0s)) {
        refused_.insert(attempt.id);
        if (runs_[attempt.id] > 0) {
            breach("refused means not run",
                   attempt.id + " got " + std::to_string(answer.status) + " and had run");
        }
    }
}

void SoakJudge::checkRefusal(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    if (bounds_.served == 0s || answer.status != Unavailable || tellsNoReturn(answer.body)) {
        return;
    }
    if (answer.retryAfter.empty()) {
        breach("a refusal says when to come back", attempt.id + " got " + answer.body);
    }
    if (attempt.sent > shortage_ + bounds_.served && calmSince(attempt.sent)) {
        breach("requests are served again after a shortage", attempt.id + " got " + answer.body);
    }
}

// Faults of servers and of the store are no excuse, only those of the box itself.
void SoakJudge::checkOverdue(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    const auto absent = absent_.find(attempt.box);
    const bool excused =
            absent != absent_.end() && absent->second + bounds_.absence >= attempt.sent;
    if (bounds_.served > 0s && answer.overdue && !excused) {
        breach("each request is answered by its deadline",
               attempt.id + " at box " + std::to_string(attempt.box) + ", status "
                       + std::to_string(answer.status));
    }
}

// A later request must not be served as only an older version allows, by the same process.
void SoakJudge::checkVersion(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    if (attempt.kind != Kind::VersionProbe) {
        return;
    }
    auto &seen = seen_[{attempt.box, attempt.process}];
    for (const SeenVersion &earlier : seen) {
        if (earlier.at < attempt.sent && earlier.version > attempt.version) {
            breach("settings never go back", attempt.id + " was served by version "
                                                     + std::to_string(attempt.version) + " after "
                                                     + std::to_string(earlier.version));
        }
    }
    seen.push_back({attempt.version, answer.at});
}

// A process that was told to stop finishes what it has read, and what it passes on after that.
void SoakJudge::checkCut(const SoakAttempt &attempt, const SoakAnswer &answer)
{
    const auto stop = stops_.find({attempt.box, attempt.process});
    const bool serverEnded = serverEnded_ > attempt.sent;
    if (stop == stops_.end() || !calmSince(attempt.sent) || serverEnded) {
        return;
    }
    const bool cameBefore = attempt.sent < stop->second;
    const bool passedOn = runs_[attempt.id] > 0;
    if (cameBefore || (passedOn && !runsUntilTheEnd(attempt, answer, stop->second))) {
        breach("a planned stop cuts nothing", attempt.id + " at box " + std::to_string(attempt.box)
                                                      + ", status "
                                                      + std::to_string(answer.status));
    }
}

// What came in the first three eighths of a stop may be cut if it still runs in the last sixth.
bool SoakJudge::runsUntilTheEnd(const SoakAttempt &attempt, const SoakAnswer &answer,
                                kernel::Instant stop) const
{
    return attempt.sent <= stop + bounds_.stop * 3 / 8 && answer.at >= stop + bounds_.stop * 5 / 6;
}

void SoakJudge::checkLeaving(const SoakAttempt &attempt, const SoakArrival &arrival)
{
    const auto place = leaving_.find(arrival.server);
    if (place != leaving_.end() && attempt.sent > place->second + bounds_.drain
        && calmSince(place->second)) {
        breach("a leaving server gets nothing new", arrival.id + " reached " + arrival.server);
    }
}

void SoakJudge::noteHallReturned(const std::string &hall, kernel::Instant)
{
    drained_.erase(hall);
}

void SoakJudge::checkHall(const SoakAttempt &attempt, const SoakArrival &arrival)
{
    const auto place = drained_.find(arrival.hall);
    if (place != drained_.end() && attempt.sent > place->second + bounds_.hallDrain
        && calmSince(place->second)) {
        breach("a drained hall gets nothing new", arrival.id + " reached " + arrival.server);
    }
}

// Whether boxes are disturbed or not: a server that is sent too much falls over all the same.
void SoakJudge::checkCold(const SoakArrival &arrival)
{
    const auto place = cold_.find(arrival.server);
    if (place == cold_.end()) {
        return;
    }
    const kernel::Duration since = arrival.at - place->second;
    if (since < bounds_.coldKnown || since >= bounds_.coldFor) {
        return;
    }
    std::deque<kernel::Instant> &lately = coldArrivals_[arrival.server];
    while (!lately.empty() && arrival.at - lately.front() >= 1s) {
        lately.pop_front();
    }
    lately.push_back(arrival.at);
    if (static_cast<double>(lately.size()) > bounds_.coldPerSecond) {
        breach("a cold server gets no more than its bound",
               arrival.server + " got " + std::to_string(lately.size()) + " in a second, "
                       + std::to_string(since / 1ms) + " ms after it turned cold");
    }
}

// Three servers may end under a request, and five under a part of prompts; once boxes have had the
// time to know, three more sends are allowed, all boxes together.
void SoakJudge::checkCrashing(const SoakAttempt &attempt, const SoakArrival &arrival)
{
    constexpr int MostEndsOfRequest = 3;
    constexpr int MostEndsOfPart = 5;
    if (attempt.ends) {
        noteEnd(crashing_[attempt.kind], MostEndsOfRequest, attempt, arrival);
    } else if (attempt.endsByPart) {
        noteEnd(crashingPart_, MostEndsOfPart, attempt, arrival);
    }
}

void SoakJudge::noteEnd(Crashing &crashing, int mostEnds, const SoakAttempt &attempt,
                        const SoakArrival &arrival)
{
    constexpr int MostAfter = 3;
    const bool known = crashing.ends >= mostEnds && attempt.sent > crashing.known + bounds_.contact
                       && attempt.sent > outOfTouch_[attempt.box] + bounds_.contact;
    crashing.after += known ? 1 : 0;
    if (known && crashing.after > MostAfter) {
        breach("a request that ends its servers is stopped",
               arrival.id + " reached " + arrival.server + " after " + std::to_string(crashing.ends)
                       + " had ended");
    }
    if (++crashing.ends == mostEnds) {
        crashing.known = arrival.at;
    }
}

std::size_t SoakJudge::ends() const
{
    auto sum = static_cast<std::size_t>(crashingPart_.ends);
    for (const auto &[kind, crashing] : crashing_) {
        sum += static_cast<std::size_t>(crashing.ends);
    }
    return sum;
}

std::size_t SoakJudge::endsJudged() const
{
    auto sum = static_cast<std::size_t>(crashingPart_.after);
    for (const auto &[kind, crashing] : crashing_) {
        sum += static_cast<std::size_t>(crashing.after);
    }
    return sum;
}

void SoakJudge::judgeRepeats()
{
    const RepeatWindow worst = repeats_.worst();
    if (bounds_.repeats.window > 0s && worst.room() < 0) {
        breach("repeats stay within the fleet's budget",
               std::to_string(worst.repeats) + " for " + std::to_string(worst.requests)
                       + " requests in a window, allowed " + std::to_string(worst.allowed));
    }
    if (ranTooOften_.size() > MostRunTooOften) {
        breach("no request runs more often than max_attempts",
               std::to_string(ranTooOften_.size()) + " did, as " + *ranTooOften_.begin());
    }
}

void SoakJudge::noteArrival(const SoakArrival &arrival)
{
    checkCold(arrival);
    const auto place = attempts_.find(arrival.id);
    if (place == attempts_.end()) {
        breach("nothing runs unasked", arrival.id + " reached " + arrival.server);
        return;
    }
    const SoakAttempt &attempt = place->second;
    repeats_.noteArrival(arrival.id, arrival.at);
    checkLeaving(attempt, arrival);
    checkHall(attempt, arrival);
    if (!arrival.ran) {
        return;
    }
    checkCrashing(attempt, arrival);
    const int runs = ++runs_[arrival.id];
    if (!onceOnly(attempt.kind) && runs > MaxAttempts) {
        ranTooOften_.insert(arrival.id);
    }
    if (onceOnly(attempt.kind) && runs > 1) {
        breach("at most once", arrival.id + " ran again at " + arrival.server);
    }
    if (refused_.contains(arrival.id)) {
        breach("refused means not run", arrival.id + " ran at " + arrival.server + " afterwards");
    }
    if (!attempt.key.empty() && arrival.organisation != organisationOf(attempt.key)) {
        breach("the organisation is the key's",
               arrival.id + " came as '" + arrival.organisation + "'");
    }
    const auto taken = takenAway_.find(attempt.key);
    if (taken != takenAway_.end() && attempt.sent > taken->second + bounds_.revoke) {
        breach("a key that was taken away runs nothing", arrival.id + " ran with " + attempt.key);
    }
}

} // namespace limereel::soak
