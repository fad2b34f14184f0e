#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Attributes the time of one thread to named activities.
///
/// Scopes nest: time within an inner scope counts for the inner activity only.
/// Time outside of all scopes counts for the first activity.
class activity_meter
{
  public:
    /// Index of a name passed to the constructor.
    using activity = std::size_t;
    using clock_reader = std::function<std::chrono::nanoseconds()>;

    explicit activity_meter(std::vector<std::string> names,
                            clock_reader read_clock = steady_time);

    /// Attributes the time until its destruction to an activity.
    class scope
    {
      public:
        scope(activity_meter& meter, activity what)
            : meter_(meter), previous_(meter.switch_to(what))
        {
        }
        ~scope() { meter_.switch_to(previous_); }

        scope(const scope&) = delete;
        scope& operator=(const scope&) = delete;

      private:
        activity_meter& meter_;
        activity previous_;
    };

    [[nodiscard]] const std::vector<std::string>& names() const
    {
        return names_;
    }
    /// Returns the time of each activity, in the order of the names.
    [[nodiscard]] std::vector<std::chrono::nanoseconds> totals();

    /// Makes an activity current and returns the one that was before.
    activity switch_to(activity next);

    [[nodiscard]] static std::chrono::nanoseconds steady_time();

  private:
    std::vector<std::string> names_;
    clock_reader read_clock_;
    std::vector<std::chrono::nanoseconds> totals_;
    activity current_ = 0;
    std::chrono::nanoseconds switched_at_{};
};

} // namespace dandelioncrank
