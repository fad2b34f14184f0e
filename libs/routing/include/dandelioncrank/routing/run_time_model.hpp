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

/// Estimates run times per route and classifies routes as short or long work.
///
/// Run times declared by callers are not used, because they are often far
/// off. A route is long if its median run time is several times that of the
/// whole service. The mean is not suitable: in a route with both kinds of
/// work, one long run would classify all its short requests as long.
class run_time_model
{
  public:
    void record(const std::string& route, duration run_time);

    [[nodiscard]] work_class classify(const std::string& route) const;
    /// Expected run time of the route, or that of short work if the route is
    /// unknown.
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

    // Bounds the memory use; further routes share one entry.
    static constexpr std::size_t max_routes = 512;

    std::map<std::string, route_average> routes_;
    double median_ = 0;
    double class_mean_[2] = {0, 0};
    std::size_t class_samples_[2] = {0, 0};
    std::size_t samples_ = 0;
};

} // namespace dandelioncrank
