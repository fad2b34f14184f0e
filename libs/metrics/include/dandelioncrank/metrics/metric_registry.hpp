#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace dandelioncrank {

/// Counters, gauges and timings of one thread.
///
/// Timings keep count, sum, largest value and the 50th, 90th and 99th
/// percentile (P-square estimate), in seconds.
class metric_registry
{
  public:
    metric_registry();
    ~metric_registry();

    void count(const std::string& name, std::uint64_t increment = 1);
    void set_gauge(const std::string& name, double value);
    void record_duration(const std::string& name, duration value);

    [[nodiscard]] std::uint64_t counter(const std::string& name) const;

    /// Text in the Prometheus exposition format, sorted by name.
    [[nodiscard]] std::string to_text() const;

  private:
    struct timing;

    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<timing>> timings_;
};

} // namespace dandelioncrank
