#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace dandelioncrank {

enum class work_class
{
    short_work,
    long_work
};

/// Learns run times per route and tells short work from long work.
///
/// Callers' own declarations are not used: they are far off too often.
/// A route is long while its middle run time is several times that of the
/// whole service. The mean would not do: one long run in a route that mixes
/// both would make all its short work long.
class run_time_model
{
  public:
    void record(const std::string& route, duration run_time);

    [[nodiscard]] work_class classify(const std::string& route) const;
    /// Expected run time; that of the service for an unknown route.
    [[nodiscard]] duration expected(const std::string& route) const;
    [[nodiscard]] duration expected(work_class which) const;
    [[nodiscard]] bool has_samples() const { return samples_ > 0; }

  private:
    struct route_average
    {
        double mean_ = 0;
        double median_ = 0;
        std::size_t samples_ = 0;
    };

    // Routes beyond this number share one entry.
    static constexpr std::size_t max_routes = 512;

    std::map<std::string, route_average> routes_;
    double median_ = 0;
    double class_mean_[2] = {0, 0};
    std::size_t class_samples_[2] = {0, 0};
    std::size_t samples_ = 0;
};

} // namespace dandelioncrank
