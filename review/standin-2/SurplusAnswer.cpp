// A faulty server sends bytes that belong to no request where its next answer is due. Does the
// request that waits there run twice?

#include "Lab.h"

#include <atomic>
#include <mutex>
#include <set>

namespace {

constexpr int Callers = 4;
constexpr int Requests = 800;
constexpr int WorkMs = 15;
constexpr int EveryNth = 34; ///< One answer in so many has something behind it: under 3 in 100.

// Bytes behind a whole answer. They come late, in the place of the next one, and carry no id.
const std::string Surplus = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                            "Content-Length: 0\r\n\r\n";

lab::Outcome run(lab::Record &record)
{
    lab::Store store(record);
    const std::string ip = lab::loopback(1);
    const lab::Endpoint at = store.open(ip);
    store.put("config", "main",
              lab::configuration(1, {{"/book/", "non_idempotent", "desk"}}, {"desk"},
                                 R"([{"name":"acme","api_keys":["key-one"]}])"));
    std::vector<std::unique_ptr<lab::Runner>> runners;
    for (const char *name : {"i-one", "i-two"}) {
        runners.push_back(std::make_unique<lab::Runner>(record, name, lab::loopback(9)));
        runners.back()->enter(store, "desk", "zone-a");
    }
    std::mutex mutex;
    std::set<lab::Socket *> spoilt; // Connections on which something is still to come.
    std::atomic<int> answers = 0;
    runners.back()->setServe(
            [](lab::Runner &self, const lab::Message &request, lab::Socket &socket) {
                self.run(request);
                lab::sleepFor(WorkMs);
                return socket.send(self.answerTo(request, "{\"by\":\"i-two\"}"));
            });
    runners.front()->setServe(
            [&](lab::Runner &self, const lab::Message &request, lab::Socket &socket) {
                bool due = false;
                {
                    const std::lock_guard lock(mutex);
                    due = spoilt.erase(&socket) > 0;
                }
                if (due) {
                    record.line("server " + self.id()
                                + ": sends late what belongs to no request, a 503 without an id");
                    socket.send(Surplus);
                }
                self.run(request);
                lab::sleepFor(WorkMs);
                if (lab::withTrouble() && ++answers % EveryNth == 0) {
                    const std::lock_guard lock(mutex);
                    spoilt.insert(&socket);
                }
                return socket.send(self.answerTo(request, "{\"by\":\"i-one\"}"));
            });
    lab::Box box(record, "front-1", ip, at, lab::freePort(ip), {ip});
    if (!box.start()) {
        return lab::CouldNotRun;
    }
    lab::sleepFor(1500);
    std::atomic<int> twice = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> good = 0;
    const auto callOnce = [&](const std::string &attempt) {
        lab::Call call;
        call.path = "/book/" + attempt;
        call.key = "key-one";
        call.attempt = attempt;
        const auto answer = lab::ask(record, box.front(), call);
        lab::sleepFor(2 * WorkMs);
        const int runs = runners[0]->runsOf(attempt) + runners[1]->runsOf(attempt);
        const int status = answer ? answer->status() : 0;
        const bool promise = status == 429 || status == 503 || status == 408 || status == 421;
        good += status == 200 ? 1 : 0;
        twice += runs > 1 ? 1 : 0;
        refused += promise && runs > 0 ? 1 : 0;
        if (runs > 1) {
            record.line(attempt + " has run " + std::to_string(runs) + " times");
        }
    };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&callOnce, caller] {
            for (int number = 0; number < Requests / Callers; ++number) {
                callOnce("a-" + std::to_string(caller) + "-" + std::to_string(number));
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record.line("answered with 200: " + std::to_string(good) + " of " + std::to_string(Requests)
                + "; run more than once: " + std::to_string(twice)
                + "; refused although run: " + std::to_string(refused));
    if (good < Requests / 2) {
        return lab::CouldNotRun;
    }
    return twice + refused > 0 ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::play(argc, argv, run);
}
