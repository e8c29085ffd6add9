#include "kernel/Log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace limereel::kernel {

namespace {

constexpr int BufferedLines = 1024;
constexpr std::uint32_t LinesPerEventAndSecond = 200;

log4cxx::LoggerPtr logger(const std::string &part)
{
    return log4cxx::Logger::getLogger(part);
}

log4cxx::LevelPtr levelOf(const std::string &name)
{
    return log4cxx::Level::toLevel(name, log4cxx::Level::getInfo());
}

Instant now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

LineLimiter &limiter()
{
    static LineLimiter limiter(LinesPerEventAndSecond);
    return limiter;
}

std::string text(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The members of the line's object that the layout doesn't write itself.
std::string members(const std::string &sentence)
{
    return "\"message\":" + text(sentence);
}

} // namespace

std::string shortName(const std::string &name)
{
    constexpr std::size_t MaxLoggedName = 200;
    return name.substr(0, MaxLoggedName);
}

std::optional<std::uint64_t> LineLimiter::pass(const std::string &event, Instant now)
{
    Window &window = events_[event];
    if (now - window.begin >= 1s) {
        window.begin = now;
        window.passed = 0;
    }
    if (window.passed >= perSecond_) {
        ++window.held;
        return std::nullopt;
    }
    ++window.passed;
    const std::uint64_t held = window.held;
    window.held = 0;
    return held;
}

void startLog(const std::string &level, const std::string &box)
{
    const std::string pattern = R"({"time":"%d{yyyy-MM-dd HH:mm:ss.SSS}","level":"%p","box":)"
                                + text(box) + R"(,"part":"%c",%m}%n)";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBufferSize(BufferedLines);
    buffer->setBlocking(false);
    buffer->addAppender(console);
    log4cxx::BasicConfigurator::configure(buffer);
    log4cxx::Logger::getRootLogger()->setLevel(levelOf(level));
}

void stopLog()
{
    log4cxx::LogManager::shutdown();
}

void Log::error(const std::string &sentence) const
{
    LOG4CXX_ERROR(logger(part_), members(sentence));
}

void Log::warn(const std::string &sentence) const
{
    LOG4CXX_WARN(logger(part_), members(sentence));
}

void Log::info(const std::string &sentence) const
{
    LOG4CXX_INFO(logger(part_), members(sentence));
}

void Log::debug(const std::string &sentence) const
{
    LOG4CXX_DEBUG(logger(part_), members(sentence));
}

void Log::event(const std::string &event, const nlohmann::json &fields,
                const std::string &sentence) const
{
    const log4cxx::LoggerPtr part = logger(part_);
    if (!part->isInfoEnabled()) {
        return;
    }
    const Instant at = now();
    const auto held = limiter().pass(part_ + "/" + event, at);
    if (!held) {
        return;
    }
    nlohmann::json all = fields;
    all["event"] = event;
    all["steady_ms"] = at.time_since_epoch() / 1ms;
    if (*held > 0) {
        all["held_back"] = *held;
    }
    const std::string object = text(all);
    LOG4CXX_INFO(part, object.substr(1, object.size() - 2) + "," + members(sentence));
}

} // namespace limereel::kernel
