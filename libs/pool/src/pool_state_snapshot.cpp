// Restores a state from a snapshot, which holds no indexes.
#include "dandelioncrank/pool/pool_state.hpp"

namespace dandelioncrank::pool {

void pool_state::restore(const QByteArray& bytes)
{
    std::uint64_t workers_revision = workers_revision_;
    std::uint64_t contact_revision = contact_revision_;
    std::uint64_t run_changes = run_changes_;
    std::uint64_t notice_count = notice_count_;
    bool is_refusing = is_refusing_;
    // Two states at a time would need twice the memory.
    *this = pool_state();
    *this = from_wire<pool_state>(bytes);
    is_refusing_ = is_refusing;
    workers_revision_ = workers_revision + 1;
    contact_revision_ = contact_revision + 1;
    notice_count_ = notice_count;
    // Every worker may have changed.
    run_changes_ = run_changes + 1;
    rebuild_indexes();
}

void pool_state::rebuild_indexes()
{
    active_.clear();
    runs_.clear();
    job_index_.clear();
    weight_ = 0;
    waiting_unbound_.clear();
    unbound_jobs_ = 0;
    recount_workers();
    out_of_contact_.clear();
    for (const auto& [name, record] : workers_) {
        if (record.lease_left_)
            out_of_contact_.insert(name);
    }
    for (const queue_route& route : config_.routes_)
        queues_.try_emplace(route.address(),
                            queue_record{route.policy_, config_.version_});
    for (auto& [id, job] : jobs_) {
        job_index_.emplace(id, &job);
        unbound_jobs_ += job.address_.empty() ? 1 : 0;
        for (const auto& item : job.occurrences_.records())
            rebuild_runs(job, item.first);
        if (!job.is_final() || job.occurrences_.have_runs()) {
            active_.insert(id);
            join_queue(job);
        } else {
            shrink(job);
        }
        job.weight_ = 0;
        update_weight(job);
    }
}

void pool_state::rebuild_runs(job_record& job, std::uint32_t occurrence)
{
    auto& steps = job.occurrences_.at(occurrence).steps_;
    for (std::uint32_t s = 0; s < steps.size(); ++s) {
        steps[s].running_ = 0;
        for (std::uint32_t i = 0; i < steps[s].tasks_.size(); ++i) {
            const task_record& task = steps[s].tasks_[i];
            if (task.worker_.empty())
                continue;
            ++steps[s].running_;
            worker_runs& entry = runs_[task.worker_];
            entry.runs_.insert({{job.spec_.id_, occurrence, s, i}, task.run_});
            entry.in_use_ += job.spec_.steps_[s].need_;
            ++entry.revision_;
        }
    }
}

} // namespace dandelioncrank::pool
