// Losses of workers in pool_state: what counts against which task.
#include "dandelioncrank/pool/pool_state.hpp"

#include "loss_assessment.hpp"

namespace dandelioncrank::pool {

namespace {

// Number of lapsed runs that are kept for one worker.
constexpr std::size_t max_kept_lapsed_runs = 64;

} // namespace

const loss_record* pool_state::losses_of(const task_ref& task) const
{
    const step_record* step = find_step(task);
    if (step == nullptr)
        return nullptr;
    auto found = step->losses_.find(task.index_);
    return found == step->losses_.end() ? nullptr : &found->second;
}

const loss_record* step_record::suspicion(std::uint32_t task,
                                          bool is_gang) const
{
    const loss_record* result = nullptr;
    for (const auto& [index, record] : losses_) {
        bool counts = record.is_suspect_ && (is_gang || index == task);
        if (counts && (result == nullptr ||
                       result->suspected_count_ < record.suspected_count_))
            result = &record;
    }
    return result;
}

const loss_record* pool_state::suspicion_of(const task_ref& task) const
{
    const step_record* step = find_step(task);
    return step == nullptr || step->losses_.empty()
               ? nullptr
               : step->suspicion(task.index_, spec_of(task).is_gang_);
}

std::vector<const job_record*>
pool_state::given_up_jobs(std::size_t limit) const
{
    std::vector<const job_record*> result;
    const std::deque<job_id>& jobs = final_jobs_.jobs();
    for (auto it = jobs.rbegin(); it != jobs.rend() && result.size() < limit;
         ++it) {
        const job_record& job = job_at(*it);
        if (job.was_given_up_)
            result.push_back(&job);
    }
    return result;
}

const step_record* pool_state::find_step(const task_ref& task) const
{
    const occurrence_record* record =
        job_at(task.job_).occurrences_.find(task.occurrence_);
    return record == nullptr ? nullptr : &record->steps_.at(task.step_);
}

loss_record& pool_state::losses_at(const task_ref& task)
{
    return job_at(task.job_)
        .occurrences_.at(task.occurrence_)
        .steps_.at(task.step_)
        .losses_[task.index_];
}

void pool_state::record_lapse(worker_record& worker, const exposed_run& item)
{
    losses_at(item.run_.task_).add_lapse();
    if (worker.lapsed_.size() < max_kept_lapsed_runs)
        worker.lapsed_.push_back(item);
}

exposure pool_state::make_exposure(const exposed_run& item) const
{
    const task_ref& task = item.run_.task_;
    bool is_gang = spec_of(task).is_gang_;
    exposure result{item, task, false, 0};
    if (is_gang)
        result.unit_.index_ = 0;
    const loss_record* suspicion = suspicion_of(task);
    const loss_record* losses = losses_of(task);
    result.is_on_probation_ =
        suspicion != nullptr && suspicion->is_on_probation(item.age_);
    result.earlier_losses_ = losses == nullptr ? 0 : losses->count_;
    return result;
}

void pool_state::record_loss(const worker_record& worker,
                             const end_incarnation& command)
{
    if (command.cause_ == incarnation_end_cause::unspecified ||
        command.cause_ == incarnation_end_cause::left)
        return;
    std::vector<exposure> exposed;
    auto add = [&](const exposed_run& item) {
        const task_ref& task = item.run_.task_;
        const job_record* job = find_job(task.job_);
        // A run that has lapsed may have been replaced by one that is done.
        if (job != nullptr && !job->is_final() && find_step(task) != nullptr)
            exposed.push_back(make_exposure(item));
    };
    for (const exposed_run& item : worker.lapsed_)
        add(item);
    for (const exposed_run& item : command.exposed_) {
        if (runs_on(command.worker_).contains(item.run_))
            add(item);
    }
    std::set<task_ref> suspects = find_suspects(exposed, command.cause_);
    bool is_sole = suspects.size() == 1 &&
                   command.cause_ == incarnation_end_cause::crashed;
    for (const exposure& entry : exposed) {
        bool is_suspect = suspects.contains(entry.unit_);
        note_loss(entry,
                  {entry.item_.run_.run_, command.worker_, command.incarnation_,
                   worker.info_.address_, is_suspect,
                   is_suspect && is_sole && entry.item_.is_confirmed_});
    }
    for (const exposure& entry : exposed)
        refresh_job(entry.item_.run_.task_.job_);
}

void pool_state::note_loss(const exposure& entry, const worker_loss& loss)
{
    const exposed_run& item = entry.item_;
    loss_record& record = losses_at(item.run_.task_);
    if (loss.is_suspected_ && !entry.is_on_probation_)
        record.sole_count_ = 0;
    record.add(loss, item.age_);
    job_record& job = job_at(item.run_.task_.job_);
    std::string name = to_text(item.run_);
    if (record.is_to_blame()) {
        job.was_given_up_ = job.was_given_up_ || !job.is_final();
        fail(job, name + " crashes its workers: " + to_text(record),
             "jobs_given_up");
    } else if (loss.is_suspected_) {
        add_notice(
            job.spec_.id_.str(),
            name + " is suspected of crashing its workers: " + to_text(record),
            "tasks_suspected");
    }
}

} // namespace dandelioncrank::pool
