#include "services/CrashDetector.h"

#include "http/KeptConnection.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

// A closed port refuses a connection within one round trip.
constexpr kernel::Duration ProbeTimeout = 50ms;
// For the process of a server with hundreds of connections to close them all.
constexpr kernel::Duration PortClosesWithin = 20ms;
constexpr kernel::Duration FirstReprobeDelay = 20ms; ///< The pause doubles with each probe.
constexpr kernel::Duration LastReprobeDelay = 1280ms;
// A server that crashed disappears from the platform's list within a few of its updates.
constexpr kernel::Duration UnresolvedLifetime = 15s;
constexpr std::size_t MaxUnresolved = 4096;

} // namespace

CrashDetector::CrashDetector(Context &context, Hooks hooks)
    : context_(context)
    , hooks_(std::move(hooks))
{
}

asio::awaitable<CrashDetector::ProbeResult> CrashDetector::probe(std::uint64_t server,
                                                                 kernel::Endpoint address)
{
    const auto connected =
            co_await http::KeptConnection::connect(context_.io, address, ProbeTimeout);
    if (connected) {
        (*connected)->close();
        co_return ProbeResult::Listening;
    }
    const bool unclear = connected.error().timedOut || wayLost_(server);
    co_return unclear ? ProbeResult::NoResponse : ProbeResult::Crashed;
}

asio::awaitable<bool> CrashDetector::hasCrashed(std::uint64_t server, kernel::Endpoint address)
{
    if (crashedServers_.contains(server)) {
        co_return true;
    }
    const ProbeResult result = co_await probe(server, std::move(address));
    if (result == ProbeResult::Crashed) {
        crashedServers_[server] = context_.now();
    }
    co_return result == ProbeResult::Crashed;
}

// A killed process's connections are closed before its port, which takes another one until then and
// resets it as it closes. A sound server may reset one as well, if it has too many.
asio::awaitable<bool> CrashDetector::isAboutToCrash(std::uint64_t server, kernel::Endpoint address)
{
    if (crashedServers_.contains(server)) {
        co_return true;
    }
    const auto connected =
            co_await http::KeptConnection::connect(context_.io, address, ProbeTimeout);
    if (connected) {
        asio::steady_timer timer(context_.io, PortClosesWithin);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const bool open = (*connected)->quiet();
        (*connected)->close();
        if (open) {
            co_return false;
        }
    }
    const bool crashed = co_await hasCrashed(server, std::move(address));
    co_return crashed;
}

asio::awaitable<bool> CrashDetector::findCrash(const LostAttempt &lost)
{
    const bool crashed = co_await hasCrashed(lost.server, lost.address);
    context_.counters.add("crash_looks", {{"ended", crashed ? "yes" : "no"}});
    if (crashed) {
        crashedServers_[lost.server] = context_.now();
        co_return true;
    }
    keep(lost);
    if (probedServers_.insert(lost.server).second) {
        asio::co_spawn(context_.io, probeAgain(lost.server, lost.address), asio::detached);
    }
    co_return false;
}

asio::awaitable<void> CrashDetector::probeAgain(std::uint64_t server, kernel::Endpoint address)
{
    for (kernel::Duration pause = FirstReprobeDelay; pause <= LastReprobeDelay; pause *= 2) {
        asio::steady_timer timer(context_.io, pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!isUnresolved(server)) {
            break;
        }
        const ProbeResult result = co_await probe(server, address);
        if (result == ProbeResult::Crashed) {
            context_.counters.add("crash_late_ends");
            crashedServers_[server] = context_.now();
            resolve([server](const LostAttempt &lost) { return lost.server == server; });
        }
    }
    probedServers_.erase(server);
    for (UnresolvedAttempt &unresolved : unresolved_) {
        if (unresolved.lost.server == server) {
            hooks_.handBack(unresolved.lost);
        }
    }
}

bool CrashDetector::isUnresolved(std::uint64_t server) const
{
    return std::ranges::any_of(unresolved_, [server](const UnresolvedAttempt &unresolved) {
        return unresolved.lost.server == server;
    });
}

void CrashDetector::keep(LostAttempt lost)
{
    if (unresolved_.size() < MaxUnresolved) {
        unresolved_.push_back({std::move(lost), context_.now()});
    } else {
        hooks_.handBack(lost);
    }
}

void CrashDetector::onServerDelisted(const std::string &id)
{
    resolve([&id](const LostAttempt &lost) { return lost.serverId == id; });
}

void CrashDetector::resolve(const std::function<bool(const LostAttempt &lost)> &hasCrashed)
{
    std::vector<LostAttempt> resolved;
    std::erase_if(unresolved_, [&](UnresolvedAttempt &unresolved) {
        const bool crashed = hasCrashed(unresolved.lost);
        if (crashed) {
            resolved.push_back(std::move(unresolved.lost));
        }
        return crashed;
    });
    for (LostAttempt &lost : resolved) {
        hooks_.onCrash(std::move(lost));
    }
}

void CrashDetector::expire(kernel::Instant now)
{
    std::erase_if(unresolved_, [now](const UnresolvedAttempt &unresolved) {
        return now - unresolved.since > UnresolvedLifetime;
    });
    std::erase_if(crashedServers_,
                  [now](const auto &entry) { return now - entry.second > UnresolvedLifetime; });
}

} // namespace limereel::services
