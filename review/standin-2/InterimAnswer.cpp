// Faulty servers send bytes that form no final answer ahead of their whole answer. Does the caller
// still get that answer?

#include "Lab.h"

#include <atomic>

namespace {

constexpr int Callers = 4;
constexpr int Requests = 1400;
constexpr int EveryNth = 50;   ///< One answer in fifty of a faulty server.
constexpr int TimeoutMs = 600; ///< The route's timeout_ms and the callers' deadline.
constexpr int WorkMs = 10;
constexpr int MostUnanswered = 7; ///< The rule: eight or more.

/** What a caller of one request got. */
struct Got
{
    int status = 0; ///< Of the final answer; 0: there was none by half a second after the timeout.
    bool interim = false;
};

// A caller of HTTP/1.1: what has a status of 1xx is no final answer, and it waits on.
Got waitForFinal(lab::Record &record, const lab::Endpoint &front, const lab::Call &call)
{
    Got got;
    const auto socket = lab::connectTo(front);
    record.line("caller: sends " + call.attempt + " " + call.method + " " + call.path);
    if (!socket || !socket->send(lab::bytesOf(call))) {
        return got;
    }
    const auto until = lab::Clock::now() + lab::Milliseconds(TimeoutMs + 500);
    while (got.status == 0) {
        const auto left = std::chrono::duration_cast<lab::Milliseconds>(until - lab::Clock::now());
        const auto answer = socket->read(false, left);
        if (!answer) {
            record.line("caller: " + call.attempt
                        + " has no final answer half a second after the route's timeout");
            return got;
        }
        if (answer->status() / 100 == 1) {
            got.interim = true;
            record.line("caller: " + call.attempt + " gets " + answer->start + ", waits on");
            continue;
        }
        got.status = answer->status();
        record.line("caller: " + call.attempt + " gets " + std::to_string(got.status)
                    + ", signature " + answer->get("X-Response-Stamp"));
    }
    return got;
}

lab::Outcome run(lab::Record &record)
{
    lab::Store store(record);
    const std::string ip = lab::loopback(1);
    const lab::Endpoint at = store.open(ip);
    store.put("config", "main",
              lab::configuration(1, {{"/book/", "non_idempotent", "desk", TimeoutMs, 1}}, {"desk"},
                                 R"([{"name":"acme","api_keys":["key-one"]}])"));
    std::vector<std::unique_ptr<lab::Runner>> runners;
    std::atomic<int> answers = 0;
    for (const char *name : {"i-one", "i-two", "i-three", "i-four"}) {
        runners.push_back(std::make_unique<lab::Runner>(record, name, lab::loopback(9)));
        runners.back()->enter(store, "desk", "zone-a");
        const bool faulty = runners.size() <= 2;
        runners.back()->setServe([&record, &answers, faulty](lab::Runner &self,
                                                             const lab::Message &request,
                                                             lab::Socket &socket) {
            self.run(request);
            const std::string attempt = request.get("X-Attempt-Id");
            if (faulty && lab::withTrouble() && ++answers % EveryNth == 0) {
                record.line("server " + self.id() + ": sends 102 and then its answer to "
                            + attempt);
                socket.send("HTTP/1.1 102 Processing\r\nX-Attempt-Id: " + attempt + "\r\n\r\n");
            }
            lab::sleepFor(WorkMs);
            return socket.send(self.answerTo(request, "{}"));
        });
    }
    lab::Box box(record, "front-1", ip, at, lab::freePort(ip), {ip});
    if (!box.start()) {
        return lab::CouldNotRun;
    }
    lab::sleepFor(1500);
    std::atomic<int> good = 0;
    std::atomic<int> unanswered = 0;
    const auto callAll = [&](int caller) {
        for (int number = 0; number < Requests / Callers; ++number) {
            lab::Call call;
            call.path = "/book/1";
            call.key = "key-one";
            call.deadlineMs = TimeoutMs;
            call.attempt = "a-" + std::to_string(caller) + "-" + std::to_string(number);
            const Got got = waitForFinal(record, box.front(), call);
            good += got.status == 200 ? 1 : 0;
            unanswered += got.status == 0 ? 1 : 0;
        }
    };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back(callAll, caller);
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record.line("answered with 200: " + std::to_string(good) + " of " + std::to_string(Requests)
                + "; without a final answer half a second after the route's timeout: "
                + std::to_string(unanswered));
    if (good < Requests / 2) {
        return lab::CouldNotRun;
    }
    return unanswered > MostUnanswered ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::play(argc, argv, run);
}
