#include "program/Metrics.h"

#include <algorithm>
#include <sstream>

namespace lavenderthread::program {

namespace {

constexpr const char *prefix = "lavenderthread_";

// Adds a suffix and a label to a name: relay{route="a"} becomes relay_bucket{le="0.1",route="a"}.
std::string withLabel(const std::string &name, const std::string &suffix, const std::string &label)
{
    const std::size_t brace = name.find('{');
    if (brace == std::string::npos)
        return name + suffix + (label.empty() ? "" : "{" + label + "}");
    const std::string rest = name.substr(brace + 1);
    return name.substr(0, brace) + suffix + "{" + (label.empty() ? "" : label + ",") + rest;
}

std::string numberText(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

void appendLine(std::string &text, const std::string &name, const std::string &value)
{
    text += prefix + name + ' ' + value + '\n';
}

} // namespace

template <typename Series>
std::string Metrics::limitedName(const Series &series, const std::string &name)
{
    if (series.size() < seriesLimit || series.contains(name))
        return name;
    return name.substr(0, name.find('{')) + "{series=\"other\"}";
}

void Metrics::count(const std::string &name, std::uint64_t by)
{
    const std::lock_guard lock(this->mutex);
    this->counters[limitedName(this->counters, name)] += by;
}

void Metrics::observe(const std::string &name, double seconds)
{
    const std::lock_guard lock(this->mutex);
    Histogram &histogram = this->histograms[limitedName(this->histograms, name)];
    const auto bucket = std::ranges::lower_bound(bounds, seconds) - bounds.begin();
    ++histogram.buckets.at(std::size_t(bucket));
    histogram.summary(seconds);
}

void Metrics::gauge(const std::string &name, std::function<double()> value)
{
    const std::lock_guard lock(this->mutex);
    this->gauges[name] = std::move(value);
}

void Metrics::append(std::string &text, const std::string &name, const Histogram &histogram)
{
    namespace accumulators = boost::accumulators;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < bounds.size(); ++index) {
        cumulative += histogram.buckets[index];
        appendLine(text, withLabel(name, "_bucket", "le=\"" + numberText(bounds[index]) + "\""),
                   std::to_string(cumulative));
    }
    const std::size_t count = accumulators::count(histogram.summary);
    appendLine(text, withLabel(name, "_bucket", "le=\"+Inf\""), std::to_string(count));
    appendLine(text, withLabel(name, "_count", ""), std::to_string(count));
    appendLine(text, withLabel(name, "_sum", ""), numberText(accumulators::sum(histogram.summary)));
    appendLine(text, withLabel(name, "_max", ""), numberText(accumulators::max(histogram.summary)));
}

std::string Metrics::text() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[name, value] : this->counters)
        appendLine(text, name, std::to_string(value));
    for (const auto &[name, value] : this->gauges)
        appendLine(text, name, numberText(value()));
    for (const auto &[name, histogram] : this->histograms)
        append(text, name, histogram);
    return text;
}

} // namespace lavenderthread::program
