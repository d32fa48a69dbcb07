// Counters, gauges and latency histograms of one process, exported as text.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::program {

// Thread-safe. Names are metric names with their labels, for example `relay_total{status="200"}`.
class Metrics
{
public:
    void count(const std::string &name, std::uint64_t by = 1);
    void observe(const std::string &name, double seconds); // adds to a latency histogram
    // `value` is called each time text() is.
    void gauge(const std::string &name, std::function<double()> value);

    // One line per counter, gauge and histogram bucket, in the Prometheus text format.
    std::string text() const;

private:
    // Upper bounds in seconds, each about twice the previous one; one more bucket has no bound.
    static constexpr std::array<double, 15> bounds{
            0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0};
    // Labels come from configurations and callers; series beyond this number share one series.
    static constexpr std::size_t seriesLimit = 500;

    struct Histogram
    {
        std::array<std::uint64_t, bounds.size() + 1> buckets{};
        boost::accumulators::accumulator_set<
                double, boost::accumulators::stats<boost::accumulators::tag::count,
                                                   boost::accumulators::tag::sum,
                                                   boost::accumulators::tag::max>>
                summary;
    };

    template <typename Series>
    static std::string limitedName(const Series &series, const std::string &name);
    static void append(std::string &text, const std::string &name, const Histogram &histogram);

    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, Histogram> histograms;
    std::map<std::string, std::function<double()>> gauges;
};

} // namespace lavenderthread::program
