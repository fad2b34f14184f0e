// Read access to workers, jobs and runs, and what observers have missed.
#include "dandelioncrank/pool/pool_state.hpp"

#include "dandelioncrank/core/invariant.hpp"

namespace dandelioncrank::pool {

namespace {

// Number of changes of runs that are kept for an observer of the state.
constexpr std::size_t max_known_run_changes = 8192;

} // namespace

const worker_record& pool_state::worker_at(const worker_name& name,
                                           const char* file, int line) const
{
    auto found = workers_.find(name);
    if (found == workers_.end())
        fail_invariant("worker " + name.str() + " is known", file, line);
    return found->second;
}

const job_record* pool_state::find_job(const job_id& id) const
{
    auto found = job_index_.find(id);
    return found == job_index_.end() ? nullptr : found->second;
}

job_record& pool_state::job_at(const job_id& id) const
{
    return *job_index_.at(id);
}

pool_state::worker_runs& pool_state::change_runs(const worker_name& worker)
{
    ++run_changes_;
    changed_workers_.push_back(worker);
    if (changed_workers_.size() > max_known_run_changes)
        changed_workers_.pop_front();
    worker_runs& entry = runs_[worker];
    ++entry.revision_;
    return entry;
}

std::optional<std::vector<worker_name>>
pool_state::run_changes_since(std::uint64_t seen) const
{
    std::uint64_t forgotten = run_changes_ - changed_workers_.size();
    if (seen < forgotten || seen > run_changes_)
        return std::nullopt;
    auto first = changed_workers_.begin() +
                 static_cast<std::ptrdiff_t>(seen - forgotten);
    return std::vector<worker_name>(first, changed_workers_.end());
}

const std::set<run_ref>& pool_state::runs_on(const worker_name& worker) const
{
    static const std::set<run_ref> none;
    auto found = runs_.find(worker);
    return found == runs_.end() ? none : found->second.runs_;
}

resources pool_state::in_use_on(const worker_name& worker) const
{
    auto found = runs_.find(worker);
    return found == runs_.end() ? resources{} : found->second.in_use_;
}

std::uint64_t pool_state::runs_revision(const worker_name& worker) const
{
    auto found = runs_.find(worker);
    return found == runs_.end() ? 0 : found->second.revision_;
}

const step_spec& pool_state::spec_of(const task_ref& task) const
{
    return job_at(task.job_).spec_.steps_.at(task.step_);
}

std::string pool_state::checkpoint_of(const task_ref& task) const
{
    const job_record& job = job_at(task.job_);
    const occurrence_record* record = job.occurrences_.find(task.occurrence_);
    if (record == nullptr)
        return {};
    const step_record& step = record->steps_.at(task.step_);
    bool is_gang = job.spec_.steps_.at(task.step_).is_gang_;
    auto found = step.checkpoints_.find(is_gang ? 0 : task.index_);
    return found == step.checkpoints_.end() ? std::string()
                                            : found->second.value_;
}

bool pool_state::is_desired(const run_ref& run) const
{
    const job_record* job = find_job(run.task_.job_);
    return job != nullptr && is_desired(*job, run);
}

bool pool_state::is_desired(const job_record& job, const run_ref& run)
{
    if (job.is_final())
        return false;
    const occurrence_record* record =
        job.occurrences_.find(run.task_.occurrence_);
    if (record == nullptr)
        return false;
    const step_record& step = record->steps_.at(run.task_.step_);
    const task_record& task = step.tasks_.at(run.task_.index_);
    if (task.run_ != run.run_ || task.worker_.empty() || task.is_done_)
        return false;
    // A gang that has lost a member must stop.
    return !job.spec_.steps_[run.task_.step_].is_gang_ ||
           step.running_ == step.tasks_.size();
}

} // namespace dandelioncrank::pool
