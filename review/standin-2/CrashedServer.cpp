// A server's process is killed while it answers, without a length, as it may. Does the part that it
// had sent reach the caller as a whole answer?

#include "Lab.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

constexpr int Servers = 4;
constexpr int OtherCallers = 300; ///< Connections of other callers; max_conns is 360.
constexpr int PlainCalls = 18;
constexpr int StreamCalls = 6;
constexpr int Events = 20;
constexpr int EventMs = 40;
constexpr int KillAfterMs = 430; ///< After the calls began; in the middle of their answers.

std::string eventOf(const std::string &attempt, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + attempt + " piece "
           + std::to_string(number) + " of " + std::to_string(Events) + "\n\n";
}

// One server, a process of its own. Its answers have no length and end with their connections.
int serve(const std::string &id, const std::string &ip, int port)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::signal(SIGPIPE, SIG_IGN);
    const lab::Listener listener({ip, port}, [&id](const lab::SocketPtr &socket) {
        const auto request = socket->read(true, lab::Milliseconds(120000));
        if (!request) {
            return;
        }
        const std::string attempt = request->get("X-Attempt-Id");
        const bool stream = request->word(1).rfind("/write/", 0) == 0;
        socket->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Stamp: " + id
                     + ".1.c9f2a4d1\r\nConnection: close\r\nContent-Type: "
                     + (stream ? "text/event-stream" : "text/plain") + "\r\n\r\n");
        for (int number = 1; number <= Events; ++number) {
            lab::sleepFor(EventMs);
            if (!socket->send(eventOf(attempt, number))) {
                break;
            }
        }
        socket->close();
    });
    while (true) {
        ::pause();
    }
}

/** Starts this program once more as a server. */
class ServerProcess
{
public:
    ServerProcess(const char *program, const std::string &id, const lab::Endpoint &where)
        : process_(::fork())
    {
        if (process_ == 0) {
            const std::string port = std::to_string(where.port);
            ::execl(program, program, "--server", id.c_str(), where.ip.c_str(), port.c_str(),
                    nullptr);
            ::_exit(127);
        }
    }
    ~ServerProcess() { kill(); }
    ServerProcess(const ServerProcess &) = delete;
    ServerProcess &operator=(const ServerProcess &) = delete;

    void kill()
    {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }

private:
    pid_t process_;
};

lab::Outcome run(lab::Record &record, const char *program)
{
    lab::Store store(record);
    const std::string ip = lab::loopback(1);
    const lab::Endpoint at = store.open(ip);
    store.put("config", "main",
              lab::configuration(
                      1, {{"/book/", "non_idempotent", "desk"}, {"/write/", "streaming", "desk"}},
                      {"desk"}, R"([{"name":"acme","api_keys":["key-one"]}])"));
    std::vector<std::unique_ptr<ServerProcess>> servers;
    std::vector<lab::SocketPtr> others;
    for (int number = 0; number < Servers; ++number) {
        const std::string id = "i-" + std::to_string(number);
        const std::string serverIp = lab::loopback(10 + number);
        const lab::Endpoint where{serverIp, lab::freePort(serverIp)};
        servers.push_back(std::make_unique<ServerProcess>(program, id, where));
        lab::SocketPtr reached;
        for (int look = 0; look < 100 && !reached; ++look) {
            lab::sleepFor(20);
            reached = lab::connectTo(where);
        }
        if (!reached) {
            return lab::CouldNotRun;
        }
        for (int other = 0; number == 0 && other < OtherCallers; ++other) {
            others.push_back(lab::connectTo(where));
        }
        lab::Runner::enterAs(store, id, where, "desk", "zone-a");
    }
    lab::Box box(record, "front-1", ip, at, lab::freePort(ip), {ip});
    if (!box.start()) {
        return lab::CouldNotRun;
    }
    lab::sleepFor(1500);
    std::atomic<int> wholePlain = 0;
    std::atomic<int> wholeStreams = 0;
    std::atomic<int> partPlain = 0;
    std::atomic<int> partStreams = 0;
    std::atomic<int> told = 0;
    const auto callOnce = [&](const std::string &path, const std::string &attempt) {
        lab::Call call;
        call.path = path + attempt;
        call.key = "key-one";
        call.attempt = attempt;
        const bool stream = path == "/write/";
        const auto answer = lab::ask(record, box.front(), call);
        if (!answer || answer->status() != 200 || !answer->whole) {
            ++told;
            return;
        }
        std::string all;
        for (int number = 1; number <= Events; ++number) {
            all += eventOf(attempt, number);
        }
        if (answer->body == all) {
            ++(stream ? wholeStreams : wholePlain);
            return;
        }
        ++(stream ? partStreams : partPlain);
        record.line(attempt + " got a part as whole: " + std::to_string(answer->body.size())
                    + " of " + std::to_string(all.size()) + " bytes");
    };
    std::vector<std::thread> callers;
    for (int number = 0; number < PlainCalls; ++number) {
        callers.emplace_back(callOnce, "/book/", "plain-" + std::to_string(number));
    }
    for (int number = 0; number < StreamCalls; ++number) {
        callers.emplace_back(callOnce, "/write/", "stream-" + std::to_string(number));
    }
    lab::sleepFor(KillAfterMs);
    if (lab::withTrouble()) {
        record.line("server i-0: its process is killed");
        servers.front()->kill();
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record.line("whole: " + std::to_string(wholePlain) + " plain answers, "
                + std::to_string(wholeStreams) + " streams; parts that look whole: "
                + std::to_string(partPlain) + " plain answers, " + std::to_string(partStreams)
                + " streams; told to have failed or cut visibly: " + std::to_string(told));
    if (wholePlain + wholeStreams < (PlainCalls + StreamCalls) / 2) {
        return lab::CouldNotRun;
    }
    return partPlain + partStreams > 0 ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 5 && std::string(argv[1]) == "--server") {
        return serve(argv[2], argv[3], std::atoi(argv[4]));
    }
    const char *program = argv[0];
    return lab::play(argc, argv, [program](lab::Record &record) { return run(record, program); });
}
