#pragma once

#include "pending_unit.hpp"
#include "speed_class.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelioncrank::pool {

/// Index of a worker in the table; stable during one plan.
using worker_index = std::size_t;
using victim_index = std::size_t;
using rack_index = std::size_t;
using service_index = std::size_t;

/// Preemption candidate: runs that end together if one of them is stopped.
struct victim
{
    struct member
    {
        run_ref run_;
        worker_index worker_ = 0;
    };

    std::vector<member> members_;
    resources need_;
    /// Core-seconds of work lost by stopping them.
    double cost_ = 0;
    int priority_ = 0;
    bool is_guaranteed_ = false;
    /// It is being stopped, or has ended without a reported outcome so far.
    bool is_ending_ = false;
    /// How long the last of its runs still needs, if that is known.
    std::optional<duration> remaining_ = std::nullopt;
};

/// Number of tasks that fit into the resources, at most `limit`.
[[nodiscard]] std::size_t count_fits(const resources& need,
                                     const resources& available,
                                     std::size_t limit);

/// Available resources of a usable worker during one plan.
struct worker_resources
{
    const worker_info* info_ = nullptr;
    service_index service_ = 0;
    rack_index rack_ = 0;
    /// Number of jobs that failed there recently.
    int failures_ = 0;
    speed_class speed_ = speed_class::normal;
    /// Something that runs there may crash it.
    bool hosts_suspect_ = false;
    /// Core equivalents in use, which a crash would lose.
    double used_cores_ = 0;
    /// Free and not reserved.
    resources free_;
    /// Left free while others have room, as the worker is still slow after its
    /// start.
    resources withheld_;
    /// Becomes free once the victims selected so far have ended.
    resources releasing_;
    /// In order of increasing cost.
    std::vector<victim_index> victims_;
};

/// The usable workers of a rack.
struct rack_resources
{
    std::string name_;
    std::vector<worker_index> workers_;
    std::int64_t free_accelerators_ = 0;
};

/// Orders the workers of a service so that the first one with enough
/// resources is the best fit within its speed class: fewest failures, then
/// least left over.
struct free_key
{
    int failures_ = 0;
    speed_class speed_ = speed_class::normal;
    std::int64_t accelerators_ = 0;
    std::int64_t cpu_ = 0;
    worker_index worker_ = 0;

    auto operator<=>(const free_key&) const = default;
};

/// Resources of all usable workers, and the runs that could be preempted.
class resource_table
{
  public:
    resource_table(const pool_state& state, const planner_input& input,
                   const std::set<job_id>& guaranteed);

    [[nodiscard]] const std::vector<worker_resources>& workers() const
    {
        return workers_;
    }
    [[nodiscard]] const victim& victim_at(victim_index index) const
    {
        return victims_[index];
    }
    [[nodiscard]] std::size_t victim_count() const { return victims_.size(); }
    [[nodiscard]] const std::vector<rack_resources>& racks() const
    {
        return racks_;
    }
    [[nodiscard]] std::optional<rack_index>
    find_rack(const std::string& name) const;
    /// Racks by free accelerators, fewest first.
    [[nodiscard]] const std::set<std::pair<std::int64_t, rack_index>>&
    racks_by_free() const
    {
        return racks_by_free_;
    }
    [[nodiscard]] std::optional<service_index>
    find_service(const service_name& name) const;
    /// Workers of a service with free resources, by free_key.
    [[nodiscard]] const std::set<free_key>&
    free_workers(service_index service) const
    {
        return free_workers_[service];
    }
    [[nodiscard]] const std::vector<worker_index>& all_workers() const
    {
        return all_workers_;
    }
    /// Whether usable workers differ in their speed class.
    [[nodiscard]] bool has_speed_classes() const
    {
        return speed_classes_.size() > 1;
    }
    /// The class of any usable worker that work of a priority takes first.
    [[nodiscard]] speed_class preferred_class(int priority) const;
    [[nodiscard]] std::int64_t free_accelerators() const
    {
        return free_accelerators_;
    }
    [[nodiscard]] std::int64_t total_accelerators() const
    {
        return total_accelerators_;
    }
    /// Number of workers that run something that may crash them.
    [[nodiscard]] std::size_t suspect_workers() const
    {
        return suspect_workers_;
    }
    [[nodiscard]] bool has_cold_workers() const { return has_cold_workers_; }
    /// Number of tasks of a step on a worker, including those of this plan.
    [[nodiscard]] std::uint32_t placed(const step_key& step,
                                       worker_index where) const;

    /// Allocates free resources for a task.
    void allocate(worker_index where, const pending_unit& unit);
    /// Notes a task of a unit that starts on a worker in this plan.
    void note_start(worker_index where, const pending_unit& unit);
    /// Reverts an allocation of this plan.
    void deallocate(worker_index where, const pending_unit& unit);
    /// Marks the resources of a victim as about to be released.
    void mark_releasing(victim_index index);
    /// Reserves resources for a waiting task, those being released first.
    void reserve(worker_index where, const pending_unit& unit);

  private:
    void add_victims_of(const job_record& job);
    void assess(const job_record& job, duration run_time, victim& item) const;
    /// How long a run on a worker still needs, if that is known.
    [[nodiscard]] std::optional<duration>
    remaining_of(const victim::member& member, const run_observation& seen,
                 const step_spec& spec, duration run_time) const;
    void add_worker(const worker_info& info, int failures);
    /// Changes the free resources of a worker and all indexes over them.
    void change_free(worker_index where, const resources& taken,
                     const resources& returned);
    [[nodiscard]] free_key key_of(worker_index where) const;
    [[nodiscard]] bool is_on_probation(const run_ref& run) const;
    void mark_suspect_host(worker_resources& worker);
    void count_placed(worker_index where, const pending_unit& unit, int change);

    const pool_state& state_;
    const planner_input& input_;
    const std::set<job_id>& guaranteed_;
    std::vector<worker_resources> workers_;
    std::vector<worker_index> all_workers_;
    std::unordered_map<worker_name, worker_index> by_name_;
    std::vector<rack_resources> racks_;
    std::unordered_map<std::string, rack_index> racks_by_name_;
    std::set<std::pair<std::int64_t, rack_index>> racks_by_free_;
    std::unordered_map<service_name, service_index> services_;
    std::vector<std::set<free_key>> free_workers_;
    std::vector<victim> victims_;
    std::map<std::pair<step_key, worker_index>, std::uint32_t> placed_;
    std::int64_t free_accelerators_ = 0;
    std::int64_t total_accelerators_ = 0;
    std::size_t suspect_workers_ = 0;
    std::set<speed_class> speed_classes_;
    bool has_cold_workers_ = false;
};

} // namespace dandelioncrank::pool
