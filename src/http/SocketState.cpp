#include "http/SocketState.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace limereel::http {

std::string_view text(Arrived arrived)
{
    switch (arrived) {
    case Arrived::Nothing:
        return "nothing";
    case Arrived::Bytes:
        return "bytes";
    case Arrived::End:
        return "end";
    case Arrived::Broken:
        break;
    }
    return "broken";
}

// Reads nothing, not even with MSG_PEEK: that would take a pending reset away, and the next read
// would find an orderly end in its place.
Arrived arrivedAt(int socket)
{
    pollfd look{socket, POLLIN | POLLRDHUP, 0};
    int ready = 0;
    do {
        ready = ::poll(&look, 1, 0);
    } while (ready < 0 && errno == EINTR);
    if (socket < 0 || ready < 0 || (look.revents & POLLNVAL) != 0) {
        return Arrived::Broken;
    }
    if (look.revents == 0) {
        return Arrived::Nothing;
    }
    int bytes = 0;
    if (::ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0) {
        return Arrived::Bytes;
    }
    return (look.revents & POLLERR) != 0 ? Arrived::Broken : Arrived::End;
}

bool hasRoom(int socket)
{
    pollfd look{socket, POLLOUT, 0};
    int ready = 0;
    do {
        ready = ::poll(&look, 1, 0);
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

// The operating system says so in the same way.
bool connectIsOver(int socket)
{
    return hasRoom(socket);
}

std::optional<kernel::Duration> sinceLastBytes(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

} // namespace limereel::http
