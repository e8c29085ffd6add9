#include "platform/soak/SoakFleet.h"

#include "support/Ports.h"

#include <fstream>

namespace limereel::soak {

namespace {

constexpr int Halls = 3;
constexpr int FirstRetrySlack = static_cast<int>(RepeatBound.slack);

} // namespace

SoakFleet::SoakFleet(std::filesystem::path folder, std::size_t boxes, SoakBounds bounds,
                     bool admission)
    : folder_(std::move(folder))
    , bounds_(bounds)
    , admission_(admission)
    , boxes_(boxes)
{
    std::filesystem::create_directories(folder_);
    // Boxes find each other at one port, so each has an address of its own.
    const std::uint16_t peerPort = support::freeEndpoint().port;
    for (std::size_t index = 0; index < boxes; ++index) {
        SoakBox &box = boxes_[index];
        const std::string address = "127.0.1." + std::to_string(index + 1);
        box.name = "box-" + std::to_string(index);
        box.caller = {address, support::freeEndpoint().port};
        box.ready = {address, support::freeEndpoint().port};
        box.control = {address, support::freeEndpoint().port};
        box.peer = {address, peerPort};
        box.store = support::freeEndpoint();
        box.settingsFile = folder_ / (box.name + ".ini");
        box.logFile = folder_ / (box.name + ".log");
    }
}

void SoakFleet::writeSettings(const SoakBox &box, int retrySlack) const
{
    const auto milliseconds = [](kernel::Duration duration) {
        return std::to_string(duration / 1ms) + "ms\n";
    };
    const std::size_t index = static_cast<std::size_t>(&box - boxes_.data());
    std::ofstream file(box.settingsFile);
    file << "[box]\nname = " << box.name << "\nhall = hall-" << index % Halls
         << "\nregion = region-a\n[listen]\ncaller = " << kernel::text(box.caller)
         << "\nready = " << kernel::text(box.ready) << "\ncontrol = " << kernel::text(box.control)
         << "\npeer = " << kernel::text(box.peer)
         << "\n[platform]\naddress = " << kernel::text(box.store)
         << "\n[peers]\nkeys = " << std::string(64, 'a')
         << "\n[gateway]\nseeds = " << kernel::text(boxes_.front().peer) << ' '
         << kernel::text(boxes_.back().peer) << "\nretry-slack = "
         << retrySlack
         // With it halls of a dozen boxes have relays.
         << "\napply-within = 4s\nrevoke-within = " << milliseconds(bounds_.revokeWithin)
         << "drain-within = " << milliseconds(bounds_.drainWithin)
         << "stop-within = " << milliseconds(bounds_.stopWithin)
         << "hall-drain-within = " << milliseconds(bounds_.hallDrainWithin)
         << "cold-excess = " << ColdExcess << "\ncold-slack = " << ColdSlack << '\n'
         << (admission_ ? "admission = true\n" : "");
}

void SoakFleet::start(SoakBox &box, kernel::Instant now)
{
    if (box.processes == 0) {
        writeSettings(box, FirstRetrySlack);
    }
    ++box.processes;
    box.paused = false;
    box.started = now;
    box.stopping = false;
    box.early = false;
    box.killed = false;
    box.process =
            support::Process({LIMEREEL_BINARY, "gateway", "--settings", box.settingsFile.string()},
                             box.logFile.string());
}

} // namespace limereel::soak
