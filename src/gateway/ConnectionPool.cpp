#include "gateway/ConnectionPool.h"

namespace limereel::gateway {

namespace {

constexpr kernel::Duration DefaultKeepAlive = 4s;
// A server counts its idle timeout from when it sent its answer, and may close the connection while
// a request is in transit.
constexpr kernel::Duration KeepAliveMargin = 500ms;
constexpr kernel::Duration SurelyOpen = 1s; ///< If the server didn't announce its idle timeout.
constexpr std::size_t MaxIdle = 16;         ///< Connections per server.

} // namespace

std::optional<PooledConnection> ConnectionPool::take(const forward::ListedServer &server,
                                                     bool surelyOpen)
{
    const auto place = idle_.find(server.id);
    if (place == idle_.end()) {
        return std::nullopt;
    }
    std::vector<PooledConnection> &idle = place->second;
    const kernel::Instant now = context_.now();
    // The connection that was used last is the least likely to be closed.
    while (!idle.empty()) {
        PooledConnection last = idle.back();
        const bool intact = now < last.usableUntil && last.connection->quiet();
        const bool sure = last.keepAliveKnown || now - last.idleSince < SurelyOpen;
        if (intact && surelyOpen && !sure) {
            return std::nullopt;
        }
        idle.pop_back();
        if (intact) {
            return last;
        }
        last.connection->close();
    }
    return std::nullopt;
}

void ConnectionPool::returnUsed(const forward::ListedServer &server,
                                http::KeptConnection::Ptr connection,
                                std::optional<kernel::Duration> keptFor,
                                std::optional<kernel::Duration> idleFor)
{
    const kernel::Duration kept = keptFor ? *keptFor - KeepAliveMargin : DefaultKeepAlive;
    std::vector<PooledConnection> &idle = idle_[server.id];
    const bool usable = connection->reusable() && idleFor && *idleFor < kept;
    if (!usable || idle.size() >= MaxIdle) {
        connection->close();
        return;
    }
    // The answer may have arrived earlier: this process stalled or the caller was slow.
    const kernel::Instant idleSince = context_.now() - *idleFor;
    idle.push_back({std::move(connection), idleSince, idleSince + kept, keptFor.has_value()});
}

void ConnectionPool::returnUnused(const forward::ListedServer &server, PooledConnection unused)
{
    idle_[server.id].push_back(std::move(unused));
}

void ConnectionPool::closeIdleBefore(const std::string &id, kernel::Instant before)
{
    const auto place = idle_.find(id);
    if (place == idle_.end()) {
        return;
    }
    const std::size_t closed = std::erase_if(place->second, [before](const PooledConnection &item) {
        const bool doubted = item.idleSince < before;
        if (doubted) {
            item.connection->close();
        }
        return doubted;
    });
    context_.counters.add("connections_doubted", {}, closed);
}

void ConnectionPool::drop(const std::string &id)
{
    const auto place = idle_.find(id);
    if (place == idle_.end()) {
        return;
    }
    for (const PooledConnection &idle : place->second) {
        idle.connection->close();
    }
    idle_.erase(place);
}

void ConnectionPool::sweep()
{
    const kernel::Instant now = context_.now();
    for (auto &[id, idle] : idle_) {
        std::erase_if(idle, [&](const PooledConnection &item) {
            const bool expired = now >= item.usableUntil || !item.connection->quiet();
            if (expired) {
                item.connection->close();
            }
            return expired;
        });
    }
    std::erase_if(idle_, [](const auto &item) { return item.second.empty(); });
}

} // namespace limereel::gateway
