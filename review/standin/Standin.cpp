#include "Standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in found{};
    found.sin_family = AF_INET;
    found.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &found.sin_addr);
    return found;
}

std::string query(const std::string &target, const std::string &name)
{
    const std::size_t mark = target.find('?');
    std::istringstream pairs(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

std::string jsonAnswer(int status, const json &body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n"
           + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

std::string fileText(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

} // namespace

Record::Record(const std::string &path)
    : file_(::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    ::close(file_);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now() - began_);
    std::string line = std::to_string(since.count());
    line.insert(0, 7 - std::min<std::size_t>(7, line.size()), ' ');
    line += " ms  " + text + "\n";
    std::cout << line << std::flush;
    if (::write(file_, line.data(), line.size()) < 0) {
        std::cerr << "the record can't be written\n";
    }
}

std::optional<std::string> Message::field(const std::string &name) const
{
    for (const auto &[other, value] : fields) {
        if (other == name) {
            return value;
        }
    }
    return std::nullopt;
}

int Message::status() const
{
    return start.size() >= 12 ? std::atoi(start.substr(9, 3).c_str()) : 0;
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

Connection::Connection(int socket)
    : socket_(socket)
{
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    close();
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t now = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (now <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(now);
    }
    return true;
}

bool Connection::more()
{
    char bytes[16384];
    const ssize_t now = ::recv(socket_, bytes, sizeof bytes, 0);
    if (now > 0) {
        buffer_.append(bytes, static_cast<std::size_t>(now));
    }
    reset_ = reset_ || now < 0;
    return now > 0;
}

bool Connection::readHead(Message &message)
{
    while (buffer_.find("\r\n\r\n") == std::string::npos) {
        if (!more()) {
            message.reset = reset_;
            return false;
        }
    }
    const std::size_t end = buffer_.find("\r\n\r\n");
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        line.erase(line.find_last_not_of('\r') + 1);
        const std::size_t colon = line.find(':');
        if (message.start.empty()) {
            message.start = line;
        } else if (colon != std::string::npos) {
            const std::size_t begin = std::min(line.find_first_not_of(' ', colon + 1), line.size());
            message.fields.emplace_back(lower(line.substr(0, colon)), line.substr(begin));
        }
    }
    return true;
}

void Connection::readChunks(Message &message)
{
    while (true) {
        while (buffer_.find("\r\n") == std::string::npos) {
            if (!more()) {
                return;
            }
        }
        const std::size_t end = buffer_.find("\r\n");
        const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
        while (buffer_.size() < end + 2 + size + 2) {
            if (!more()) {
                return;
            }
        }
        message.body += buffer_.substr(end + 2, size);
        buffer_.erase(0, end + 2 + size + 2);
        if (size == 0) {
            message.whole = true;
            return;
        }
    }
}

std::optional<Message> Connection::readRequest()
{
    Message message;
    if (!readHead(message)) {
        return std::nullopt;
    }
    if (lower(message.field("transfer-encoding").value_or("")) == "chunked") {
        readChunks(message);
        return message.whole ? std::optional(message) : std::nullopt;
    }
    const std::size_t length = std::stoul(message.field("content-length").value_or("0"));
    while (buffer_.size() < length) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    message.whole = true;
    return message;
}

Message Connection::readAnswer(Milliseconds longest)
{
    timeval time{};
    time.tv_sec = longest.count() / 1000;
    time.tv_usec = longest.count() % 1000 * 1000;
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    Message message;
    if (!readHead(message)) {
        return message;
    }
    if (const auto length = message.field("content-length")) {
        message.marked = true;
        while (buffer_.size() < std::stoul(*length) && more()) {
        }
        message.whole = buffer_.size() >= std::stoul(*length);
        message.body = buffer_;
    } else if (lower(message.field("transfer-encoding").value_or("")) == "chunked") {
        message.marked = true;
        readChunks(message);
    } else {
        while (more()) {
        }
        message.whole = !reset_;
        message.body = buffer_;
    }
    message.reset = reset_;
    return message;
}

void Connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void Connection::close()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
    socket_ = -1;
}

ConnectionPtr connectTo(const std::string &address)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in where = socketAddress(address);
    auto connection = std::make_shared<Connection>(socket);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0) {
        return nullptr;
    }
    return connection;
}

Listener::Listener(const std::string &address, std::function<void(ConnectionPtr)> serve)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , serve_(std::move(serve))
{
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where = socketAddress(address);
    socklen_t size = sizeof where;
    if (::bind(socket_, reinterpret_cast<sockaddr *>(&where), size) != 0
        || ::listen(socket_, 128) != 0) {
        throw std::runtime_error("can't listen at " + address);
    }
    // A high number: as a process is killed, Linux closes its port before its connections, so that
    // who sees a connection end finds the port closed.
    constexpr int HighNumber = 500;
    if (const int high = ::fcntl(socket_, F_DUPFD_CLOEXEC, HighNumber); high >= 0) {
        ::close(socket_);
        socket_ = high;
    }
    ::getsockname(socket_, reinterpret_cast<sockaddr *>(&where), &size);
    address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(ntohs(where.sin_port));
    thread_ = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    ended_ = true;
    ::shutdown(socket_, SHUT_RDWR);
    thread_.join();
    ::close(socket_);
}

void Listener::accept()
{
    while (!ended_) {
        const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            break;
        }
        std::thread([serve = serve_, connection = std::make_shared<Connection>(socket)] {
            serve(connection);
        }).detach();
    }
}

Store::Store(const std::string &address)
    : listener_(std::make_unique<Listener>(
            address, [this](const ConnectionPtr &connection) { serve(connection); }))
{
}

Store::~Store()
{
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
}

void Store::store(const std::string &kind, json object, bool gone)
{
    ++revision_;
    const std::string name = object["metadata"]["name"];
    object["metadata"]["revision"] = revision_;
    if (gone) {
        objects_[kind].erase(name);
    } else {
        objects_[kind][name] = object;
    }
    events_.emplace_back(kind, json{{"object", object}, {"gone", gone}});
    changed_.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(mutex_);
    store(kind, {{"metadata", {{"name", name}}}, {"spec", spec}, {"status", nullptr}}, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    if (objects_[kind].contains(name)) {
        store(kind, objects_[kind][name], true);
    }
}

void Store::serve(const ConnectionPtr &connection)
{
    while (const auto request = connection->readRequest()) {
        const auto [status, body] = answer(*request);
        if (status == 0 || !connection->write(jsonAnswer(status, body))) {
            break;
        }
    }
}

std::pair<int, json> Store::answer(const Message &request)
{
    const std::string prefix = "/v1/objects/";
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (!path.starts_with(prefix)) {
        return {404, json::object()};
    }
    const std::string rest = path.substr(prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name =
            rest.find('/') == std::string::npos ? "" : rest.substr(kind.size() + 1);
    std::unique_lock lock(mutex_);
    if (request.method() != "GET") {
        return change(request, kind, name);
    }
    if (!name.empty()) {
        const auto there = objects_[kind].find(name);
        return there == objects_[kind].end() ? std::pair(404, json::object())
                                             : std::pair(200, there->second);
    }
    const std::string watch = query(target, "watch");
    if (watch.empty()) {
        json items = json::array();
        for (const auto &[other, object] : objects_[kind]) {
            if (other > query(target, "after_rev")) {
                items.push_back(object);
            }
        }
        return {200, {{"items", items}, {"more", false}, {"at", revision_}}};
    }
    const std::uint64_t since = std::stoull(watch);
    const auto until = Clock::now() + Milliseconds(std::stoi("0" + query(target, "wait_ms")));
    while (true) {
        json events = json::array();
        for (const auto &[ofKind, event] : events_) {
            if (ofKind == kind && event["object"]["metadata"]["revision"] > since) {
                events.push_back(event);
            }
        }
        if (ended_) {
            return {0, {}};
        }
        if (!events.empty() || Clock::now() >= until) {
            return {200, {{"events", events}, {"at", revision_}}};
        }
        changed_.wait_until(lock, until);
    }
}

std::pair<int, json> Store::change(const Message &request, const std::string &kind,
                                   const std::string &name)
{
    const json body = json::parse(request.body.empty() ? "{}" : request.body);
    if (request.method() == "POST") {
        const std::string made = body.at("metadata").at("name");
        if (objects_[kind].contains(made)) {
            return {409, objects_[kind][made]};
        }
        store(kind, body, false);
        return {200, objects_[kind][made]};
    }
    const auto there = objects_[kind].find(name);
    if (there == objects_[kind].end()) {
        return {404, json::object()};
    }
    const json metadata = body.value("metadata", json::object());
    if (metadata.contains("revision")
        && metadata["revision"] != there->second["metadata"]["revision"]) {
        return {409, there->second};
    }
    json object = there->second;
    object["spec"] = body.value("spec", json());
    store(kind, object, request.method() == "DELETE");
    return {200, object};
}

Runner::Runner(Store &store, std::string id, const std::string &service, const std::string &address,
               const std::string &hall, Run run)
    : id_(std::move(id))
    , run_(std::move(run))
    , listener_(std::make_unique<Listener>(
              address, [this](const ConnectionPtr &connection) { serve(connection); }))
{
    store.put("servers", id_, entryOf(service, listener_->address(), hall));
}

void Runner::serve(const ConnectionPtr &connection)
{
    while (const auto request = connection->readRequest()) {
        const std::string expected = request->field("x-expect-instance").value_or(id_);
        bool open = false;
        if (expected != id_) {
            open = connection->write(
                    "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                    + request->field("x-attempt-id").value_or("")
                    + "\r\nContent-Length: 0\r\n\r\n");
        } else {
            open = run_(*request, *connection);
        }
        if (!open) {
            break;
        }
    }
}

json entryOf(const std::string &service, const std::string &address, const std::string &hall)
{
    return {{"service", service}, {"address", address}, {"zone", hall},      {"version", "v1"},
            {"slots", 6},         {"state", "ready"},   {"cold_left_ms", 0}, {"call_seq", 0}};
}

RunnerProcess::RunnerProcess(
        const std::string &address,
        std::function<void(const ConnectionPtr &, const std::function<void(std::string)> &)> serve)
    : address_(address)
{
    int pipe[2] = {-1, -1};
    if (::pipe2(pipe, O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    told_ = pipe[0];
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto tell = [out = pipe[1]](const std::string &text) {
            const std::string line = text + "\n";
            if (::write(out, line.data(), line.size()) < 0) {
                ::_exit(1);
            }
        };
        const Listener listener(address,
                                [&](const ConnectionPtr &connection) { serve(connection, tell); });
        while (true) {
            ::pause();
        }
    }
    ::close(pipe[1]);
}

RunnerProcess::~RunnerProcess()
{
    kill();
}

void RunnerProcess::tellTo(Record &record)
{
    std::thread([&record, told = told_] {
        std::string line;
        for (char letter = 0; ::read(told, &letter, 1) == 1;) {
            if (letter == '\n') {
                record.line(line);
                line.clear();
            } else {
                line += letter;
            }
        }
    }).detach();
}

void RunnerProcess::kill()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
    process_ = -1;
}

Gateway::Gateway(const std::string &name, std::string ip, const std::string &hall,
                 const std::string &storeAddress, const std::string &folder)
    : ip_(std::move(ip))
{
    // The template of the deploy file, filled as the platform fills it, with the bounds of the
    // small deployments.
    std::string text = fileText("deploy/node.ini.template");
    const std::vector<std::pair<std::string, std::string>> values = {
            {"{{node}}", name},
            {"{{zone}}", hall},
            {"{{region}}", "region-a"},
            {"{{listen.front}}", front()},
            {"{{listen.ready}}", ip_ + ":8220"},
            {"{{listen.control}}", ip_ + ":8229"},
            {"{{ip}}:{{internal_ports.0}}", ip_ + ":7340"},
            {"{{platform.address}}", storeAddress},
            {"{{seed_nodes}}", ip_ + ":8229"},
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
            {"{{#bounds.evacuate_ms}}hall-drain-within = {{bounds.evacuate_ms}}ms\n", ""},
            {"{{/bounds.evacuate_ms}}{{#bounds.cold_excess}}cold-excess = "
             "{{bounds.cold_excess}}\n",
             ""},
            {"{{/bounds.cold_excess}}{{#bounds.cold_slack}}cold-slack = {{bounds.cold_slack}}\n",
             ""},
            {"{{@}}@{{.}}", hall + "@region-a"}};
    for (const auto &[from, to] : values) {
        replaceAll(text, from, to);
    }
    // What is left are the marks of parts that stand where a value is given.
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
        text.erase(at, text.find("}}", at) + 2 - at);
    }
    const std::string settings = folder + "/" + name + ".conf";
    std::ofstream(settings) << text;
    const std::string log = folder + "/" + name + ".log";
    process_ = ::fork();
    if (process_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0644);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::execl("target/limereel", "limereel", "gateway", "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
}

Gateway::~Gateway()
{
    if (running()) {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void Gateway::signal(int number) const
{
    // Never the other meanings of kill(): 0 and below stand for groups, and for all processes.
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

bool Gateway::running()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ > 0;
}

bool Gateway::waitReady(Milliseconds longest)
{
    const auto until = Clock::now() + longest;
    while (Clock::now() < until && running()) {
        if (const auto connection = connectTo(ip_ + ":8220")) {
            connection->write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
            if (connection->readAnswer(Milliseconds(1000)).status() == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

json route(const std::string &prefix, const std::string &kind, const std::string &service,
           int timeoutMs, int goalMs, int attempts)
{
    return {{"name", "r" + prefix}, {"host", "calls.example"}, {"path_prefix", prefix},
            {"kind", kind},         {"timeout_ms", timeoutMs}, {"goal_ms", goalMs},
            {"priority", 1},        {"service", service},      {"max_attempts", attempts},
            {"anonymous", false},   {"sticky", false},         {"can_resume", false},
            {"gap_goal_ms", 400}};
}

json configuration(int version, const json &routes, const std::vector<std::string> &services,
                   const json &tenants)
{
    json listed = json::array();
    for (const std::string &service : services) {
        listed.push_back({{"name", service}, {"health_path", "/health"}, {"max_conns", 100}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", listed},
            {"limits",
             {{"max_header_bytes", 8192},
              {"max_body_bytes", 65536},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", tenants}};
}

std::string plainAnswer(const Message &request, const std::string &stamp, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.field("x-attempt-id").value_or("")
           + "\r\nX-Response-Stamp: " + stamp
           + "\r\nContent-Type: application/octet-stream\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ownNetwork()
{
    const int number = static_cast<int>(::getpid());
    return "127." + std::to_string(10 + number / 250 % 240) + "." + std::to_string(number % 250 + 1)
           + ".";
}

bool troubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
