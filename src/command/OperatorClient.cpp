#include "command/OperatorClient.h"

#include "command/Commands.h"
#include "http/Client.h"

#include <boost/asio.hpp>
#include <cstdlib>
#include <fstream>

namespace limereel::command {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr kernel::Duration CallTimeout = 30s;

std::string readKey(const std::string &keyFile)
{
    std::string key;
    if (keyFile == "-") {
        const char *const given = std::getenv("LIMEREEL_KEY");
        return given == nullptr ? "" : given;
    }
    std::ifstream input(keyFile);
    std::getline(input, key);
    return key;
}

std::string messageOf(const json &answer, int status)
{
    if (!answer.is_object() || !answer.contains("error")) {
        return "the box answered with status " + std::to_string(status);
    }
    const json &error = answer["error"];
    std::string message = error.value("message", std::string());
    for (const auto &detail : error.value("details", json::array())) {
        message += "\n  " + detail.get<std::string>();
    }
    return message;
}

int exitCodeOf(int status)
{
    switch (status) {
    case 409:
        return Conflict;
    case 503:
    case 504:
        return Unreachable;
    default:
        return BadInput;
    }
}

} // namespace

tl::expected<json, OperatorFailure> callBox(const Target &target, const std::string &method,
                                            const std::string &path, const json &body)
{
    const auto endpoint = kernel::endpointFrom(target.box);
    if (!endpoint) {
        return tl::unexpected(OperatorFailure{Usage, "--box: " + endpoint.error()});
    }
    http::Request request{method, path,
                          http::Fields().with("Authorization", "Bearer " + readKey(target.keyFile)),
                          body.is_null() ? "" : body.dump()};
    asio::io_context io;
    tl::expected<http::Answer, http::CallFailure> result;
    const http::CallTimeouts timeouts{CallTimeout, CallTimeout, CallTimeout};
    asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                result = co_await http::call(io, *endpoint, std::move(request), timeouts);
            },
            asio::detached);
    io.run();
    if (!result) {
        return tl::unexpected(OperatorFailure{
                Unreachable,
                "the box at " + target.box + " doesn't answer: " + result.error().message});
    }
    const json answer = json::parse(result->body, nullptr, false);
    if (result->status >= 300 || answer.is_discarded()) {
        return tl::unexpected(
                OperatorFailure{exitCodeOf(result->status), messageOf(answer, result->status)});
    }
    return answer;
}

} // namespace limereel::command
