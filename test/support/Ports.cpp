#include "support/Ports.h"

#include <boost/asio.hpp>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <sys/file.h>
#include <unistd.h>

namespace limereel::support {

namespace asio = boost::asio;

namespace {

constexpr std::uint16_t First = 12000;
constexpr std::uint32_t BlockPorts = 250; ///< Some programs take a whole block.
constexpr std::uint32_t Blocks = 80;

// Strictly: a port on which old connections still wait counts as taken.
bool isFree(std::uint16_t port)
{
    asio::io_context io;
    boost::system::error_code error;
    const auto address = asio::ip::make_address("127.0.0.1");
    asio::ip::tcp::acceptor tcp(io);
    tcp.open(asio::ip::tcp::v4());
    tcp.bind({address, port}, error);
    if (error) {
        return false;
    }
    asio::ip::udp::socket udp(io);
    udp.open(asio::ip::udp::v4());
    udp.bind({address, port}, error);
    return !error;
}

// Tests run side by side, and a port that is free when it is looked at may be another program's a
// moment later. So each program takes a block of ports for itself, by a lock that ends with it.
// \return the first port of the block.
std::uint16_t takeBlock()
{
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid());
    for (std::uint32_t tried = 0; tried < Blocks; ++tried) {
        const std::uint32_t block = next++ % Blocks;
        const auto file = std::filesystem::temp_directory_path()
                          / ("limereel-test-ports-" + std::to_string(block));
        const int lock = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (lock >= 0 && ::flock(lock, LOCK_EX | LOCK_NB) == 0) {
            return static_cast<std::uint16_t>(First + block * BlockPorts);
        }
        if (lock >= 0) {
            ::close(lock);
        }
    }
    throw std::runtime_error("all blocks of ports are taken");
}

} // namespace

kernel::Endpoint freeEndpoint()
{
    static std::uint16_t next = 0;
    static std::uint32_t left = 0;
    while (true) {
        if (left == 0) {
            next = takeBlock();
            left = BlockPorts;
        }
        --left;
        const std::uint16_t port = next++;
        if (isFree(port)) {
            return {"127.0.0.1", port};
        }
    }
}

} // namespace limereel::support
