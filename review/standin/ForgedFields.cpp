// A client names fields of the system in its Connection field, as if they concerned one connection.

#include "Standin.h"

#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

/** What one client sends, and with what its Connection field is filled. */
struct Sent
{
    std::string attempt;
    std::string key;
    std::string organisation;
    std::string connection;
};

Message ask(const std::string &front, const Sent &sent)
{
    const ConnectionPtr connection = connectTo(front);
    if (!connection) {
        return {};
    }
    connection->write("POST /orders/1 HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: "
                      + sent.attempt + "\r\nX-Api-Key: " + sent.key
                      + "\r\nX-Tenant: beta\r\nX-Model: m\r\nX-Deadline-Ms: 5000\r\nConnection: "
                      + sent.connection + "\r\nContent-Length: 5\r\n\r\nhello");
    return connection->readAnswer(Milliseconds(5000));
}

std::string shown(const std::optional<std::string> &value)
{
    return value ? "'" + *value + "'" : "none";
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
    std::mutex mutex;
    std::map<std::string, Message> ran;
    Runner runner(store, "i-one", "desk", network + "2:0", "hall-a",
                  [&](const Message &request, Connection &connection) {
                      {
                          const std::lock_guard lock(mutex);
                          ran[request.field("x-attempt-id").value_or("")] = request;
                      }
                      return connection.write(plainAnswer(request, "stamp-1", "done"));
                  });
    const json tenants = json::array({{{"name", "alpha"}, {"api_keys", {"key-alpha"}}},
                                      {{"name", "beta"}, {"api_keys", {"key-beta"}}}});
    store.put("config", "main",
              configuration(
                      1, json::array({route("/orders/", "non_idempotent", "desk", 5000, 100, 1)}),
                      {"desk"}, tenants));
    Gateway gateway("front-1", network + "3", "hall-a", store.address(), folder);
    if (!gateway.waitReady(Milliseconds(20000))) {
        record.line("the gateway isn't ready");
        return 2;
    }
    const bool trouble = troubled();
    const std::vector<Sent> all = {
            {"plain-1", "key-alpha", "alpha", "keep-alive"},
            {"named-1", "key-alpha", "alpha", trouble ? "keep-alive, X-Tenant" : "keep-alive"},
            {"named-2", "key-beta", "beta", trouble ? "close, x-tenant" : "close"},
            {"named-3", "key-alpha", "alpha",
             trouble ? "X-Tenant, X-Expect-Instance, X-Deadline-Ms" : "keep-alive"}};
    bool broken = false;
    for (const Sent &sent : all) {
        record.line("client sends " + sent.attempt + " with " + sent.key
                    + ", Connection: " + sent.connection);
        const Message answer = ask(gateway.front(), sent);
        record.line("client gets status " + std::to_string(answer.status()));
        const std::lock_guard lock(mutex);
        const auto run = ran.find(sent.attempt);
        if (run == ran.end()) {
            record.line("it didn't run");
            continue;
        }
        const auto organisation = run->second.field("x-tenant");
        record.line("runner ran it with X-Tenant " + shown(organisation) + ", X-Expect-Instance "
                    + shown(run->second.field("x-expect-instance")) + ", X-Deadline-Ms "
                    + shown(run->second.field("x-deadline-ms")));
        if (organisation != sent.organisation) {
            record.line("UNASKED: its X-Tenant isn't " + sent.organisation
                        + ", the tenant that holds the key");
            broken = true;
        }
    }
    record.line(broken ? "broken" : "held");
    gateway.signal(SIGKILL);
    ::_exit(broken ? 1 : 0);
}
