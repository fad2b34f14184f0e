#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <array>
#include <compare>
#include <map>
#include <optional>
#include <vector>

namespace dandelioncrank::pool {

/// Returns the address of a job's queue; for a job that no configuration has
/// bound to a queue, the name of its route as a prefix.
[[nodiscard]] queue_address queue_of(const job_record& job);

/// Robust statistics of the latest runs of one kind, in logarithms of seconds.
class run_time_statistics
{
  public:
    void add(double log_actual, double log_declared);
    [[nodiscard]] std::size_t count() const { return count_; }
    /// Prediction by the usual ratio of actual to declared run time.
    [[nodiscard]] double by_ratio(double log_declared) const
    {
        return log_declared + median_ratio_;
    }
    /// Prediction by the usual run time.
    [[nodiscard]] double by_time() const { return median_actual_; }

  private:
    std::vector<double> actual_;
    std::vector<double> ratios_;
    std::size_t next_ = 0;
    std::size_t count_ = 0;
    double median_actual_ = 0;
    double median_ratio_ = 0;
};

/// Estimates the run times of each queue's tasks, by the accelerators of a task
/// and the number of tasks of a step, from earlier runs.
///
/// The prediction that has been best for a class lately is used: its own usual
/// run time, its ratio of actual to declared run time, or those of its queue.
class run_time_model
{
  public:
    /// Records a run that took this long, converted to a typical worker.
    void record(const queue_address& queue, const step_spec& spec,
                duration run_time);
    /// Returns the declared run time where nothing is known, and something
    /// between it and the prediction after few runs.
    [[nodiscard]] duration estimate(const queue_address& queue,
                                    const step_spec& spec) const;
    /// Returns the prediction if it has been accurate for like tasks lately.
    [[nodiscard]] std::optional<duration>
    reliable_estimate(const queue_address& queue, const step_spec& spec) const;

  private:
    struct class_key
    {
        queue_address queue_;
        int accelerator_class_ = 0;
        int width_class_ = 0;

        auto operator<=>(const class_key&) const = default;
    };

    static constexpr std::size_t predictor_count = 4;

    struct class_entry
    {
        run_time_statistics statistics_;
        /// Recent mean error of each prediction, in logarithms.
        std::array<double, predictor_count> errors_{};
        std::array<std::size_t, predictor_count> tries_{};
        /// Orders the classes by their last run.
        std::uint64_t used_ = 0;
    };

    struct prediction
    {
        double log_time_ = 0;
        double error_ = 0;
        std::size_t runs_ = 0;
    };

    [[nodiscard]] static class_key key_of(const queue_address& queue,
                                          const step_spec& spec);
    /// The predictions for a task; nothing where there are no runs.
    [[nodiscard]] std::array<std::optional<double>, predictor_count>
    predict_all(const class_key& key, double log_declared) const;
    [[nodiscard]] std::optional<prediction>
    predict(const queue_address& queue, const step_spec& spec) const;
    void make_room();

    std::map<class_key, class_entry> classes_;
    /// Number of runs recorded so far.
    std::uint64_t runs_ = 0;
    std::map<queue_address, run_time_statistics> queues_;
};

} // namespace dandelioncrank::pool
