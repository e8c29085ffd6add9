#include "command/Commands.h"
#include "command/Explain.h"
#include "kernel/KeyHash.h"
#include "outcome/ResultCode.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace limereel::command {

namespace {

void printCodes(bool asJson)
{
    nlohmann::json list = nlohmann::json::array();
    if (!asJson) {
        std::cout << "| code | name | ran | HTTP | remedy |\n|---|---|---|---|---|\n";
    }
    for (const auto &row : outcome::resultTable()) {
        const int code = static_cast<int>(row.code);
        if (asJson) {
            list.push_back({{"code", code},
                            {"name", row.name},
                            {"ran", outcome::text(row.ran)},
                            {"http", row.httpStatus},
                            {"remedy", row.remedy}});
        } else {
            std::cout << "| " << code << " | " << row.name << " | " << outcome::text(row.ran)
                      << " | " << row.httpStatus << " | " << row.remedy << " |\n";
        }
    }
    if (asJson) {
        std::cout << list.dump(2) << '\n';
    }
}

int hashKeyFromInput()
{
    constexpr std::size_t LeastKeyBytes = 16;
    std::string key;
    std::getline(std::cin, key);
    if (key.size() < LeastKeyBytes) {
        std::cerr << "limereel: a key must have at least " << LeastKeyBytes
                  << " characters; 'limereel new-key' makes one\n";
        return BadInput;
    }
    std::cout << kernel::keyHash(key) << '\n';
    return Success;
}

int explain(const std::string &request, const std::vector<std::string> &files)
{
    std::vector<StoryLine> story;
    for (const std::string &file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << file << ": the file can't be read\n";
            return BadInput;
        }
        std::ranges::move(linesOf(request, log), std::back_inserter(story));
    }
    if (story.empty()) {
        std::cerr << "no line tells of request " << request
                  << "; was it answered by another box, or held back (held_back)?\n";
        return BadInput;
    }
    // Boxes' clocks differ a little; lines of one box stay in their order.
    std::ranges::stable_sort(story, {}, &StoryLine::time);
    for (const StoryLine &line : story) {
        std::cout << line.time << ' ' << line.box << ' ' << line.part << ": " << line.sentence
                  << '\n';
    }
    return Success;
}

} // namespace

void addToolCommands(CLI::App &app, int &exitCode)
{
    static bool asJson = false;
    auto *const codes = app.add_subcommand("codes", "Prints the numbered result codes");
    codes->add_flag("--json", asJson, "As JSON");
    codes->callback([] { printCodes(asJson); });
    app.add_subcommand("new-key",
                       "Prints a new random key: for the boxes, an operator or an organisation")
            ->callback([] { std::cout << kernel::newKey() << '\n'; });
    app.add_subcommand("hash-key", "Reads a key from standard input and prints its hash")
            ->callback([&exitCode] { exitCode = hashKeyFromInput(); });
    static std::string request;
    static std::vector<std::string> logs;
    auto *const story = app.add_subcommand("explain", "Prints the story of one request from logs");
    story->add_option("request", request, "The request's id")->required();
    story->add_option("logs", logs, "Logs of one or more boxes")->required();
    story->callback([&exitCode] { exitCode = explain(request, logs); });
}

} // namespace limereel::command
