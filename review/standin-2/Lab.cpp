#include "Lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

constexpr const char *Host = "calls.example";

sockaddr_in addressOf(const Endpoint &where)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &address.sin_addr);
    return address;
}

int leftMs(Clock::time_point until)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

// The value of \a name in the query of \a target.
std::string queryOf(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::istringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

std::string httpAnswer(int status, const std::string &json)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " -\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(json.size()) + "\r\n\r\n" + json;
}

} // namespace

bool withTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

Record::Record(const std::string &file)
    : file_(std::fopen(file.c_str(), "w"))
{
    if (file_ == nullptr) {
        throw std::runtime_error("can't write " + file);
    }
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now() - begin_).count();
    std::fprintf(file_, "%7lld ms  %s\n", static_cast<long long>(since), text.c_str());
    std::fflush(file_);
}

std::string loopback(int number)
{
    const int run = static_cast<int>(::getpid()) % 60000;
    return "127." + std::to_string(10 + run / 250) + "." + std::to_string(run % 250) + "."
           + std::to_string(number);
}

int freePort(const std::string &ip)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressOf({ip, 0});
    socklen_t size = sizeof address;
    const bool bound = ::bind(handle, reinterpret_cast<sockaddr *>(&address), size) == 0
                       && ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    ::close(handle);
    if (!bound) {
        throw std::runtime_error("no free port at " + ip);
    }
    return ntohs(address.sin_port);
}

std::string Message::get(std::string_view name) const
{
    for (const auto &[known, value] : fields) {
        if (known.size() == name.size()
            && ::strncasecmp(known.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string Message::word(int number) const
{
    std::istringstream words(start);
    std::string word;
    for (int index = 0; index <= number; ++index) {
        word.clear();
        words >> word;
    }
    return word;
}

int Message::status() const
{
    return std::atoi(word(1).c_str());
}

Socket::~Socket()
{
    close();
    ::close(handle_);
}

void Socket::close()
{
    ::shutdown(handle_, SHUT_RDWR);
}

bool Socket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

// Adds what comes to the unread bytes; false at the end of the connection or of the time.
bool Socket::more(Clock::time_point until)
{
    pollfd look{handle_, POLLIN, 0};
    if (::poll(&look, 1, leftMs(until)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t got = ::recv(handle_, bytes, sizeof bytes, 0);
    if (got <= 0) {
        return false;
    }
    unread_.append(bytes, static_cast<std::size_t>(got));
    return true;
}

bool Socket::closedWithin(Milliseconds longest)
{
    const auto until = Clock::now() + longest;
    while (Clock::now() < until) {
        pollfd look{handle_, POLLIN, 0};
        if (::poll(&look, 1, leftMs(until)) <= 0) {
            return false;
        }
        char bytes[4096];
        const ssize_t got = ::recv(handle_, bytes, sizeof bytes, 0);
        if (got <= 0) {
            return true;
        }
        unread_.append(bytes, static_cast<std::size_t>(got));
    }
    return false;
}

std::optional<Message> Socket::read(bool request, Milliseconds longest)
{
    const auto until = Clock::now() + longest;
    std::size_t end = std::string::npos;
    while ((end = unread_.find("\r\n\r\n")) == std::string::npos) {
        if (!more(until)) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head(unread_.substr(0, end));
    unread_.erase(0, end + 4);
    std::getline(head, message.start);
    message.start.erase(message.start.find_last_not_of('\r') + 1);
    for (std::string line; std::getline(head, line);) {
        line.erase(line.find_last_not_of('\r') + 1);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    if (message.get("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t line = std::string::npos;
            while ((line = unread_.find("\r\n")) == std::string::npos) {
                if (!more(until)) {
                    return message;
                }
            }
            const std::size_t size = std::strtoul(unread_.c_str(), nullptr, 16);
            while (unread_.size() < line + 2 + size + 2) {
                if (!more(until)) {
                    return message;
                }
            }
            message.body += unread_.substr(line + 2, size);
            unread_.erase(0, line + 2 + size + 2);
            if (size == 0) {
                message.whole = true;
                return message;
            }
        }
    }
    const std::string length = message.get("Content-Length");
    if (length.empty() && !request) {
        while (more(until)) {
        }
        message.body.swap(unread_);
        message.whole = Clock::now() < until;
        return message;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (unread_.size() < size) {
        if (!more(until)) {
            message.body.swap(unread_);
            return message;
        }
    }
    message.body = unread_.substr(0, size);
    unread_.erase(0, size);
    message.whole = true;
    return message;
}

SocketPtr connectTo(const Endpoint &where)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(where);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(handle);
        return nullptr;
    }
    const int yes = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return std::make_shared<Socket>(handle);
}

Listener::Listener(const Endpoint &where, Serve serve)
    : handle_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , serve_(std::move(serve))
{
    const int yes = 1;
    ::setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = addressOf(where);
    if (::bind(handle_, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(handle_, 256) != 0) {
        throw std::runtime_error("can't listen at " + where.text());
    }
    acceptor_ = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    crash();
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

void Listener::crash()
{
    if (stopped_.exchange(true)) {
        return;
    }
    ::shutdown(handle_, SHUT_RDWR);
    acceptor_.join();
    ::close(handle_);
    const std::lock_guard lock(mutex_);
    for (const auto &weak : sockets_) {
        if (const SocketPtr socket = weak.lock()) {
            socket->close();
        }
    }
}

void Listener::accept()
{
    while (!stopped_) {
        const int handle = ::accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            continue;
        }
        const int yes = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        auto socket = std::make_shared<Socket>(handle);
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve_(socket); });
    }
}

Store::Store(Record &record)
    : record_(record)
{
}

Endpoint Store::open(const std::string &ip)
{
    const Endpoint where{ip, freePort(ip)};
    const std::string address = where.text();
    listeners_.push_back(std::make_unique<Listener>(
            where, [this, address](const SocketPtr &socket) { serve(socket, address); }));
    return where;
}

void Store::setCut(const Endpoint &address, bool cut)
{
    {
        const std::lock_guard lock(mutex_);
        cut_[address.text()] = cut;
    }
    changed_.notify_all();
    record_.line("store: " + address.text() + (cut ? " is cut off" : " is reached again"));
}

bool Store::isCut(const std::string &address)
{
    const std::lock_guard lock(mutex_);
    return cut_[address];
}

std::string Store::text(const Object &object)
{
    return "{\"metadata\":{\"name\":" + quoted(object.name) + ",\"revision\":"
           + std::to_string(object.revision) + ",\"made\":" + std::to_string(object.made)
           + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + ",\"status\":null}";
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    {
        const std::lock_guard lock(mutex_);
        Object &object = objects_[{kind, name}];
        const std::uint64_t made = object.made == 0 ? revision_ + 1 : object.made;
        object = {kind, name, spec, ++revision_, made, false};
        history_.push_back(object);
    }
    changed_.notify_all();
    record_.line("store: acknowledged " + kind + "/" + name + " " + spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    {
        const std::lock_guard lock(mutex_);
        const auto place = objects_.find({kind, name});
        if (place == objects_.end()) {
            return;
        }
        Object object = place->second;
        object.revision = ++revision_;
        object.gone = true;
        objects_.erase(place);
        history_.push_back(object);
    }
    changed_.notify_all();
    record_.line("store: " + kind + "/" + name + " is gone");
}

void Store::serve(const SocketPtr &socket, const std::string &address)
{
    while (const auto request = socket->read(true, Milliseconds(120000))) {
        const std::string told = isCut(address) ? std::string() : answer(*request);
        if (told.empty() || isCut(address)) {
            // What a cut holds up is lost, also once the cut is over.
            socket->read(true, Milliseconds(120000));
            return;
        }
        if (!socket->send(told)) {
            return;
        }
    }
}

std::string Store::answer(const Message &request)
{
    constexpr std::string_view Objects = "/v1/objects/";
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(Objects, 0) != 0) {
        return httpAnswer(404, "{}");
    }
    const std::string rest = path.substr(Objects.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.word(0) != "GET") {
        return change(request, kind, name);
    }
    if (!name.empty()) {
        const std::lock_guard lock(mutex_);
        const auto place = objects_.find({kind, name});
        return place == objects_.end() ? httpAnswer(404, "{}")
                                       : httpAnswer(200, text(place->second));
    }
    const std::string since = queryOf(target, "watch");
    if (since.empty()) {
        return list(kind);
    }
    return watch(kind, std::stoull(since), std::atoi(queryOf(target, "wait_ms").c_str()));
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    std::string items;
    for (const auto &[key, object] : objects_) {
        if (key.first == kind) {
            items += (items.empty() ? "" : ",") + text(object);
        }
    }
    return httpAnswer(200, "{\"items\":[" + items
                                   + "],\"more\":false,\"at\":" + std::to_string(revision_) + "}");
}

std::string Store::watch(const std::string &kind, std::uint64_t since, int waitMs)
{
    std::unique_lock lock(mutex_);
    std::string events;
    const auto find = [&] {
        events.clear();
        for (const Object &object : history_) {
            if (object.kind == kind && object.revision > since) {
                events += (events.empty() ? "" : ",")
                          + ("{\"gone\":" + std::string(object.gone ? "true" : "false")
                             + ",\"object\":" + text(object) + "}");
            }
        }
        return !events.empty();
    };
    changed_.wait_for(lock, Milliseconds(waitMs), find);
    return httpAnswer(200,
                      "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}");
}

// Writing calls of the system; their conditions are those of the pages.
std::string Store::change(const Message &request, const std::string &kind, const std::string &name)
{
    const std::string &body = request.body;
    const auto after = [&body](const std::string &mark, const char *end) {
        const std::size_t at = body.find(mark);
        if (at == std::string::npos) {
            return std::string();
        }
        const std::size_t from = at + mark.size();
        return body.substr(from, body.find_first_of(end, from) - from);
    };
    const std::string called = name.empty() ? after("\"name\":\"", "\"") : name;
    const std::string condition = after("\"revision\":", ",}");
    std::string spec = "null";
    if (const std::size_t at = body.find("\"spec\":"); at != std::string::npos) {
        spec = body.substr(at + 7, body.rfind('}') - at - 7);
    }
    std::optional<std::string> known;
    bool conflict = false;
    {
        const std::lock_guard lock(mutex_);
        const auto place = objects_.find({kind, called});
        if (place != objects_.end()) {
            known = text(place->second);
            conflict = request.word(0) == "POST"
                       || (!condition.empty() && std::stoull(condition) != place->second.revision);
        }
    }
    if (conflict) {
        return httpAnswer(409, *known);
    }
    if (!known && request.word(0) != "POST") {
        return httpAnswer(404, "{}");
    }
    if (request.word(0) == "DELETE") {
        remove(kind, called);
        return httpAnswer(200, *known);
    }
    put(kind, called, spec);
    const std::lock_guard lock(mutex_);
    return httpAnswer(known ? 200 : 201, text(objects_[{kind, called}]));
}

Runner::Runner(Record &record, std::string id, const std::string &ip)
    : record_(record)
    , id_(std::move(id))
    , where_{ip, freePort(ip)}
    , serve_([](Runner &runner, const Message &request, Socket &socket) {
        return runner.serveSoundly(request, socket);
    })
    , listener_(std::make_unique<Listener>(where_,
                                           [this](const SocketPtr &socket) { serve(socket); }))
{
}

void Runner::setServe(Serve serve)
{
    const std::lock_guard lock(mutex_);
    serve_ = std::move(serve);
}

void Runner::enter(Store &store, const std::string &service, const std::string &zone)
{
    enterAs(store, id_, where_, service, zone);
}

void Runner::enterAs(Store &store, const std::string &id, const Endpoint &where,
                     const std::string &service, const std::string &zone)
{
    store.put(
            "servers", id,
            "{\"service\":" + quoted(service) + ",\"address\":" + quoted(where.text())
                    + ",\"zone\":" + quoted(zone)
                    + R"(,"version":"v1","slots":8,"state":"ready","cold_left_ms":0,"call_seq":1})");
}

void Runner::run(const Message &request)
{
    const std::string attempt = request.get("X-Attempt-Id");
    record_.line("server " + id_ + ": runs " + attempt + " " + request.start);
    const std::lock_guard lock(mutex_);
    for (Arrival &arrival : arrivals_) {
        if (arrival.attempt == attempt && !arrival.ran) {
            arrival.ran = true;
            return;
        }
    }
}

std::string Runner::answerTo(const Message &request, const std::string &body) const
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.get("X-Attempt-Id")
           + "\r\nX-Response-Stamp: " + id_ + ".1.c9f2a4d1\r\nKeep-Alive: timeout=20\r\n"
           + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

bool Runner::serveSoundly(const Message &request, Socket &socket)
{
    run(request);
    return socket.send(answerTo(request, "{\"by\":\"" + id_ + "\"}"));
}

void Runner::serve(const SocketPtr &socket)
{
    while (const auto request = socket->read(true, Milliseconds(120000))) {
        if (request->word(1) == "/health") {
            socket->send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_
                         + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const std::string attempt = request->get("X-Attempt-Id");
        const std::string expected = request->get("X-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            record_.line("server " + id_ + ": answers 421 to " + attempt);
            socket->send("HTTP/1.1 421 -\r\nX-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id_
                         + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        Serve serve;
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back({attempt, *request, Clock::now(), false});
            serve = serve_;
        }
        if (!serve(*this, *request, *socket)) {
            socket->close();
            return;
        }
    }
}

std::vector<Arrival> Runner::arrivals()
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

int Runner::runsOf(const std::string &attempt)
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(), [&](const auto &one) {
        return one.ran && one.attempt == attempt;
    }));
}

int Runner::runs()
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(),
                                          [](const auto &one) { return one.ran; }));
}

void Runner::crash()
{
    record_.line("server " + id_ + ": crashes");
    listener_->crash();
}

std::string configuration(int version, const std::vector<Route> &routes,
                          const std::vector<std::string> &services, const std::string &tenants)
{
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"routes\":[";
    const char *comma = "";
    for (const Route &route : routes) {
        text << comma << "{\"name\":\"r-" << route.prefix.substr(1, route.prefix.size() - 2)
             << "\",\"host\":\"" << Host << "\",\"path_prefix\":\"" << route.prefix
             << R"(","kind":")" << route.kind << R"(","timeout_ms":)" << route.timeoutMs
             << ",\"goal_ms\":" << route.timeoutMs / 3 << ",\"priority\":1,\"service\":\""
             << route.service << "\",\"max_attempts\":" << route.attempts
             << ",\"anonymous\":" << (route.anonymous ? "true" : "false")
             << R"(,"sticky":false,"can_resume":false})";
        comma = ",";
    }
    text << "],\"services\":[";
    comma = "";
    for (const std::string &service : services) {
        text << comma << "{\"name\":\"" << service
             << R"(","health_path":"/health","max_conns":360,"protocol":"h1","tls":false})";
        comma = ",";
    }
    text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         << R"("header_timeout_ms":3000,"idle_timeout_ms":15000})";
    if (!tenants.empty()) {
        text << ",\"tenants\":" << tenants;
    }
    text << "}";
    return text.str();
}

Box::Box(Record &record, const std::string &node, const std::string &ip, const Endpoint &store,
         int peerPort, const std::vector<std::string> &seeds)
    : record_(record)
    , node_(node)
    , ip_(ip)
    , store_(store)
    , peerPort_(peerPort)
    , seeds_(seeds)
    , front_{ip, freePort(ip)}
    , ready_{ip, freePort(ip)}
    , control_{ip, freePort(ip)}
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = pattern;
}

Box::~Box()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
}

// The deployment's template, filled as the platform fills it.
std::string Box::settings() const
{
    std::ifstream input("deploy/node.ini.template", std::ios::binary);
    std::ostringstream read;
    read << input.rdbuf();
    std::string text = read.str();
    std::string seeds;
    for (const std::string &seed : seeds_) {
        seeds += (seeds.empty() ? "" : ",") + seed + ":" + std::to_string(control_.port);
    }
    const std::vector<std::pair<std::string, std::string>> values = {
            {"{{node}}", node_},
            {"{{zone}}", "zone-a"},
            {"{{region}}", "region-a"},
            {"{{listen.front}}", front_.text()},
            {"{{listen.ready}}", ready_.text()},
            {"{{listen.control}}", control_.text()},
            {"{{ip}}:{{internal_ports.0}}", ip_ + ":" + std::to_string(peerPort_)},
            {"{{platform.address}}", store_.text()},
            {"{{seed_nodes}}", seeds},
            {"{{limits.link_mbps}}", "1000.0"},
            {"{{limits.max_fds}}", "4100"},
            {"{{beat_interval_ms}}", "1200"},
            {"{{bounds.revoke_ms}}", "5000"},
            {"{{bounds.drain_ms}}", "2000"},
            {"{{bounds.strict_revoke}}", "true"},
            {"{{bounds.config_apply_ms}}", "2000"},
            {"{{bounds.grace_s}}", "8"},
            {"{{bounds.contact_ms}}", "3000"},
            {"{{bounds.retry_ratio}}", "0.2"},
            {"{{bounds.retry_window_s}}", "10"},
            {"{{bounds.retry_slack}}", "54"},
            {"{{bounds.cap_x}}", "2"},
            {"{{bounds.again_s}}", "10"},
            {"{{@}}@{{.}}", "zone-a@region-a"}};
    for (const auto &[from, to] : values) {
        replaceAll(text, from, to);
    }
    // Bounds that this deployment doesn't have give no lines.
    for (const std::string gap : {"evacuate_ms", "cold_excess", "cold_slack"}) {
        const std::size_t from = text.find("{{#bounds." + gap + "}}");
        const std::string mark = "{{/bounds." + gap + "}}";
        const std::size_t to = text.find(mark);
        if (from != std::string::npos && to != std::string::npos) {
            text.erase(from, to + mark.size() - from);
        }
    }
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
        text.erase(at, text.find("}}", at) + 2 - at);
    }
    return text;
}

bool Box::start()
{
    const std::string file = folder_ + "/node.conf";
    std::ofstream(file) << settings();
    const std::string log = folder_ + "/log";
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::execl("target/limereel", "target/limereel", "gateway", "--settings", file.c_str(),
                nullptr);
        ::_exit(127);
    }
    record_.line("box " + node_ + ": starts at " + front_.text());
    const auto until = Clock::now() + Milliseconds(10000);
    while (Clock::now() < until) {
        if (ready()) {
            record_.line("box " + node_ + ": is ready");
            return true;
        }
        sleepFor(50);
    }
    return false;
}

bool Box::ready() const
{
    const SocketPtr socket = connectTo(ready_);
    if (!socket || !socket->send("GET /v1/readiness HTTP/1.1\r\nHost: box\r\n\r\n")) {
        return false;
    }
    const auto answer = socket->read(false, Milliseconds(1000));
    return answer && answer->status() == 200;
}

void Box::signal(int number) const
{
    record_.line("box " + node_ + ": gets signal " + std::to_string(number));
    ::kill(process_, number);
}

std::string bytesOf(const Call &call)
{
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\nHost: " + Host
                       + "\r\nX-Attempt-Id: " + call.attempt
                       + "\r\nX-Deadline-Ms: " + std::to_string(call.deadlineMs) + "\r\n";
    if (!call.key.empty()) {
        text += "X-Api-Key: " + call.key + "\r\n";
    }
    if (call.method == "GET") {
        return text + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}

std::optional<Message> ask(Record &record, Socket &socket, const Call &call)
{
    record.line("caller: sends " + call.attempt + " " + call.method + " " + call.path
                + (call.key.empty() ? "" : " with key " + call.key));
    socket.send(bytesOf(call));
    auto answer = socket.read(false, Milliseconds(call.deadlineMs + 1000));
    if (!answer) {
        record.line("caller: " + call.attempt + " gets no answer");
        return answer;
    }
    const std::string stamp = answer->get("X-Response-Stamp");
    record.line("caller: " + call.attempt + " gets " + std::to_string(answer->status())
                + (stamp.empty() ? ", no signature" : ", signature " + stamp)
                + (answer->whole ? ", " : ", not whole, ") + answer->body);
    return answer;
}

std::optional<Message> ask(Record &record, const Endpoint &where, const Call &call)
{
    const SocketPtr socket = connectTo(where);
    if (!socket) {
        record.line("caller: can't connect to " + where.text());
        return std::nullopt;
    }
    return ask(record, *socket, call);
}

int play(int argc, char **argv, const std::function<Outcome(Record &)> &run)
{
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return CouldNotRun;
    }
    try {
        Record record(argv[1]);
        record.line(withTrouble() ? "with the disruption" : "without the disruption");
        const Outcome outcome = run(record);
        record.line(outcome == Held     ? "the rule held"
                    : outcome == Broken ? "the rule was broken"
                                        : "the case couldn't run");
        std::fflush(nullptr);
        // Threads that still wait for bytes end with the process.
        ::_exit(outcome);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return CouldNotRun;
    }
}

} // namespace lab
