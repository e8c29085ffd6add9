// Plays soaks with fresh seeds and says what broke. Exit code 0: nothing.

#include "platform/soak/Soak.h"

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <random>

using namespace limereel;

namespace {

void print(std::uint64_t seed, const soak::SoakReport &report, bool all)
{
    std::cout << "seed " << seed << ": " << report.attempts << " requests, " << report.served
              << " served, " << report.refused << " refused, " << report.cut << " cut; "
              << report.ends << " servers ended by requests, " << report.endsJudged
              << " of them by boxes that had the time to know; " << report.faults.size()
              << " faults; all serve again after " << report.recovery / 1ms << " ms; "
              << report.violations.size() << " broken promises\n";
    if (report.rejections > 0) {
        std::cout << "  " << report.rejections << " of " << report.sends
                  << " sends rejected by servers whose slots and queue were taken\n";
    }
    std::cout << "  at worst " << report.repeats.repeats << " repeats in a window for "
              << report.repeats.requests << " requests, allowed " << report.repeats.allowed << '\n';
    if (report.takeUps > 0) {
        std::cout << "  " << report.takenUp << " of " << report.takeUps
                  << " streams that callers took up went on\n";
    }
    for (const soak::Violation &violation : report.violations) {
        std::cout << "  broken: " << violation.promise << ": " << violation.what << '\n';
    }
    if (all || !report.violations.empty()) {
        for (const std::string &fault : report.faults) {
            std::cout << "  " << fault << '\n';
        }
    }
    std::cout.flush();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Randomized faults on real gateways, the promises checked meanwhile.");
    std::uint64_t first = std::random_device()();
    int seeds = 1;
    double seconds = 60;
    soak::SoakPlan plan;
    std::string folder = std::filesystem::temp_directory_path() / "limereel-soak";
    bool all = false;
    app.add_option("--first", first, "first seed; by chance if left out");
    app.add_option("--seeds", seeds, "how many seeds, one after the other")
            ->check(CLI::Range(1, 100000));
    app.add_option("--seconds", seconds, "of faults for each seed")->check(CLI::Range(1.0, 3600.0));
    app.add_option("--boxes", plan.boxes, "gateways")->check(CLI::Range(1, 60));
    app.add_option("--servers", plan.servers, "backend servers")->check(CLI::Range(2, 100));
    app.add_option("--callers", plan.callers, "callers at a time")->check(CLI::Range(1, 500));
    app.add_option("--folder", folder, "for settings and logs; each seed has its own in it");
    app.add_flag("--server-states", plan.serverStates,
                 "halls of servers are drained, and servers are cold after a start");
    app.add_flag("--crashing", plan.crashing,
                 "some requests end each server that begins to run them");
    app.add_flag("--crashing-parts", plan.crashingParts,
                 "requests with one part of a prompt, no two alike, end such servers");
    app.add_flag(
            "--scarce", plan.scarce,
            "servers have few slots and are slow at times, callers ask for more than they run");
    app.add_flag("--versions", plan.versions,
                 "servers of three software versions stand side by side, some crash, and callers "
                 "take broken streams up");
    app.add_flag("--long-streams", plan.longStreams,
                 "streams last nearly as long as a stop, and boxes are stopped and reloaded only");
    app.add_flag("--page-faults", plan.pageFaults,
                 "the store can't list behind one name of another writer");
    app.add_flag("--list", all, "list the faults of good seeds too");
    CLI11_PARSE(app, argc, argv);
    plan.faultsFor =
            std::chrono::duration_cast<kernel::Duration>(std::chrono::duration<double>(seconds));
    int broken = 0;
    for (int count = 0; count < seeds; ++count) {
        plan.seed = first + static_cast<std::uint64_t>(count);
        plan.folder = std::filesystem::path(folder) / std::to_string(plan.seed);
        const soak::SoakReport report = soak::playSoak(plan);
        print(plan.seed, report, all);
        if (report.violations.empty()) {
            std::filesystem::remove_all(plan.folder);
        } else {
            ++broken;
        }
    }
    std::cout << seeds << " soaks, " << broken << " with a broken promise\n";
    return broken == 0 ? 0 : 1;
}
