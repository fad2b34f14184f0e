#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace dandelioncrank::pool {

/// What the owner of the pool has seen of one run.
struct run_outlook
{
    /// When its order was decided.
    instant started_at_{};
    /// Progress as last reported, 0 to 100.
    int percent_ = 0;
    bool is_stopping_ = false;
};

/// Names a step of one occurrence of a job.
using step_key = std::tuple<job_id, std::uint32_t, std::uint32_t>;

/// What is known beside the replicated state when a plan is made.
struct planner_view
{
    instant now_{};
    /// Wall time, for occurrences that are due at a time.
    std::int64_t wall_ms_ = 0;
    /// Workers that may be given work; the value counts recent failures.
    std::map<worker_name, int> usable_;
    std::map<run_ref, run_outlook> runs_;
    std::map<job_id, instant> accepted_at_;
    /// Racks that the plan before has begun to clear for a gang.
    std::map<step_key, std::string> cleared_racks_;
};

/// A run that gives way.
struct stop_order
{
    run_ref run_;
    /// The job that is to have the room.
    job_id for_job_;
};

/// What to start and what to stop now.
struct placement_plan
{
    std::vector<start_run> starts_;
    std::vector<stop_order> stops_;
    std::map<step_key, std::string> cleared_racks_;
};

/// Decides which waiting tasks start where, and which running ones give way.
///
/// Order: jobs within their team's guarantee, then by priority and by whether
/// they can still be on time, small ones first. Jobs of priority 0 may stop
/// work of lower priority; jobs within a guarantee also work of priority 0
/// beyond one.
class placement_planner
{
  public:
    placement_planner(const pool_state& state, const planner_view& view);
    ~placement_planner();

    [[nodiscard]] placement_plan plan();

  private:
    /// Tasks that start together: a gang or a single task.
    struct unit
    {
        const job_record* job_ = nullptr;
        std::uint32_t occurrence_ = 0;
        std::uint32_t step_ = 0;
        std::vector<std::uint32_t> tasks_;
        std::uint32_t next_run_ = 1;
        bool is_guaranteed_ = false;
        int rank_ = 0;
        /// Core-seconds of the whole step, as declared.
        double work_ = 0;
        duration age_{};

        [[nodiscard]] const step_spec& spec() const;
        [[nodiscard]] step_key key() const;
    };

    /// Running tasks that would be stopped together.
    struct victim
    {
        std::vector<std::pair<run_ref, worker_name>> runs_;
        resources need_;
        double cost_ = 0;
        int priority_ = 0;
        bool is_guaranteed_ = false;
        /// It is being stopped, or has ended and is yet to be listed.
        bool is_ending_ = false;
    };

    struct room
    {
        const worker_record* worker_ = nullptr;
        /// Free now and promised to nobody.
        resources free_;
        /// Becomes free once the victims chosen so far have ended.
        resources pending_;
        std::vector<std::size_t> victims_;
    };

    struct choice
    {
        std::vector<worker_name> workers_;
        std::vector<std::size_t> victims_;
        double cost_ = 0;
    };

    using room_map = std::map<worker_name, room>;

    void survey_rooms();
    void survey_guarantees();
    void survey_victims();
    void add_victims_of(const job_record& job);
    void rate_victim(const job_record& job, victim& item) const;
    [[nodiscard]] bool is_ending(const run_ref& run) const;
    void collect_units();
    void collect_units_of(const job_record& job);
    void rank(unit& item) const;

    void serve(const unit& item);
    [[nodiscard]] std::optional<choice> place(const unit& item,
                                              bool may_evict) const;
    [[nodiscard]] std::optional<choice> place_within(const unit& item,
                                                     const std::string& rack,
                                                     bool may_evict) const;
    [[nodiscard]] bool rack_can_hold(const unit& item,
                                     const std::string& rack) const;
    [[nodiscard]] bool is_eligible(const unit& item, const room& where) const;
    [[nodiscard]] bool may_evict(const unit& item, const victim& what) const;
    /// Whether the work lost is worth it.
    [[nodiscard]] bool pays_off(const unit& item, const choice& where) const;
    /// Whether enough stays free for the guarantees that are not in use.
    [[nodiscard]] bool leaves_headroom(const unit& item) const;
    void start(const unit& item, const choice& where);
    /// Keeps room for a unit that cannot start before its victims end.
    void reserve(const unit& item, const choice& where);

    const pool_state& state_;
    const planner_view& view_;
    room_map rooms_;
    /// Tasks of one step on one worker, those placed in this pass included.
    std::map<std::pair<step_key, worker_name>, std::uint32_t> step_counts_;
    /// Free accelerators by rack.
    std::map<std::string, std::int64_t> racks_;
    std::set<job_id> guaranteed_;
    /// Accelerators that guarantees promise and nobody uses.
    std::int64_t unused_guarantees_ = 0;
    std::vector<victim> victims_;
    std::vector<unit> units_;
    placement_plan plan_;
};

} // namespace dandelioncrank::pool
