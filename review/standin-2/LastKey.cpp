// The last API key of a deployment is taken away: does it stop working?

#include "Lab.h"

namespace {

constexpr int RevokeMs = 5000;
constexpr int ConfigApplyMs = 2000;

lab::Call callWith(const std::string &key, const std::string &attempt)
{
    lab::Call call;
    call.path = "/book/1";
    call.key = key;
    call.attempt = attempt;
    return call;
}

lab::Outcome run(lab::Record &record)
{
    const std::vector<lab::Route> routes = {{"/book/", "non_idempotent", "desk"}};
    lab::Store store(record);
    const std::string ip = lab::loopback(1);
    const lab::Endpoint at = store.open(ip);
    store.put("config", "main",
              lab::configuration(1, routes, {"desk"},
                                 R"([{"name":"acme","api_keys":["key-one","key-two"]}])"));
    lab::Runner runner(record, "i-one", lab::loopback(9));
    runner.enter(store, "desk", "zone-a");
    lab::Box box(record, "front-1", ip, at, lab::freePort(ip), {ip});
    if (!box.start()) {
        return lab::CouldNotRun;
    }
    const auto first = lab::ask(record, box.front(), callWith("key-one", "a-first"));
    const auto other = lab::ask(record, box.front(), callWith("key-two", "a-other"));
    const auto foreign = lab::ask(record, box.front(), callWith("key-never", "a-never-before"));
    if (!first || first->status() != 200 || !other || other->status() != 200 || !foreign
        || foreign->status() != 401) {
        return lab::CouldNotRun;
    }
    if (lab::withTrouble()) {
        store.put("config", "main",
                  lab::configuration(2, routes, {"desk"},
                                     R"([{"name":"acme","api_keys":["key-two"]}])"));
        lab::sleepFor(1500);
        store.put("config", "main", lab::configuration(3, routes, {"desk"}, "[]"));
    }
    lab::sleepFor(RevokeMs + ConfigApplyMs);
    int broken = 0;
    for (int number = 0; number < 5; ++number) {
        const std::string attempt = "a-after-" + std::to_string(number);
        lab::ask(record, box.front(), callWith("key-two", attempt));
        broken += lab::withTrouble() ? runner.runsOf(attempt) : 0;
    }
    lab::ask(record, box.front(), callWith("key-never", "a-never-after"));
    const int never = runner.runsOf("a-never-after");
    record.line("sent with a key that was taken away more than revoke_ms before, and run: "
                + std::to_string(broken) + " of 5; sent with a key of no configuration, and run: "
                + std::to_string(never) + " of 1");
    return broken + never > 0 ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::play(argc, argv, run);
}
