#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// The speed of one run, from its run time and that of like tasks.
struct speed_sample
{
    /// Samples of a worker with the same key count as one.
    std::uint64_t key_ = 0;
    /// Identifies the run.
    std::uint64_t run_ = 0;
    /// Natural logarithm of the speed relative to a typical worker.
    double log_speed_ = 0;
    instant taken_at_{};
    instant expires_at_{};
};

/// Estimates the speed of each worker from samples of what ran there.
///
/// A worker differs from a typical one only if most of its latest samples
/// agree: some tasks take several times as long as their siblings. Workers
/// with too few samples have the speed of their rack, if its workers agree.
class speed_model
{
  public:
    /// Registers an incarnation of a worker, without samples.
    void add_worker(const worker_name& worker, const rack_name& rack,
                    instant now);
    void remove_worker(const worker_name& worker);
    /// Adds a sample if `is_new`, in place of one with the same key or of the
    /// oldest. Otherwise, updates the sample that its run still has.
    void record(const worker_name& worker, const speed_sample& sample,
                bool is_new);
    /// Updates the speeds.
    void refresh(instant now);

    /// Speeds of the workers that differ from a typical one.
    [[nodiscard]] const std::unordered_map<worker_name, double>& speeds() const
    {
        return speeds_;
    }
    [[nodiscard]] double speed_of(const worker_name& worker) const;

  private:
    struct worker_entry
    {
        rack_name rack_;
        instant added_at_{};
        /// In the order in which they were added.
        std::vector<speed_sample> samples_;
    };

    struct rack_entry
    {
        double log_speed_ = 0;
        instant expires_at_{};
    };

    [[nodiscard]] static std::vector<double>
    log_speeds_of(const worker_entry& entry);
    void drop_expired(instant now);
    /// The typical worker's logarithm of speed.
    [[nodiscard]] double find_center() const;
    void refresh_racks(double center, instant now);

    std::unordered_map<worker_name, worker_entry> workers_;
    std::map<rack_name, rack_entry> racks_;
    std::unordered_map<worker_name, double> speeds_;
};

} // namespace dandelioncrank::pool
