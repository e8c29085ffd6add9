#include "gateway/ConnectionPool.h"

namespace limereel::gateway {

namespace {

constexpr kernel::Duration KeptUntold = 4s;
// A server counts its idle time from when its answer left, and closes while a request is on its
// way.
constexpr kernel::Duration Margin = 500ms;
constexpr kernel::Duration SurelyOpen = 1s; ///< Where the server didn't say how long it waits.
constexpr std::size_t MostIdle = 16;        ///< To one server.

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
    // The one that was used last is the least likely to be closed.
    while (!idle.empty()) {
        PooledConnection last = idle.back();
        const bool sound = now < last.usableUntil && last.connection->quiet();
        const bool sure = last.keepAliveKnown || now - last.idleSince < SurelyOpen;
        if (sound && surelyOpen && !sure) {
            return std::nullopt;
        }
        idle.pop_back();
        if (sound) {
            return last;
        }
        last.connection->close();
    }
    return std::nullopt;
}

void ConnectionPool::returnUsed(const forward::ListedServer &server,
                                http::KeptConnection::Ptr connection,
                                std::optional<kernel::Duration> keptFor,
                                std::optional<kernel::Duration> rested)
{
    const kernel::Duration kept = keptFor ? *keptFor - Margin : KeptUntold;
    std::vector<PooledConnection> &idle = idle_[server.id];
    const bool usable = connection->reusable() && rested && *rested < kept;
    if (!usable || idle.size() >= MostIdle) {
        connection->close();
        return;
    }
    // This process may have stood still, or its caller been slow, while the answer lay there.
    const kernel::Instant idleSince = context_.now() - *rested;
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
            const bool over = now >= item.usableUntil || !item.connection->quiet();
            if (over) {
                item.connection->close();
            }
            return over;
        });
    }
    std::erase_if(idle_, [](const auto &item) { return item.second.empty(); });
}

} // namespace limereel::gateway
