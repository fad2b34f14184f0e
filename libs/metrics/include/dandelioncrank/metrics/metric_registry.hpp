#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace dandelioncrank {

/// Counters, gauges and duration metrics of one thread.
///
/// A duration metric keeps the count, sum, maximum, a histogram and the 50th,
/// 90th and 99th percentiles (P-square estimates), in seconds.
class metric_registry
{
  public:
    metric_registry();
    ~metric_registry();

    void count(const std::string& name, std::uint64_t increment = 1);
    /// Brings a counter to a total that is counted elsewhere.
    void set_counter(const std::string& name, std::uint64_t total);
    void set_gauge(const std::string& name, double value);
    void record_duration(const std::string& name, duration value);

    [[nodiscard]] std::uint64_t counter(const std::string& name) const;

    /// Renders all metrics in the Prometheus text exposition format, each kind
    /// sorted by name.
    [[nodiscard]] std::string to_text() const;

  private:
    struct timing;

    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<timing>> timings_;
};

} // namespace dandelioncrank
