#pragma once

#include "dandelioncrank/pool/occurrence_table.hpp"
#include "dandelioncrank/pool/pool_commands.hpp"
#include "dandelioncrank/pool/retained_jobs.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace dandelioncrank::pool {

struct exposure;

enum class job_phase
{
    open,
    completed,
    failed,
    cancelled
};

[[nodiscard]] std::string to_text(job_phase value);

/// A queue that a route in force names, or whose jobs are not over.
struct queue_record
{
    /// Policy of the route in force; without a route, of the last one.
    queue_policy policy_;
    /// Version of the last configuration with a route to it.
    std::uint64_t config_version_ = 0;

    // Derived.
    /// Jobs that are not final or may still have runs.
    std::uint64_t active_jobs_ = 0;
    std::uint64_t open_jobs_ = 0;
    /// Open jobs of which no worker has begun a task.
    std::uint64_t waiting_jobs_ = 0;
};

struct job_record
{
    /// Without payload and steps once the job is final and has no runs.
    job_spec spec_;
    /// Policy at its acceptance, with the name of the route, if an earlier
    /// build has stored it and no configuration has bound it to a queue since.
    queue_policy accepted_policy_;
    /// Its queue; empty as long as the accepted policy holds.
    queue_address address_;
    /// The record of its queue while it is active; derived.
    queue_record* queue_ = nullptr;
    team_name team_;
    std::int64_t accepted_ms_ = 0;
    /// Request identifier of the call that stored it.
    std::string accepted_by_;
    job_phase phase_ = job_phase::open;
    /// Whether a worker has begun any task, as far as is known.
    bool has_started_ = false;
    occurrence_table occurrences_;
    /// Why it has failed; empty if it has not.
    std::string failure_;
    /// It has failed because it crashes its workers.
    bool was_given_up_ = false;

    /// What it counts in pool_state::weight(); derived.
    std::uint64_t weight_ = 0;

    /// The policy that holds for an active job now.
    [[nodiscard]] const queue_policy& policy() const
    {
        return queue_ == nullptr ? accepted_policy_ : queue_->policy_;
    }
    [[nodiscard]] bool is_final() const { return phase_ != job_phase::open; }
    [[nodiscard]] std::uint32_t occurrence_count() const
    {
        return std::max(1U, spec_.repeats_);
    }
    /// Whether all dependencies of a step are done.
    [[nodiscard]] bool is_ready(std::uint32_t occurrence,
                                std::uint32_t step) const;

    template <class Archive>
    void fields(Archive& archive)
    {
        // Earlier builds stored all occurrences here.
        std::vector<occurrence_record> all_occurrences;
        archive(spec_, accepted_policy_, team_, accepted_ms_, accepted_by_,
                phase_, has_started_, all_occurrences);
        archive.appended(failure_, was_given_up_, occurrences_, address_);
        occurrences_.adopt(std::move(all_occurrences));
    }
};

struct worker_record
{
    worker_info info_;
    /// Sequence number of the last outcome recorded in this incarnation.
    std::uint64_t outcome_cursor_ = 0;
    /// Runs of this incarnation that were given up when its lease expired;
    /// whether it had crashed under them shows when it is back.
    std::vector<exposed_run> lapsed_;
    /// While an owner is out of contact with it: the time, from a moment before
    /// the commit, after which no lease of it can last any more.
    std::optional<duration> lease_left_;
    /// How often that has been recorded.
    std::uint64_t contact_losses_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(info_, outcome_cursor_);
        archive.appended(lapsed_, lease_left_, contact_losses_);
    }
};

/// A decision of the replicated state, for the log of the owner.
struct pool_notice
{
    /// The job, queue or team.
    std::string subject_;
    std::string message_;
    /// Metric that counts notices of this kind.
    const char* counter_ = nullptr;
};

/// Replicated state of a pool of workers: a deterministic function of the
/// committed commands.
class pool_state
{
  public:
    pool_state() = default;
    pool_state(pool_state&&) = default;
    pool_state& operator=(pool_state&&) = default;

    pool_reply apply(const pool_command& command);

    [[nodiscard]] const pool_config& config() const { return config_; }
    /// Incremented on each change of the workers; local to this replica.
    [[nodiscard]] std::uint64_t workers_revision() const
    {
        return workers_revision_;
    }
    [[nodiscard]] const std::map<worker_name, worker_record>& workers() const
    {
        return workers_;
    }
    /// The workers with which an owner is out of contact.
    [[nodiscard]] const std::set<worker_name>& out_of_contact() const
    {
        return out_of_contact_;
    }
    /// Incremented on each change of these; local to this replica.
    [[nodiscard]] std::uint64_t contact_revision() const
    {
        return contact_revision_;
    }
    /// Returns a worker that must exist; a failure names the call site.
    [[nodiscard]] const worker_record&
    worker_at(const worker_name& name, const char* file = __builtin_FILE(),
              int line = __builtin_LINE()) const;
    /// The other incarnations with the name or the address of a worker, which
    /// cannot live beside it.
    [[nodiscard]] std::vector<const worker_record*>
    replaced_by(const worker_info& info) const;
    /// Whether this or a later incarnation of an unknown worker has ended.
    [[nodiscard]] bool has_ended(const worker_info& info) const;
    /// Zones on whose workers nothing may start.
    [[nodiscard]] const std::set<zone_name>& evacuated_zones() const
    {
        return evacuated_zones_;
    }
    [[nodiscard]] bool is_evacuated(const zone_name& zone) const
    {
        return evacuated_zones_.contains(zone);
    }
    [[nodiscard]] const job_record* find_job(const job_id& id) const;
    /// Returns the job that a call to a route names; null if there is none.
    [[nodiscard]] const job_record* find_job_at(const queue_access& access,
                                                const queue_route& route) const;
    /// Jobs that are not final or may still have runs.
    [[nodiscard]] const std::set<job_id>& active_jobs() const
    {
        return active_;
    }
    /// Runs that may exist on a worker.
    [[nodiscard]] const std::set<run_ref>&
    runs_on(const worker_name& worker) const;
    /// Resources of the runs that may exist on a worker.
    [[nodiscard]] resources in_use_on(const worker_name& worker) const;
    /// Incremented on each change of runs_on(); 0 if nothing ever ran.
    [[nodiscard]] std::uint64_t runs_revision(const worker_name& worker) const;
    /// Number of changes of runs on any worker so far.
    [[nodiscard]] std::uint64_t run_changes() const { return run_changes_; }
    /// Returns the worker of each change after the first `seen` ones, or
    /// nothing if so many have passed that they are no longer known.
    [[nodiscard]] std::optional<std::vector<worker_name>>
    run_changes_since(std::uint64_t seen) const;
    /// Lost workers under a task; null if there are none.
    [[nodiscard]] const loss_record* losses_of(const task_ref& task) const;
    /// The record that makes a task suspect, its own or that of another member
    /// of its gang; null if there is none.
    [[nodiscard]] const loss_record* suspicion_of(const task_ref& task) const;
    /// The latest jobs that were given up because they crash their workers, at
    /// most `limit`, newest first.
    [[nodiscard]] std::vector<const job_record*>
    given_up_jobs(std::size_t limit) const;
    /// Number of notices so far; local to this replica.
    [[nodiscard]] std::uint64_t notice_count() const { return notice_count_; }
    /// The latest notices, oldest first.
    [[nodiscard]] const std::deque<pool_notice>& notices() const
    {
        return notices_;
    }
    /// Number of jobs of a route's queue of which no worker has begun a task.
    [[nodiscard]] std::uint64_t waiting_jobs(const queue_route& route) const;
    [[nodiscard]] const std::map<queue_address, queue_record>& queues() const
    {
        return queues_;
    }
    /// Number of waiting jobs of queues whose service has no workers outside of
    /// evacuated zones.
    [[nodiscard]] std::uint64_t waiting_jobs_without_workers() const;
    /// Memory that the jobs need at the peak, in bytes; see state_weight.hpp.
    [[nodiscard]] std::uint64_t weight() const { return weight_; }
    /// Specification of a task of an active job.
    [[nodiscard]] const step_spec& spec_of(const task_ref& task) const;
    /// Checkpoint from which a task resumes; empty if none.
    [[nodiscard]] std::string checkpoint_of(const task_ref& task) const;
    /// Whether this run should be started or go on.
    [[nodiscard]] bool is_desired(const run_ref& run) const;
    [[nodiscard]] static bool is_desired(const job_record& job,
                                         const run_ref& run);

    [[nodiscard]] QByteArray snapshot() const { return to_wire(*this); }
    /// Throws wire_error.
    void restore(const QByteArray& bytes);

    template <class Archive>
    void fields(Archive& archive)
    {
        std::vector<job_id> final_jobs(final_jobs_.jobs().begin(),
                                       final_jobs_.jobs().end());
        // The other queues have the policy of their routes.
        std::map<queue_address, queue_policy> unrouted = unrouted_policies();
        archive(config_, jobs_, workers_, final_jobs, ended_incarnations_);
        archive.appended(final_jobs_, unrouted, removed_teams_,
                         evacuated_zones_);
        final_jobs_.assign(final_jobs);
        for (const auto& [address, policy] : unrouted)
            queues_.try_emplace(address, queue_record{policy});
    }

  private:
    struct worker_runs
    {
        std::set<run_ref> runs_;
        resources in_use_;
        std::uint64_t revision_ = 0;
    };

    pool_reply handle(const accept_job& command);
    pool_reply handle(const cancel_job& command);
    pool_reply handle(const put_config& command);
    pool_reply handle(const put_worker& command);
    [[nodiscard]] static end_incarnation
    implied_end(const worker_record& record);
    pool_reply handle(const end_incarnation& command);
    pool_reply handle(const start_run& command);
    pool_reply handle(const record_outcomes& command);
    pool_reply handle(const end_unreported_run& command);
    pool_reply handle(const confirm_start& command);
    pool_reply handle(const set_evacuation& command);
    pool_reply handle(const set_contact& command);

    /// Whether a call to a route may name a job.
    [[nodiscard]] static bool is_named_by(const job_record& job,
                                          const queue_access& access,
                                          const queue_route& route);
    [[nodiscard]] bool may_start(const job_record& job,
                                 const start_run& command) const;
    /// Adds a notice if a rejected start was meant for an evacuated zone.
    void report_withheld(const start_run& command);
    void end_run(const worker_name& worker, const run_ref& run,
                 run_outcome outcome, const checkpoint_record& checkpoint);
    void apply_late_success(const run_ref& run);
    static void store_checkpoint(step_record& step, std::uint32_t index,
                                 const checkpoint_record& checkpoint);
    static void count_failure(const job_record& job, step_record& step,
                              const run_ref& run);
    /// The job fails unless it is final; says so in a notice.
    void fail(job_record& job, const std::string& reason, const char* counter);
    /// Records the loss of a worker for what ran there, and gives up what is
    /// to blame.
    void record_loss(const worker_record& worker,
                     const end_incarnation& command);
    void record_lapse(worker_record& worker, const exposed_run& item);
    /// Adds one loss to the record of a task.
    void note_loss(const exposure& entry, const worker_loss& loss);
    /// The step of a task; null if its occurrence is not under way.
    [[nodiscard]] const step_record* find_step(const task_ref& task) const;
    [[nodiscard]] loss_record& losses_at(const task_ref& task);
    [[nodiscard]] exposure make_exposure(const exposed_run& item) const;
    void finish(job_record& job, job_phase phase);
    void mark_started(const job_id& id);
    /// Gives the queues the policies of the configuration in force.
    void bind_queues(std::uint64_t earlier_version);
    /// Keeps the queues without a route that have jobs.
    void release_queues(std::uint64_t earlier_version);
    /// Logs a move to another service, and applies a lower number of attempts.
    void change_policy(const queue_address& address, queue_record& queue,
                       const queue_policy& policy);
    /// Binds jobs that go by the name of a route to the queue that it names.
    void bind_jobs(const pool_config& config);
    /// Follows the teams that have another name in the configuration in force.
    void rename_teams(const pool_config& before);
    /// Makes an active job count in its queue, or not any more.
    void join_queue(job_record& job);
    void leave_queue(job_record& job);
    [[nodiscard]] bool has_route(const queue_record& queue) const
    {
        return queue.config_version_ == config_.version_;
    }
    /// Policies of the queues without a route.
    [[nodiscard]] std::map<queue_address, queue_policy>
    unrouted_policies() const;
    /// Fails the jobs of a queue with tasks that may not start again.
    void fail_exhausted_jobs(const queue_record& queue);
    /// The job fails if a task that is not done has failed too often.
    void check_attempts(job_record& job, const task_ref& at);
    /// Updates the number of waiting jobs when one starts or stops waiting.
    void count_waiting(const job_record& job, int change);
    /// Updates the number of workers of a service that may start work.
    void count_worker(const worker_info& info, int change);
    void recount_workers();
    void add_notice(const std::string& subject, std::string message,
                    const char* counter);
    void refresh_job(const job_id& id);
    /// Makes room for a job by evicting final ones. Returns false if the limit
    /// would be passed all the same.
    [[nodiscard]] bool make_room(std::uint64_t weight, std::uint64_t limit);
    /// Adds a notice when new jobs begin to be refused and when there is room
    /// again.
    void report_room(const job_id& job, bool has_room, std::uint64_t limit);
    /// Whether the oldest final job has no runs.
    [[nodiscard]] bool can_evict() const;
    void evict_oldest();
    /// Drops what nobody asks for once a job is final and has no runs.
    static void shrink(job_record& job);
    void update_weight(job_record& job);
    void rebuild_indexes();
    void rebuild_runs(job_record& job, std::uint32_t occurrence);
    [[nodiscard]] job_record& job_at(const job_id& id) const;
    /// Records a change of the runs on a worker.
    worker_runs& change_runs(const worker_name& worker);

    pool_config config_;
    std::map<job_id, job_record> jobs_;
    std::map<worker_name, worker_record> workers_;
    std::uint64_t workers_revision_ = 0;
    /// Completed, failed and cancelled jobs.
    retained_jobs final_jobs_;
    /// Keys of teams that are not configured and have active jobs.
    team_keys removed_teams_;
    /// The last ended incarnation of each worker.
    std::map<worker_name, std::int64_t> ended_incarnations_;
    std::set<zone_name> evacuated_zones_;

    // Derived from the above.
    std::uint64_t weight_ = 0;
    std::map<queue_address, queue_record> queues_;
    /// Waiting jobs that go by the name of a route, by that name.
    std::map<std::string, std::uint64_t> waiting_unbound_;
    std::map<service_name, std::uint64_t> workers_of_service_;
    std::set<worker_name> out_of_contact_;
    std::uint64_t contact_revision_ = 0;
    /// Number of jobs that go by the name of a route.
    std::uint64_t unbound_jobs_ = 0;
    std::set<job_id> active_;
    std::unordered_map<worker_name, worker_runs> runs_;
    std::unordered_map<job_id, job_record*> job_index_;
    /// Workers of the latest changes of runs, oldest first.
    std::deque<worker_name> changed_workers_;
    std::uint64_t run_changes_ = 0;
    std::deque<pool_notice> notices_;
    std::uint64_t notice_count_ = 0;
    /// Whether the last new job was refused for lack of room; for notices only.
    bool is_refusing_ = false;
};

} // namespace dandelioncrank::pool
