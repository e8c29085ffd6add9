#include "http/SocketState.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
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

Arrived arrivedAt(int socket)
{
    char byte = 0;
    ssize_t peeked = 0;
    do {
        peeked = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    } while (peeked < 0 && errno == EINTR);
    if (peeked > 0) {
        return Arrived::Bytes;
    }
    if (peeked == 0) {
        return Arrived::End;
    }
    const bool nothing = errno == EAGAIN || errno == EWOULDBLOCK;
    return nothing ? Arrived::Nothing : Arrived::Broken;
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
