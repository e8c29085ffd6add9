// Servers hand out wrong bytes: some answers come without the server's signature. Does a caller get
// one of them as a success?

#include "Lab.h"

#include <atomic>

namespace {

constexpr int Requests = 100;
constexpr int EveryNth = 50; ///< One answer in fifty is spoilt.

lab::Outcome run(lab::Record &record)
{
    lab::Store store(record);
    const std::string ip = lab::loopback(1);
    const lab::Endpoint at = store.open(ip);
    store.put("config", "main",
              lab::configuration(1,
                                 {{"/look/", "idempotent", "desk", 3000, 2},
                                  {"/book/", "non_idempotent", "desk"},
                                  {"/write/", "streaming", "desk"}},
                                 {"desk"}, R"([{"name":"acme","api_keys":["key-one"]}])"));
    std::vector<std::unique_ptr<lab::Runner>> runners;
    std::atomic<int> answers = 0;
    for (const char *name : {"i-one", "i-two", "i-three"}) {
        runners.push_back(std::make_unique<lab::Runner>(record, name, lab::loopback(9)));
        runners.back()->enter(store, "desk", "zone-a");
        runners.back()->setServe(
                [&](lab::Runner &self, const lab::Message &request, lab::Socket &socket) {
                    self.run(request);
                    std::string bytes = self.answerTo(request, R"({"by":")" + self.id() + "\"}");
                    if (request.word(1).rfind("/write/", 0) == 0) {
                        const std::string events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
                        bytes = self.answerTo(request, events);
                        bytes.replace(bytes.find("application/json"), 16, "text/event-stream");
                    }
                    if (lab::withTrouble() && ++answers % EveryNth == 0) {
                        // Two wrong bytes in the name of the signature's field.
                        bytes.replace(bytes.find("Stamp"), 2, "Zt");
                        record.line("server " + self.id() + ": spoils its answer to "
                                    + request.get("X-Attempt-Id"));
                    }
                    return socket.send(bytes);
                });
    }
    lab::Box box(record, "front-1", ip, at, lab::freePort(ip), {ip});
    if (!box.start()) {
        return lab::CouldNotRun;
    }
    lab::sleepFor(1500);
    int unsignedOnes = 0;
    int good = 0;
    const std::vector<std::string> paths = {"/look/1", "/book/1", "/write/1"};
    for (int number = 0; number < 3 * Requests; ++number) {
        lab::Call call;
        call.path = paths[static_cast<std::size_t>(number) % paths.size()];
        call.method = call.path == "/look/1" ? "GET" : "POST";
        call.key = "key-one";
        call.attempt = "a-" + std::to_string(number);
        const auto answer = lab::ask(record, box.front(), call);
        const bool success = answer && answer->status() / 100 == 2;
        const bool whole = success && answer->whole;
        const bool isSigned = answer && !answer->get("X-Response-Stamp").empty();
        good += whole && isSigned ? 1 : 0;
        if (success && !isSigned) {
            ++unsignedOnes;
            record.line(call.attempt + " got a success without a server's signature");
        }
    }
    record.line("successes with a signature: " + std::to_string(good) + " of "
                + std::to_string(3 * Requests)
                + "; successes without one: " + std::to_string(unsignedOnes));
    if (good < Requests) {
        return lab::CouldNotRun;
    }
    return unsignedOnes > 0 ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::play(argc, argv, run);
}
