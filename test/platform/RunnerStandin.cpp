#include "platform/RunnerStandin.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace limereel::standin {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

std::string head(const std::string &status, const std::string &id, const std::string &stamp,
                 const std::string &more)
{
    std::string text = "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n";
    if (!stamp.empty()) {
        text += "X-Response-Stamp: " + stamp + "\r\n";
    }
    return text + more + "\r\n";
}

std::string framed(const std::string &status, const std::string &id, const std::string &stamp,
                   const std::string &body, const std::string &more = {})
{
    return head(status, id, stamp, more + "Content-Length: " + std::to_string(body.size()) + "\r\n")
           + body;
}

std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

asio::awaitable<bool> write(tcp::socket &socket, const std::string &bytes)
{
    const auto [error, count] = co_await asio::async_write(socket, asio::buffer(bytes), Quiet);
    co_return !error;
}

bool isStream(const http::Request &request)
{
    return !request.fields.get("X-Prompt-Prefix").empty();
}

int firstEvent(const http::Request &request)
{
    const std::string last(request.fields.get("Last-Event-Id"));
    return last.empty() ? 1 : std::stoi(last) + 1;
}

std::string eventsFrom(int first, int last, const std::string &version)
{
    const std::string writer = version.empty() ? "" : " by " + version;
    std::string text;
    for (int event = first; event <= last; ++event) {
        const std::string number = std::to_string(event);
        text += "id: " + number + "\ndata: piece " + number + writer + "\n\n";
    }
    return text;
}

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

RunnerStandin::RunnerStandin(asio::io_context &io, std::string name, kernel::Endpoint where)
    : io_(io)
    , name_(std::move(name))
    , where_(std::move(where))
    , acceptor_(io, tcp::endpoint(asio::ip::make_address(where_.address), where_.port))
{
    asio::co_spawn(io_, accept(), asio::detached);
}

RunnerStandin::~RunnerStandin()
{
    state_->open = false;
    room_->open = false;
    close();
}

void RunnerStandin::close()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void RunnerStandin::resetAll()
{
    for (tcp::socket *socket : state_->sockets) {
        reset(*socket);
    }
}

void RunnerStandin::crash()
{
    if (state_->ending || state_->crashed) {
        return;
    }
    ++state_->ends;
    state_->endedAt = std::chrono::steady_clock::now();
    closeRoom();
    if (followedBy) {
        name_ = followedBy(name_);
        resetAll();
        return;
    }
    state_->ending = true;
    resetAll();
    if (portEndsAfter == 0ms) {
        close();
        state_->crashed = true;
    } else {
        asio::co_spawn(io_, endPort(state_), asio::detached);
    }
}

std::size_t RunnerStandin::runs() const
{
    return static_cast<std::size_t>(std::ranges::count(state_->records, true, &RunnerRecord::ran));
}

asio::awaitable<void> RunnerStandin::endPort(std::shared_ptr<State> state)
{
    asio::steady_timer timer(io_, portEndsAfter);
    co_await timer.async_wait(Quiet);
    if (state->open) {
        close();
        state->crashed = true;
    }
}

asio::awaitable<void> RunnerStandin::endAllAfter(std::shared_ptr<State> state,
                                                 kernel::Duration after)
{
    asio::steady_timer timer(io_, after);
    co_await timer.async_wait(Quiet);
    if (state->open) {
        close();
        resetAll();
    }
}

asio::awaitable<void> RunnerStandin::accept()
{
    const std::shared_ptr<State> state = state_;
    while (state->open) {
        auto [error, socket] = co_await acceptor_.async_accept(Quiet);
        if (error) {
            break;
        }
        if (state->ending || (resetsIdle && socket.available() == 0)) {
            reset(socket);
            continue;
        }
        ++state->connections;
        asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> RunnerStandin::serve(tcp::socket socket)
{
    const std::shared_ptr<State> state = state_;
    state->sockets.insert(&socket);
    co_await serveRequests(socket);
    state->sockets.erase(&socket);
}

asio::awaitable<void> RunnerStandin::serveRequests(tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    bool more = true;
    while (more) {
        bhttp::request<bhttp::string_body> message;
        const auto [error, bytes] = co_await bhttp::async_read(socket, buffer, message, Quiet);
        if (error) {
            co_return;
        }
        http::Request request{std::string(message.method_string()),
                              std::string(message.target()),
                              {},
                              message.body()};
        for (const auto &field : message) {
            request.fields.add(std::string(field.name_string()), std::string(field.value()));
        }
        RunnerFault fault = RunnerFault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        if (fault == RunnerFault::None && turnsAway) {
            fault = RunnerFault::Reject;
        }
        more = co_await answer(socket, request, fault);
    }
}

bool RunnerStandin::endsUnder(const http::Request &request) const
{
    const bool byBody = !endedBy.empty() && request.body == endedBy;
    const std::string_view prompt = request.fields.get("X-Prompt-Prefix");
    const std::string_view shared = prompt.substr(0, std::min(prompt.rfind(','), prompt.size()));
    const auto holds = [list = "," + std::string(shared)](const std::string &part) {
        return list.find("," + part + ":") != std::string::npos;
    };
    return byBody || (shared != prompt && std::ranges::any_of(endedByParts, holds));
}

bool RunnerStandin::accepts() const
{
    return slots == 0 || room_->running < slots || room_->waiting.size() < queue;
}

// \return false if the process ended while the request waited.
asio::awaitable<bool> RunnerStandin::takeSlot(std::shared_ptr<Room> room)
{
    const std::shared_ptr<State> state = state_;
    if (room->running < slots && room->waiting.empty()) {
        ++room->running;
    } else {
        auto waiter = std::make_shared<Waiter>(Waiter{asio::steady_timer(io_)});
        waiter->timer.expires_at(asio::steady_timer::time_point::max());
        room->waiting.push_back(waiter);
        co_await waiter->timer.async_wait(Quiet);
        if (!waiter->granted || !room->open) {
            co_return false;
        }
    }
    state->mostRunning = std::max(state->mostRunning, room->running);
    co_return true;
}

void RunnerStandin::leaveSlot(Room &room)
{
    --room.running;
    while (!room.waiting.empty() && (slots == 0 || room.running < slots)) {
        ++room.running;
        room.waiting.front()->granted = true;
        room.waiting.front()->timer.cancel();
        room.waiting.pop_front();
    }
}

// What waits in a process that ends never runs.
void RunnerStandin::closeRoom()
{
    room_->open = false;
    for (const std::shared_ptr<Waiter> &waiter : room_->waiting) {
        waiter->timer.cancel();
    }
    room_ = std::make_shared<Room>();
}

// What it says of itself in the head of an answer.
std::string RunnerStandin::words(bool turnedAway) const
{
    std::string fields = saysLeaving ? "Server-Leaving: 1\r\n" : "";
    if (turnedAway && !restAsked.empty()) {
        fields += "Retry-After: " + restAsked + "\r\n";
    }
    return fields;
}

asio::awaitable<bool> RunnerStandin::answer(tcp::socket &socket, const http::Request &request,
                                            RunnerFault fault)
{
    const std::string id(request.fields.get("X-Attempt-Id"));
    const bool wrong = request.fields.get("X-Expect-Instance") != name_;
    const auto meets = [&] {
        return !wrong && fault != RunnerFault::Reject && fault != RunnerFault::Misdirect
               && fault != RunnerFault::ResetUnread && fault != RunnerFault::UnnamedReject;
    };
    if (meets() && !accepts()) {
        ++state_->rejections;
        fault = RunnerFault::Reject;
    }
    const bool runs = meets();
    state_->records.push_back({id, request, runs});
    if (wrong || fault == RunnerFault::Misdirect) {
        const std::string text = framed("421 Misdirected Request", id, "", "", words(false));
        co_return co_await write(socket, text);
    }
    if (!runs || slots == 0) {
        co_return co_await run(socket, request, fault);
    }
    const std::shared_ptr<State> state = state_;
    const std::shared_ptr<Room> room = room_;
    if (!co_await takeSlot(room)) {
        co_return false;
    }
    asio::steady_timer timer(io_, work);
    co_await timer.async_wait(Quiet);
    bool more = false;
    if (room->open) {
        more = co_await run(socket, request, fault);
    }
    if (state->open && room->open) {
        leaveSlot(*room);
    }
    co_return more;
}

asio::awaitable<bool> RunnerStandin::run(tcp::socket &socket, const http::Request &request,
                                         RunnerFault fault)
{
    const std::string id(request.fields.get("X-Attempt-Id"));
    const bool runs = fault != RunnerFault::Reject && fault != RunnerFault::ResetUnread
                      && fault != RunnerFault::UnnamedReject;
    if (runs && endsUnder(request)) {
        asio::steady_timer timer(io_, endsAfter);
        co_await timer.async_wait(Quiet);
        crash();
        co_return false;
    }
    if (runs && nextCut) {
        const CutAnswer cut = *std::exchange(nextCut, std::nullopt);
        co_await writeCut(socket, request, cut);
        co_return false;
    }
    const std::string stamp = fault == RunnerFault::Unsigned ? "" : name_ + "." + id;
    const std::string body = "done by " + name_;
    std::string text;
    switch (fault) {
    case RunnerFault::Reject:
        text = framed("503 Service Unavailable", id, "", "", "X-Not-Executed: 1\r\n" + words(true));
        break;
    case RunnerFault::UnnamedReject:
    case RunnerFault::SurplusRejection:
        text = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        break;
    case RunnerFault::Interim:
        text = head("102 Processing", id, "", "");
        break;
    case RunnerFault::Fail:
        text = framed("500 Internal Server Error", id, stamp, "it failed", words(false));
        break;
    case RunnerFault::ResetUnread:
    case RunnerFault::ResetAfter:
        reset(socket);
        co_return false;
    case RunnerFault::Silent:
        // Nothing more comes from the other side but its end.
        co_await socket.async_wait(tcp::socket::wait_read, Quiet);
        ++state_->left;
        co_return false;
    case RunnerFault::Foreign:
        text = framed("200 OK", "another", name_ + ".another", "not yours");
        break;
    case RunnerFault::Garbage:
        text = "this is no answer at all\r\n\r\n";
        break;
    case RunnerFault::Unframed:
        text = head("200 OK", id, stamp, "Connection: close\r\n")
               + (isStream(request) ? eventsFrom(firstEvent(request), events, version) : body);
        co_await write(socket, text);
        co_return false;
    case RunnerFault::CutBody:
        text = framed("200 OK", id, stamp, body);
        text.resize(text.size() - 4);
        co_await write(socket, text);
        co_return false;
    case RunnerFault::Surplus:
        text = framed("200 OK", "another", name_ + ".another", "not yours");
        break;
    default:
        break;
    }
    const bool ownFollows = fault == RunnerFault::Surplus || fault == RunnerFault::SurplusRejection
                            || fault == RunnerFault::Interim;
    if (ownFollows) {
        co_await write(socket, text);
        text.clear();
    }
    if (text.empty() && isStream(request)) {
        co_return co_await stream(socket, request, fault);
    }
    if (text.empty()) {
        text = framed("200 OK", id, stamp, body, words(false));
    }
    if (fault == RunnerFault::Trailing) {
        text += "HTTP/1.1 200 OK\r\n";
    }
    co_return co_await write(socket, text);
}

std::string RunnerStandin::framedBody(const http::Request &request, AnswerFraming framing) const
{
    std::vector<std::string> pieces;
    if (isStream(request)) {
        for (int event = firstEvent(request); event <= events; ++event) {
            const std::string bytes = eventsFrom(event, event, version);
            pieces.push_back(numbersEvents ? bytes : bytes.substr(bytes.find("data:")));
        }
    } else {
        pieces.push_back("done by " + name_);
    }
    std::string bytes;
    for (const std::string &piece : pieces) {
        bytes += framing == AnswerFraming::Chunks ? chunk(piece) : piece;
    }
    return framing == AnswerFraming::Chunks ? bytes + "0\r\n\r\n" : bytes;
}

asio::awaitable<void> RunnerStandin::writeCut(tcp::socket &socket, const http::Request &request,
                                              CutAnswer cut)
{
    const std::string body = framedBody(request, cut.framing);
    std::string fields = isStream(request) ? "Content-Type: text/event-stream\r\n" : "";
    if (cut.framing == AnswerFraming::Length) {
        fields += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    } else if (cut.framing == AnswerFraming::Chunks) {
        fields += "Transfer-Encoding: chunked\r\n";
    }
    const std::string id(request.fields.get("X-Attempt-Id"));
    const std::string text =
            head("200 OK", id, name_ + "." + id, fields + words(false)) + body.substr(0, cut.bytes);
    if (cut.portToo && cut.portAfter == 0ms) {
        close();
    }
    co_await write(socket, text);
    if (cut.portToo && cut.portAfter > 0ms) {
        asio::co_spawn(io_, endAllAfter(state_, cut.portAfter), asio::detached);
    }
    if (cut.reset) {
        reset(socket);
    }
}

asio::awaitable<bool> RunnerStandin::stream(tcp::socket &socket, const http::Request &request,
                                            RunnerFault fault)
{
    const std::string id(request.fields.get("X-Attempt-Id"));
    const int first = firstEvent(request);
    const std::string stamp = fault == RunnerFault::Unsigned ? "" : name_ + "." + id;
    std::string text = head("200 OK", id, stamp,
                            words(false)
                                    + "Content-Type: text/event-stream\r\n"
                                      "Transfer-Encoding: chunked\r\n");
    if (!co_await write(socket, text)) {
        co_return false;
    }
    for (int event = first; event <= events; ++event) {
        const std::string numbered = eventsFrom(event, event, version);
        const std::string bytes =
                numbersEvents ? numbered : numbered.substr(numbered.find("data:"));
        if (fault == RunnerFault::CutStream && event == first + 2) {
            const std::string part = chunk(bytes.substr(0, bytes.size() / 2));
            co_await write(socket, part);
            reset(socket);
            co_return false;
        }
        const std::string whole = chunk(bytes);
        if (!co_await write(socket, whole)) {
            ++state_->left;
            co_return false;
        }
        if (pause > 0ms) {
            asio::steady_timer timer(io_, pause);
            co_await timer.async_wait(Quiet);
        }
    }
    const std::string end = "0\r\n\r\n";
    co_return co_await write(socket, end);
}

} // namespace limereel::standin
