// What a configuration changes for the jobs that are there.
#include "dandelioncrank/pool/pool_state.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank::pool {

namespace {

bool is_in_queue(const job_record& job, const queue_route& route)
{
    return job.address_.empty()
               ? job.accepted_policy_.name_ == route.policy_.name_
               : job.address_ == route.address();
}

bool has_path(const job_record& job, const queue_access& access)
{
    return job.address_.host_ == access.host_ &&
           job.address_.prefix_ + job.spec_.id_.str() == access.path_;
}

} // namespace

pool_reply pool_state::handle(const put_config& command)
{
    if (command.config_.version_ <= config_.version_)
        return pool_reply::unchanged;
    // All replicas do this at the same place in the log, also those that have
    // read the jobs from a snapshot of an earlier build.
    bool binds_jobs = command.identity_ == queue_identity::address;
    if (binds_jobs)
        bind_jobs(config_);
    pool_config before = std::exchange(config_, command.config_);
    bind_queues(before.version_);
    if (binds_jobs) {
        bind_jobs(config_);
        rename_teams(before);
    }
    return pool_reply::applied;
}

// Everything that a route says of its queue holds for the queue's jobs from
// here on, whenever they were accepted. Runs under way go on.
void pool_state::bind_queues(std::uint64_t earlier_version)
{
    std::uint64_t version = config_.version_;
    for (const queue_route& route : config_.routes_) {
        auto [found, is_new] = queues_.try_emplace(
            route.address(), queue_record{route.policy_, version});
        queue_record& queue = found->second;
        if (is_new || queue.config_version_ == version)
            continue;
        if (queue.config_version_ != earlier_version)
            add_notice(to_text(found->first),
                       "queue has a route again with configuration " +
                           std::to_string(version) + ": " +
                           std::to_string(queue.open_jobs_) + " open jobs",
                       nullptr);
        queue.config_version_ = version;
        change_policy(found->first, queue, route.policy_);
    }
    release_queues(earlier_version);
}

void pool_state::release_queues(std::uint64_t earlier_version)
{
    for (auto it = queues_.begin(); it != queues_.end();) {
        const auto& [address, queue] = *it;
        if (!has_route(queue) && queue.active_jobs_ == 0) {
            it = queues_.erase(it);
            continue;
        }
        if (queue.config_version_ == earlier_version)
            add_notice(to_text(address),
                       "queue has no route in configuration " +
                           std::to_string(config_.version_) + "; its " +
                           std::to_string(queue.open_jobs_) +
                           " open jobs stay with service " +
                           queue.policy_.service_.str(),
                       nullptr);
        ++it;
    }
}

void pool_state::change_policy(const queue_address& address,
                               queue_record& queue, const queue_policy& policy)
{
    queue_policy before = std::exchange(queue.policy_, policy);
    if (before.service_ != policy.service_ && queue.open_jobs_ > 0)
        add_notice(to_text(address),
                   "queue moves from service " + before.service_.str() +
                       " to " + policy.service_.str() + " with " +
                       std::to_string(queue.open_jobs_) + " open jobs, " +
                       std::to_string(queue.waiting_jobs_) + " of them waiting",
                   "queues_moved");
    if (policy.attempts_ < before.attempts_ && queue.open_jobs_ > 0)
        fail_exhausted_jobs(queue);
}

void pool_state::fail_exhausted_jobs(const queue_record& queue)
{
    std::vector<job_id> jobs;
    for (const job_id& id : active_) {
        if (job_at(id).queue_ == &queue)
            jobs.push_back(id);
    }
    for (const job_id& id : jobs) {
        job_record& job = job_at(id);
        for (const auto& [number, occurrence] : job.occurrences_.records()) {
            for (std::uint32_t s = 0; s < occurrence.steps_.size(); ++s) {
                const auto& tasks = occurrence.steps_[s].tasks_;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    if (tasks[i].worker_.empty())
                        check_attempts(job, {id, number, s, i});
                }
            }
        }
        refresh_job(id);
    }
}

void pool_state::bind_jobs(const pool_config& config)
{
    if (unbound_jobs_ == 0)
        return;
    for (auto& [id, job] : jobs_) {
        if (!job.address_.empty())
            continue;
        const queue_route* route =
            config.find_route_named(job.accepted_policy_.name_);
        if (route == nullptr)
            continue;
        bool is_active = active_.contains(id);
        if (is_active)
            leave_queue(job);
        job.address_ = route->address();
        job.accepted_policy_ = {};
        --unbound_jobs_;
        if (is_active)
            join_queue(job);
        update_weight(job);
    }
}

void pool_state::rename_teams(const pool_config& before)
{
    team_keys earlier = std::exchange(removed_teams_, {});
    for (const auto& [name, rule] : before.teams_)
        earlier.insert_or_assign(name, rule.keys_);
    std::map<team_name, team_name> renamed =
        find_renamed_teams(earlier, config_);
    bool has_removed =
        std::any_of(earlier.begin(), earlier.end(), [this](const auto& item) {
            return !config_.teams_.contains(item.first);
        });
    if (renamed.empty() && !has_removed)
        return;
    std::map<team_name, std::uint64_t> moved;
    for (const job_id& id : active_) {
        job_record& job = job_at(id);
        auto found = renamed.find(job.team_);
        if (found != renamed.end()) {
            ++moved[job.team_];
            job.team_ = found->second;
            update_weight(job);
            continue;
        }
        auto known = earlier.find(job.team_);
        if (known != earlier.end() && !config_.teams_.contains(job.team_))
            removed_teams_.insert(*known);
    }
    for (const auto& [team, jobs] : moved)
        add_notice(team.str(),
                   "team goes on as " + renamed.at(team).str() + " with " +
                       std::to_string(jobs) + " active jobs",
                   nullptr);
}

void pool_state::join_queue(job_record& job)
{
    if (!job.address_.empty()) {
        job.queue_ = &queues_.at(job.address_);
        ++job.queue_->active_jobs_;
        job.queue_->open_jobs_ += job.is_final() ? 0 : 1;
    }
    if (!job.is_final() && !job.has_started_)
        count_waiting(job, 1);
}

void pool_state::leave_queue(job_record& job)
{
    if (!job.is_final() && !job.has_started_)
        count_waiting(job, -1);
    queue_record* queue = std::exchange(job.queue_, nullptr);
    if (queue == nullptr)
        return;
    queue->open_jobs_ -= job.is_final() ? 0 : 1;
    if (--queue->active_jobs_ == 0 && !has_route(*queue))
        queues_.erase(job.address_);
}

std::map<queue_address, queue_policy> pool_state::unrouted_policies() const
{
    std::map<queue_address, queue_policy> result;
    for (const auto& [address, queue] : queues_) {
        if (!has_route(queue))
            result.emplace(address, queue.policy_);
    }
    return result;
}

void pool_state::count_waiting(const job_record& job, int change)
{
    auto difference = static_cast<std::uint64_t>(change);
    if (job.queue_ != nullptr) {
        job.queue_->waiting_jobs_ += difference;
        return;
    }
    auto entry =
        waiting_unbound_.try_emplace(job.accepted_policy_.name_, 0).first;
    entry->second += difference;
    if (entry->second == 0)
        waiting_unbound_.erase(entry);
}

// --- Views

bool pool_state::is_named_by(const job_record& job, const queue_access& access,
                             const queue_route& route)
{
    return is_in_queue(job, route) || has_path(job, access);
}

// A call names a job by its host and its whole path. The route with the longest
// prefix decides whether the call is allowed; it may be newer than the job, and
// then another part of the path is the job's prefix.
const job_record* pool_state::find_job_at(const queue_access& access,
                                          const queue_route& route) const
{
    const std::string& path = access.path_;
    const job_record* job = find_job(job_id(path.substr(route.prefix_.size())));
    if (job != nullptr && is_in_queue(*job, route))
        return job;
    job = find_job(job_id(path.substr(path.rfind('/') + 1)));
    return job != nullptr && has_path(*job, access) ? job : nullptr;
}

std::uint64_t pool_state::waiting_jobs(const queue_route& route) const
{
    auto queue = queues_.find(route.address());
    auto unbound = waiting_unbound_.find(route.policy_.name_);
    return (queue == queues_.end() ? 0 : queue->second.waiting_jobs_) +
           (unbound == waiting_unbound_.end() ? 0 : unbound->second);
}

std::uint64_t pool_state::waiting_jobs_without_workers() const
{
    std::uint64_t count = 0;
    for (const auto& item : queues_) {
        const queue_record& queue = item.second;
        if (!workers_of_service_.contains(queue.policy_.service_))
            count += queue.waiting_jobs_;
    }
    return count;
}

} // namespace dandelioncrank::pool
