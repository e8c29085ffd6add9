// A route moves to another service while one machine is cut off from the store, and a server of the
// new service crashes. Does the machine that knows the change hold to it?

#include "Lab.h"

namespace {

constexpr int ConfigApplyMs = 2000;
constexpr int DowngradeMs = 250;

lab::Call callOf(const std::string &attempt)
{
    lab::Call call;
    call.path = "/book/1";
    call.attempt = attempt;
    return call;
}

lab::Outcome run(lab::Record &record)
{
    lab::Store store(record);
    const std::string ipA = lab::loopback(1);
    const std::string ipB = lab::loopback(2);
    const lab::Endpoint storeOfA = store.open(ipA);
    const lab::Endpoint storeOfB = store.open(ipB);
    const std::string tenants = R"([{"name":"acme","api_keys":["key-one"]}])";
    const auto routesTo = [](const std::string &service) {
        std::vector<lab::Route> routes = {{"/book/", "non_idempotent", service}};
        routes.front().anonymous = true;
        return routes;
    };
    const std::vector<std::string> services = {"old", "new"};
    store.put("config", "main", lab::configuration(1, routesTo("old"), services, tenants));
    lab::Runner oldOne(record, "i-old-1", lab::loopback(9));
    lab::Runner oldTwo(record, "i-old-2", lab::loopback(9));
    lab::Runner oldThree(record, "i-old-3", lab::loopback(9));
    lab::Runner newOne(record, "i-new-1", lab::loopback(9));
    for (lab::Runner *runner : {&oldOne, &oldTwo, &oldThree}) {
        runner->enter(store, "old", "zone-a");
    }
    newOne.enter(store, "new", "zone-a");
    const int peerPort = lab::freePort(ipA);
    lab::Box boxA(record, "front-a", ipA, storeOfA, peerPort, {ipA, ipB});
    lab::Box boxB(record, "front-b", ipB, storeOfB, peerPort, {ipA, ipB});
    if (!boxA.start() || !boxB.start()) {
        return lab::CouldNotRun;
    }
    lab::sleepFor(4000); // The machines know each other.
    const auto before = lab::ask(record, boxA.front(), callOf("a-before"));
    if (!before || before->status() != 200) {
        return lab::CouldNotRun;
    }
    if (lab::withTrouble()) {
        store.setCut(storeOfB, true);
        lab::sleepFor(100);
    }
    store.put("config", "main", lab::configuration(2, routesTo("new"), services, tenants));
    const auto acknowledged = lab::Clock::now();
    lab::sleepFor(1000);
    const auto seen = lab::ask(record, boxA.front(), callOf("a-seen"));
    if (!seen || newOne.runsOf("a-seen") != 1) {
        return lab::CouldNotRun;
    }
    record.line("a server has seen the effect of version 2 through front-a");
    if (lab::withTrouble()) {
        newOne.crash();
    }
    std::this_thread::sleep_until(acknowledged + lab::Milliseconds(ConfigApplyMs + DowngradeMs));
    int byOld = 0;
    for (int number = 0; number < 10; ++number) {
        const std::string attempt = "a-after-" + std::to_string(number);
        lab::ask(record, boxA.front(), callOf(attempt));
        byOld += oldOne.runsOf(attempt) + oldTwo.runsOf(attempt) + oldThree.runsOf(attempt);
        lab::sleepFor(100);
    }
    if (lab::withTrouble()) {
        store.setCut(storeOfB, false);
    }
    record.line("sent to front-a after it had handled a request by version 2 and more than "
                "config_apply_ms after that version's acknowledgement, and run by the old service: "
                + std::to_string(byOld) + " of 10");
    return byOld > 0 ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::play(argc, argv, run);
}
