#include "kernel/Counters.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <set>
#include <sstream>

namespace limereel::kernel {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 2> Quantiles = {0.5, 0.95};

std::string key(const std::string &metric, const Labels &labels)
{
    if (labels.empty()) {
        return metric;
    }
    std::string text = metric + "{";
    for (const auto &[name, value] : labels) {
        text += (text.back() == '{' ? "" : ",") + name + "=\"" + value + "\"";
    }
    return text + "}";
}

std::string metricOf(const std::string &keyText)
{
    return keyText.substr(0, keyText.find('{'));
}

std::string withLabel(const std::string &keyText, const std::string &suffix,
                      const std::string &label)
{
    const std::size_t brace = keyText.find('{');
    const std::string base = keyText.substr(0, brace) + suffix;
    if (brace == std::string::npos) {
        return label.empty() ? base : base + "{" + label + "}";
    }
    const std::string rest = keyText.substr(brace + 1);
    return base + "{" + (label.empty() ? "" : label + ",") + rest;
}

} // namespace

struct Counters::Summary
{
    accumulators::accumulator_set<
            double,
            accumulators::stats<accumulators::tag::count, accumulators::tag::mean,
                                accumulators::tag::max, accumulators::tag::extended_p_square>>
            set{accumulators::tag::extended_p_square::probabilities = Quantiles};
};

Counters::Counters() = default;
Counters::~Counters() = default;

void Counters::add(const std::string &metric, const Labels &labels, std::uint64_t amount)
{
    counters_[key(metric, labels)] += amount;
}

void Counters::set(const std::string &metric, double value, const Labels &labels)
{
    gauges_[key(metric, labels)] = value;
}

void Counters::observe(const std::string &metric, double value, const Labels &labels)
{
    auto &summary = summaries_[key(metric, labels)];
    if (summary == nullptr) {
        summary = std::make_unique<Summary>();
    }
    summary->set(value);
}

std::uint64_t Counters::value(const std::string &metric, const Labels &labels) const
{
    const auto place = counters_.find(key(metric, labels));
    return place == counters_.end() ? 0 : place->second;
}

std::uint64_t Counters::total(const std::string &metric) const
{
    std::uint64_t sum = 0;
    for (const auto &[name, value] : counters_) {
        sum += metricOf(name) == metric ? value : 0;
    }
    return sum;
}

std::string Counters::exposition() const
{
    std::ostringstream out;
    std::set<std::string> typed;
    const auto type = [&](const std::string &name, const char *kind) {
        if (typed.insert(metricOf(name)).second) {
            out << "# TYPE limereel_" << metricOf(name) << ' ' << kind << '\n';
        }
    };
    for (const auto &[name, value] : counters_) {
        type(name, "counter");
        out << "limereel_" << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : gauges_) {
        type(name, "gauge");
        out << "limereel_" << name << ' ' << value << '\n';
    }
    for (const auto &[name, summary] : summaries_) {
        type(name, "summary");
        const auto quantiles = accumulators::extended_p_square(summary->set);
        for (std::size_t index = 0; index < Quantiles.size(); ++index) {
            std::ostringstream label;
            label << "quantile=\"" << Quantiles[index] << '"';
            out << "limereel_" << withLabel(name, "", label.str()) << ' '
                << quantiles[static_cast<std::ptrdiff_t>(index)] << '\n';
        }
        const auto count = accumulators::count(summary->set);
        out << "limereel_" << withLabel(name, "_sum", "") << ' '
            << accumulators::mean(summary->set) * static_cast<double>(count) << '\n';
        out << "limereel_" << withLabel(name, "_count", "") << ' ' << count << '\n';
        out << "limereel_" << withLabel(name, "_max", "") << ' ' << accumulators::max(summary->set)
            << '\n';
    }
    return out.str();
}

} // namespace limereel::kernel
