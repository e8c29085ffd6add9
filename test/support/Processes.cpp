#include "support/Processes.h"

#include "kernel/KeyHash.h"
#include "support/Blocking.h"
#include "support/Fleet.h"
#include "support/Ports.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <utility>

extern char **environ;

namespace limereel::support {

using nlohmann::json;

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> words;
    for (const std::string &word : command) {
        words.push_back(const_cast<char *>(word.c_str()));
    }
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (!logFile.empty()) {
        posix_spawn_file_actions_addopen(&actions, 2, logFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, 2, 1);
    }
    const int failed = posix_spawn(&id_, words.front(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("can't start " + command.front());
    }
}

Process::Process(Process &&other) noexcept
    : id_(std::exchange(other.id_, 0))
    , exitCode_(other.exitCode_)
{
}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(id_, other.id_);
    std::swap(exitCode_, other.exitCode_);
    return *this;
}

Process::~Process()
{
    if (id_ != 0) {
        ::kill(id_, SIGKILL);
        wait();
    }
}

void Process::signal(int number) const
{
    if (id_ != 0) {
        ::kill(id_, number);
    }
}

int Process::wait()
{
    if (id_ != 0) {
        int status = 0;
        ::waitpid(id_, &status, 0);
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        id_ = 0;
    }
    return exitCode_;
}

bool Process::running()
{
    int status = 0;
    if (id_ != 0 && ::waitpid(id_, &status, WNOHANG) == id_) {
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        id_ = 0;
    }
    return id_ != 0;
}

ProcessFleet::ProcessFleet(std::filesystem::path folder, std::vector<HallPlan> halls,
                           const std::map<std::string, std::string> &extra)
    : folder_(std::move(folder))
    , halls_(std::move(halls))
    , platform_(freeEndpoint())
{
    std::filesystem::create_directories(folder_);
    platformProcess_ = Process({LIMEREEL_STANDIN, "platform", "--at", kernel::text(platform_)});
    for (const HallPlan &hall : halls_) {
        json list = {
                {"region", hall.region}, {"boxes", json::array()}, {"backends", json::array()}};
        std::vector<std::string> engines = {LIMEREEL_STANDIN,
                                            "engines",
                                            "--model",
                                            "small",
                                            "--step-ms",
                                            std::to_string(hall.stepMs),
                                            "--at"};
        for (int index = 0; index < hall.engines; ++index) {
            const std::string name = hall.name + "-engine-" + std::to_string(index);
            engines_[name] = freeEndpoint();
            engines.push_back(kernel::text(engines_[name]));
            list["backends"].push_back({{"name", name},
                                        {"address", engines.back()},
                                        {"room", 2},
                                        {"checks-tokens", true}});
        }
        engineProcesses_.emplace_back(engines);
        std::vector<std::string> runners = {LIMEREEL_STANDIN, "service", "--name", "calendar",
                                            "--at"};
        for (int index = 0; index < hall.runners; ++index) {
            runners_.push_back(freeEndpoint());
            runners.push_back(kernel::text(runners_.back()));
            list["backends"].push_back({{"name", hall.name + "-calendar-" + std::to_string(index)},
                                        {"address", runners.back()},
                                        {"service", "calendar"}});
        }
        if (hall.runners > 0) {
            serviceProcesses_.emplace_back(runners);
        }
        for (int index = 0; index < hall.routers; ++index) {
            Router router{.name = hall.name + "-box-" + std::to_string(index),
                          .hall = hall.name,
                          .caller = freeEndpoint(),
                          .control = freeEndpoint()};
            const kernel::Endpoint peer = freeEndpoint();
            list["boxes"].push_back({{"name", router.name},
                                     {"peer", kernel::text(peer)},
                                     {"control", kernel::text(router.control)}});
            router.settingsFile = (folder_ / (router.name + ".ini")).string();
            std::map<std::string, std::string> sections = extra;
            sections["listen"] += "peer = " + kernel::text(peer) + "\n";
            writeSettings(router, hall, sections);
            routers_.push_back(std::move(router));
        }
        lists_[hall.name] = list.dump();
    }
}

void ProcessFleet::startRouter(std::size_t index)
{
    Router &router = routers_.at(index);
    router.process = Process({LIMEREEL_BINARY, "router", "--settings", router.settingsFile},
                             (folder_ / (router.name + ".log")).string());
}

void ProcessFleet::publish()
{
    const auto tell = [this](const std::string &method, const std::string &path,
                             const std::string &body) {
        http::Request request(method, path, http::Fields().with("If-Version", "0"), body);
        return callBlocking(platform_, request).has_value();
    };
    waitFor([&] { return tell("POST", "/control", "{}"); }, "the platform listens");
    for (const auto &[hall, list] : lists_) {
        tell("POST", "/control", json{{"hall", hall}, {"list", json::parse(list)}}.dump());
    }
    tell("PUT", "/v1/objects/settings/tree", sampleTree());
}

void ProcessFleet::writeSettings(Router &router, const HallPlan &hall,
                                 const std::map<std::string, std::string> &extra) const
{
    std::map<std::string, std::string> sections = extra;
    sections["box"] +=
            "name = " + router.name + "\nhall = " + hall.name + "\nregion = " + hall.region + "\n";
    sections["listen"] += "caller = " + kernel::text(router.caller)
                          + "\ncontrol = " + kernel::text(router.control) + "\n";
    sections["platform"] += "address = " + kernel::text(platform_) + "\n";
    sections["peers"] += "keys = " + std::string(64, 'b') + "\n";
    sections["operators"] += "keys = olga:" + kernel::keyHash(OperatorKeyText) + "\n";
    std::ofstream file(router.settingsFile);
    for (const auto &[section, lines] : sections) {
        file << '[' << section << "]\n" << lines;
    }
}

} // namespace limereel::support
