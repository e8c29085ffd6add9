#include "platform/StoreStandin.h"

#include <boost/asio.hpp>

namespace limereel::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

const std::vector<std::string> Prefix = {"v1", "objects"};
constexpr int NoTarget = 400;

/** The status that stands for a fault; 0: it isn't one. */
int statusOf(StoreStandin::PageFault fault)
{
    using Fault = StoreStandin::PageFault;
    switch (fault) {
    case Fault::Refusal:
        return NoTarget;
    case Fault::NotFound:
        return 404;
    case Fault::TooMany:
        return 429;
    case Fault::Failure:
        return 500;
    case Fault::Unavailable:
        return 503;
    default:
        return 0;
    }
}

http::ServerLimits limits()
{
    http::ServerLimits made;
    made.idleTimeout = 300s;
    return made;
}

} // namespace

StoreStandin::StoreStandin(asio::io_context &io, const kernel::Endpoint &where)
    : io_(io)
    , server_(io, limits(), [this](http::Request request, http::Reply &reply) {
        return handle(std::move(request), reply);
    })
{
    server_.listen(where);
}

http::Answer StoreStandin::answerOf(const json &body) const
{
    std::string text = body.dump();
    for (const auto &[marker, raw] : rawTexts) {
        const std::string quoted = '"' + marker + '"';
        for (auto place = text.find(quoted); place != std::string::npos;
             place = text.find(quoted, place + raw.size())) {
            text.replace(place, quoted.size(), raw);
        }
    }
    return http::Answer{200, http::Fields().with("Content-Type", "application/json"),
                        std::move(text)};
}

void StoreStandin::record(const std::string &kind, json object, bool gone)
{
    ++revision_;
    object["metadata"]["revision"] = revision_;
    const std::string name = object["metadata"]["name"];
    if (gone) {
        objects_[kind].erase(name);
    } else {
        objects_[kind][name] = object;
    }
    changes_.push_back({revision_, kind, {{"gone", gone}, {"object", std::move(object)}}});
    for (asio::steady_timer *waiting : waiting_) {
        waiting->cancel();
    }
}

void StoreStandin::put(const std::string &kind, const std::string &name, json spec)
{
    json object = {{"metadata", {{"name", name}}}, {"spec", std::move(spec)}, {"status", nullptr}};
    record(kind, std::move(object), false);
}

void StoreStandin::putSpoilt(const std::string &kind, const std::string &name, json object)
{
    ++revision_;
    objects_[kind][name] = object;
    changes_.push_back({revision_, kind, {{"gone", false}, {"object", std::move(object)}}});
    for (asio::steady_timer *waiting : waiting_) {
        waiting->cancel();
    }
}

void StoreStandin::remove(const std::string &kind, const std::string &name)
{
    json object = objects_[kind].at(name);
    record(kind, std::move(object), true);
}

std::optional<StoreStandin::Subject> StoreStandin::subjectOf(const http::Request &request) const
{
    const auto escapes = decodesNothing ? support::Escapes::Kept : support::Escapes::Decoded;
    const auto target = support::decodeTarget(request.target, escapes);
    const std::size_t least = Prefix.size() + 1;
    if (!target || target->segments.size() < least || target->segments.size() > least + 1
        || !std::equal(Prefix.begin(), Prefix.end(), target->segments.begin())) {
        return std::nullopt;
    }
    Subject subject{target->segments[Prefix.size()], std::nullopt, target->query};
    if (target->segments.size() > least) {
        subject.name = target->segments.back();
    }
    return subject;
}

asio::awaitable<void> StoreStandin::handle(http::Request request, http::Reply &reply)
{
    ++calls_;
    if (faults.silent) {
        co_await stayAway();
        co_return;
    }
    if (faults.lost) {
        co_return;
    }
    const bool refuses = faults.refuseEach != 0 && calls_ % faults.refuseEach == 0;
    if (faults.status != 0 || refuses) {
        http::Answer refused(refuses ? 429 : faults.status);
        co_await reply.send(std::move(refused));
        co_return;
    }
    const auto subject = subjectOf(request);
    if (!subject) {
        http::Answer refused(NoTarget);
        co_await reply.send(std::move(refused));
    } else if (request.method == "POST") {
        co_await create(request, *subject, reply);
    } else if (request.method != "GET") {
        co_await change(request, *subject, reply);
    } else if (subject->name) {
        co_await one(*subject, reply);
    } else if (subject->query.contains("watch")) {
        co_await watch(*subject, reply);
    } else {
        co_await list(*subject, reply);
    }
}

asio::awaitable<void> StoreStandin::one(const Subject &subject, http::Reply &reply)
{
    const auto &objects = objects_[subject.kind];
    const auto there = objects.find(*subject.name);
    http::Answer answer = there == objects.end() ? http::Answer(404) : answerOf(there->second);
    co_await reply.send(std::move(answer));
}

asio::awaitable<void> StoreStandin::create(const http::Request &request, const Subject &subject,
                                           http::Reply &reply)
{
    const std::string &kind = subject.kind;
    const json object = json::parse(request.body);
    const std::string name = object.at("metadata").at("name");
    const bool isNew = !objects_[kind].contains(name);
    if (isNew) {
        put(kind, name, object.at("spec"));
    }
    http::Answer answer = answerOf(objects_[kind].at(name));
    answer.status = isNew ? 200 : 409;
    co_await reply.send(std::move(answer));
}

asio::awaitable<void> StoreStandin::change(const http::Request &request, const Subject &subject,
                                           http::Reply &reply)
{
    const std::string &kind = subject.kind;
    const std::string name = subject.name.value_or("");
    const auto there = objects_[kind].find(name);
    http::Answer answer(404);
    if (there != objects_[kind].end() && request.method == "DELETE") {
        answer = answerOf(there->second);
        remove(kind, name);
    } else if (there != objects_[kind].end()) {
        const json object = json::parse(request.body);
        const auto revision = object.at("metadata").find("revision");
        const bool newer = revision != object.at("metadata").end()
                           && *revision != there->second.at("metadata").at("revision");
        if (!newer) {
            put(kind, name, object.at("spec"));
        }
        answer = answerOf(objects_[kind].at(name));
        answer.status = newer ? 409 : 200;
    }
    co_await reply.send(std::move(answer));
}

asio::awaitable<void> StoreStandin::stayAway()
{
    asio::steady_timer forever(io_, 3600s);
    co_await forever.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StoreStandin::list(const Subject &subject, http::Reply &reply)
{
    const auto behind = subject.query.find("after_rev");
    const std::string after = behind == subject.query.end() ? std::string() : behind->second;
    const auto fault = faultsBehind.find(after);
    if (fault != faultsBehind.end()) {
        co_await failPage(fault->second, subject, reply);
        co_return;
    }
    http::Answer answer = page(subject.kind, after);
    bytesSent_ += answer.body.size();
    co_await reply.send(std::move(answer));
}

http::Answer StoreStandin::page(const std::string &kind, const std::string &after)
{
    json items = json::array();
    bool more = false;
    for (const auto &[name, object] : objects_[kind]) {
        if (name <= after) {
            continue;
        }
        more = items.size() == pageSize;
        if (more) {
            break;
        }
        items.push_back(object);
    }
    return answerOf({{"items", std::move(items)}, {"more", more}, {"at", revision_}});
}

asio::awaitable<void> StoreStandin::failPage(PageFault fault, const Subject &subject,
                                             http::Reply &reply)
{
    if (fault == PageFault::Silence) {
        co_await stayAway();
    } else if (fault == PageFault::CutAnswer) {
        http::Fields fields = http::Fields().with("Content-Length", "1000");
        co_await reply.begin(200, std::move(fields));
        co_await reply.write("{\"items\":[");
    } else if (fault == PageFault::NoPage) {
        http::Answer none(200, {}, "[]");
        co_await reply.send(std::move(none));
    } else if (fault == PageFault::FirstPage) {
        http::Answer first = page(subject.kind, "");
        co_await reply.send(std::move(first));
    } else if (const int status = statusOf(fault); status != 0) {
        http::Answer refused(status);
        co_await reply.send(std::move(refused));
    }
}

asio::awaitable<void> StoreStandin::watch(const Subject &subject, http::Reply &reply)
{
    const std::uint64_t since = std::stoull(subject.query.at("watch"));
    const kernel::Instant until =
            std::chrono::time_point_cast<kernel::Duration>(std::chrono::steady_clock::now())
            + 1ms * std::stoll(subject.query.at("wait_ms"));
    if (since < forgotten_) {
        http::Answer gone(410);
        co_await reply.send(std::move(gone));
        co_return;
    }
    json events = json::array();
    asio::steady_timer timer(io_);
    while (true) {
        for (const Change &change : changes_) {
            if (change.revision > since && change.kind == subject.kind) {
                events.push_back(change.event);
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until) {
            break;
        }
        timer.expires_at(until);
        waiting_.insert(&timer);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        waiting_.erase(&timer);
    }
    http::Answer answer = answerOf({{"events", std::move(events)}, {"at", revision_}});
    bytesSent_ += answer.body.size();
    co_await reply.send(std::move(answer));
}

} // namespace limereel::standin
