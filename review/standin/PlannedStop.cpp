// During a planned stop, a caller whose stream ends sends its next request on the same connection.

#include "Standin.h"

#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

constexpr Milliseconds Pause(250); ///< Between two events.
constexpr int FirstEvents = 24;    ///< Six seconds.
constexpr int SecondEvents = 18;   ///< Four and a half seconds.
constexpr Milliseconds BeforeStop(1000);
constexpr Milliseconds Grace(8000);

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string eventAt(int number)
{
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: part " + text + "\n\n";
}

int eventsOf(const Message &request)
{
    return request.target().ends_with("first") ? FirstEvents : SecondEvents;
}

bool ask(Connection &connection, const std::string &attempt, const std::string &target)
{
    return connection.write("POST " + target + " HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: "
                            + attempt + "\r\nX-Api-Key: key-one\r\nX-Deadline-Ms: 12000\r\n"
                            + "Content-Length: 5\r\n\r\nhello");
}

/** A backend server that answers with a stream. */
bool stream(Record &record, const Message &request, Connection &connection)
{
    const std::string attempt = request.field("x-attempt-id").value_or("");
    record.line("runner runs " + attempt);
    connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                     + "\r\nX-Response-Stamp: stamp-1\r\nContent-Type: text/event-stream\r\n"
                     + "Transfer-Encoding: chunked\r\n\r\n");
    const int events = eventsOf(request);
    for (int i = 1; i <= events; ++i) {
        if (!connection.write(chunk(eventAt(i)))) {
            record.line("runner finds the connection of " + attempt + " closed at event "
                        + std::to_string(i) + " of " + std::to_string(events));
            return false;
        }
        std::this_thread::sleep_for(Pause);
    }
    record.line("runner has sent all events of " + attempt);
    return connection.write("0\r\n\r\n");
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    const std::string folder = argv[1];
    Record record(argv[2]);
    const std::string network = ownNetwork();
    Store store(network + "1:8223");
    Runner runner(store, "i-one", "desk", network + "2:0", "hall-a",
                  [&](const Message &request, Connection &connection) {
                      return stream(record, request, connection);
                  });
    store.put("config", "main",
              configuration(1,
                            json::array({route("/drafts/", "streaming", "desk", 12000, 1200, 1)}),
                            {"desk"}, json::array({{{"name", "one"}, {"api_keys", {"key-one"}}}})));
    Gateway gateway("front-1", network + "3", "hall-a", store.address(), folder);
    if (!gateway.waitReady(Milliseconds(20000))) {
        record.line("the gateway isn't ready");
        return 2;
    }
    const ConnectionPtr connection = connectTo(gateway.front());
    if (!connection || !ask(*connection, "first", "/drafts/first")) {
        return 2;
    }
    record.line("client sends first");
    std::this_thread::sleep_for(BeforeStop);
    const bool trouble = troubled();
    if (trouble) {
        gateway.signal(SIGTERM);
        record.line("SIGTERM to the gateway");
    }
    const auto stopped = Clock::now();
    std::thread platform([&] {
        while (trouble && gateway.running() && Clock::now() - stopped < Grace) {
            std::this_thread::sleep_for(Milliseconds(10));
        }
        if (trouble) {
            record.line(gateway.running() ? "SIGKILL to the gateway" : "the gateway has ended");
            gateway.signal(SIGKILL);
        }
    });
    const Message first = connection->readAnswer(Milliseconds(12000));
    record.line("client gets first: status " + std::to_string(first.status()) + ", Connection "
                + first.field("connection").value_or("none")
                + (first.whole ? ", complete" : ", cut"));
    if (!first.whole || first.field("connection").value_or("") == "close") {
        record.line("the connection isn't kept; nothing to show");
        return first.whole ? 0 : 1;
    }
    const bool sent = ask(*connection, "second", "/drafts/second");
    const auto since = std::chrono::duration_cast<Milliseconds>(Clock::now() - stopped).count();
    record.line("client sends second on the same connection, "
                + std::string(sent ? "" : "in vain, ") + std::to_string(since)
                + " ms after the stop began");
    const Message second = connection->readAnswer(Milliseconds(12000));
    record.line("client gets second: status " + std::to_string(second.status())
                + (second.whole ? ", complete, " : ", cut after ")
                + std::to_string(second.body.size()) + " bytes");
    // Refused as not run, or closed before anything was passed on, is no loss.
    const bool broken = second.status() == 200 && !second.whole;
    if (broken) {
        record.line("LOST: it was read and passed on to the runner, and has no complete answer");
    }
    platform.join();
    record.line(broken ? "broken" : "held");
    gateway.signal(SIGKILL);
    ::_exit(broken ? 1 : 0);
}
