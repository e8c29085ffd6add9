// A route moves to another service while one machine is cut off from the store, and a server of the
// new service crashes. Does the machine that knows the change hold to it?

#include "Lab.h"

namespace {

constexpr int ConfigApplyMs = 2000;
constexpr int DowngradeMs = 250;
constexpr int Requests = 25;

lab::Call callOf(const std::string &attempt)
{
    lab::Call call;
    call.path = "/book/1";
    call.key = "key-one";
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
        return std::vector<lab::Route>{{"/book/", "non_idempotent", service}};
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
    lab::sleepFor(500);
    const auto seen = lab::ask(record, boxA.front(), callOf("a-seen"));
    if (!seen || newOne.runsOf("a-seen") != 1) {
        return lab::CouldNotRun;
    }
    record.line("a server has seen the effect of version 2 through front-a");
    if (lab::withTrouble()) {
        newOne.crash();
    }
    lab::sleepFor(DowngradeMs + 50);
    int regressed = 0;
    int late = 0;
    for (int number = 0; number < Requests; ++number) {
        const std::string attempt = "a-after-" + std::to_string(number);
        const bool past = lab::Clock::now() > acknowledged + lab::Milliseconds(ConfigApplyMs);
        lab::ask(record, boxA.front(), callOf(attempt));
        const int byOld =
                oldOne.runsOf(attempt) + oldTwo.runsOf(attempt) + oldThree.runsOf(attempt);
        regressed += byOld;
        late += past ? byOld : 0;
        lab::sleepFor(100);
    }
    if (lab::withTrouble()) {
        store.setCut(storeOfB, false);
    }
    record.line("sent to front-a more than downgrade_ms after a server saw the effect of version 2 "
                "there, and run by the old service: "
                + std::to_string(regressed) + " of " + std::to_string(Requests)
                + "; of these sent later than config_apply_ms after the acknowledgement: "
                + std::to_string(late));
    return regressed > 0 ? lab::Broken : lab::Held;
}

} // namespace

int main(int argc, char **argv)
{
    return lab::play(argc, argv, run);
}
