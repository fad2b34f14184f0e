#pragma once

#include "dandelioncrank/core/time.hpp"

#include <deque>
#include <optional>

namespace dandelioncrank::pool {

/// Hold calls to a busy worker follow each other within the maximum hold wait;
/// a longer gap than this means that some were lost.
constexpr duration max_hold_gap = std::chrono::seconds(3);

/// Progress of one run, or of a gang as a whole, as its listings show it.
///
/// Percents are whole numbers, so only the time between two rises tells the
/// pace: the time before the first rise may have begun within a percent.
class run_pace
{
  public:
    run_pace(int percent, instant reported_at)
        : percent_(percent), reported_at_(reported_at), rise_at_(reported_at)
    {
    }

    /// Adds a listing; those of the members of a gang may come in any order.
    /// Returns whether the percent has risen.
    bool observe(int percent, instant reported_at);

    [[nodiscard]] int percent() const { return percent_; }
    /// Whether a rise was seen since the listings last had a gap.
    [[nodiscard]] bool has_risen() const { return first_rise_.has_value(); }
    /// When the percent last rose, or the time without rises began to count.
    [[nodiscard]] instant rise_at() const { return rise_at_; }
    /// Time without a rise up to the last listing.
    [[nodiscard]] duration standing() const { return reported_at_ - rise_at_; }
    /// Largest of the recent times per percent, once enough are known.
    [[nodiscard]] std::optional<duration> slowest_percent() const;
    /// Mean time per percent since the first rise.
    [[nodiscard]] std::optional<duration> mean_percent() const;

  private:
    struct rise
    {
        int percent_ = 0;
        instant at_{};
    };

    int percent_;
    instant reported_at_;
    instant rise_at_;
    /// Whether listings have followed each other without a gap since rise_at_,
    /// and that was a rise.
    bool is_watched_ = false;
    std::optional<rise> first_rise_;
    std::deque<duration> recent_;
};

} // namespace dandelioncrank::pool
