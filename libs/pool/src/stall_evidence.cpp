#include "stall_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// How long a stall counts against its worker. A worker that is kept out for it
// gets new work within this time.
constexpr duration evidence_time = 60s;
constexpr std::size_t max_stalls_per_worker = 8;
// Number of tasks whose stops are kept.
constexpr std::size_t max_tasks = 4096;

} // namespace

void stall_evidence::note_progress(const worker_name& worker, instant at)
{
    worker_history& history = workers_[worker];
    history.progressed_at_ = std::max(history.progressed_at_, at);
    history.stalls_.clear();
}

bool stall_evidence::has_progressed_since(const worker_name& worker,
                                          instant at) const
{
    auto found = workers_.find(worker);
    return found != workers_.end() && found->second.progressed_at_ > at;
}

std::optional<stall_suspicion>
stall_evidence::note_first_progress(const run_ref& run,
                                    const std::vector<worker_name>& workers,
                                    duration waited, instant now)
{
    auto found = tasks_.find(run.task_);
    if (found == tasks_.end() || found->second.workers_.empty() ||
        run.run_ <= found->second.run_)
        return std::nullopt;
    task_history& history = found->second;
    std::vector<worker_name> earlier = std::exchange(history.workers_, {});
    std::erase_if(earlier, [&](const worker_name& worker) {
        return std::find(workers.begin(), workers.end(), worker) !=
                   workers.end() ||
               has_progressed_since(worker, history.stopped_at_);
    });
    // A task that takes as long here shows nothing of the other worker.
    if (earlier.size() != 1 || waited > history.standing_ / 2)
        return std::nullopt;
    add_stall(earlier.front(), {run.task_, now, true});
    return stall_suspicion{earlier.front(), run.task_.job_,
                           "the task progresses elsewhere"};
}

void stall_evidence::note_stall(const run_ref& run,
                                const std::vector<worker_name>& workers,
                                const std::vector<worker_name>& suspects,
                                duration standing, instant now)
{
    for (const worker_name& worker : suspects.empty() ? workers : suspects)
        add_stall(worker,
                  {run.task_, now, !suspects.empty() || workers.size() == 1});
    if (tasks_.size() >= max_tasks && !tasks_.contains(run.task_))
        return;
    task_history& history = tasks_[run.task_];
    ++history.stops_;
    history.run_ = run.run_;
    history.workers_ = suspects.empty() ? workers : std::vector<worker_name>();
    history.standing_ = standing;
    history.stopped_at_ = now;
}

void stall_evidence::add_stall(const worker_name& worker, const stall& item)
{
    std::deque<stall>& stalls = workers_[worker].stalls_;
    stalls.push_back(item);
    if (stalls.size() > max_stalls_per_worker)
        stalls.pop_front();
}

bool stall_evidence::has_stalled(const worker_name& worker,
                                 const task_ref& except,
                                 bool same_job_counts) const
{
    auto found = workers_.find(worker);
    if (found == workers_.end())
        return false;
    return std::any_of(found->second.stalls_.begin(),
                       found->second.stalls_.end(), [&](const stall& item) {
                           bool is_same_job = item.task_.job_ == except.job_;
                           return item.is_certain_ && item.task_ != except &&
                                  (same_job_counts || !is_same_job);
                       });
}

bool stall_evidence::is_doubtful(const worker_name& worker) const
{
    auto found = workers_.find(worker);
    return found != workers_.end() && !found->second.stalls_.empty();
}

const worker_name*
stall_evidence::common_worker(const std::vector<worker_name>& workers) const
{
    const worker_name* result = nullptr;
    for (const worker_name& worker : workers) {
        if (!is_doubtful(worker))
            continue;
        if (result != nullptr)
            return nullptr;
        result = &worker;
    }
    return result;
}

int stall_evidence::stops_of(const task_ref& task) const
{
    auto found = tasks_.find(task);
    return found == tasks_.end() ? 0 : found->second.stops_;
}

void stall_evidence::forget_old(instant now)
{
    for (auto it = workers_.begin(); it != workers_.end();) {
        worker_history& history = it->second;
        std::erase_if(history.stalls_, [now](const stall& item) {
            return now - item.at_ > evidence_time;
        });
        bool is_old = history.stalls_.empty() &&
                      now - history.progressed_at_ > evidence_time;
        it = is_old ? workers_.erase(it) : std::next(it);
    }
    std::erase_if(tasks_, [this](const auto& item) {
        return !is_active_(item.first.job_);
    });
}

} // namespace dandelioncrank::pool
