/** \file
 * Counters, gauges and summaries of one process, and their customary text form for /metrics.
 *
 * A name is made of the metric and its labels: counter("refusals", {{"reason", "engines-full"}}).
 * Summaries are Boost.Accumulators: count, mean, greatest, and the 50th and 95th percentile by the
 * P² method. Used from the one thread that runs the services.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limereel::kernel {

using Labels = std::vector<std::pair<std::string, std::string>>;

/** All metrics of a process. */
class Counters
{
public:
    Counters();
    ~Counters();
    Counters(const Counters &) = delete;
    Counters &operator=(const Counters &) = delete;

    void add(const std::string &metric, const Labels &labels = {}, std::uint64_t amount = 1);
    void set(const std::string &metric, double value, const Labels &labels = {});

    /** Adds one observation to a summary; in seconds where it is a time. */
    void observe(const std::string &metric, double value, const Labels &labels = {});

    std::uint64_t value(const std::string &metric, const Labels &labels = {}) const;

    /** The sum over all labels. */
    std::uint64_t total(const std::string &metric) const;

    /** All of it in the text format that scrapers read, each name with the prefix "limereel_". */
    std::string exposition() const;

private:
    struct Summary;

    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

} // namespace limereel::kernel
