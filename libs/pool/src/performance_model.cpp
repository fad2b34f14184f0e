#include "performance_model.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Estimates cost a visit to all workers, and change by runs of seconds.
constexpr duration refresh_interval = 500ms;
// How long a sample counts, plus a multiple of the run time of like tasks: a
// worker that gets no work is tried again as a typical one.
constexpr duration sample_lifetime = std::chrono::minutes(1);
constexpr int sample_lifetime_runs = 4;
// Number of other workers from which each run is a sample of its own. If it is
// compared with fewer, most of these may be unusual: work that can wait is
// placed on slow workers together. So a step counts as some samples only, which
// do not suffice for a judgement. Compared with its queue, a step
// counts as one sample: it may differ from the queue as a whole.
constexpr std::size_t min_workers_for_own_samples = 12;
constexpr std::uint32_t shared_samples_per_step = 4;
// Percents are rounded, so a pace is measured over this many.
constexpr int pace_percents = 20;
// A run that cannot have had more than this share of its usual pace counts as
// slow before it has advanced that far.
constexpr double slow_pace_limit = 0.5;
// Limits each sample, so that a frozen run does not give a speed near zero.
constexpr double max_speed_factor = 20;
// Slowdown of rack-sensitive work that is spread over racks, as workers run it.
constexpr double spread_slowdown = 3.0;
// Number of steps whose run times are kept.
constexpr std::size_t max_steps = 512;
// How long what is known of a run is kept after its last listing.
constexpr duration run_retention = 10s;

double to_log(duration value)
{
    return std::log(
        std::chrono::duration<double>(std::max<duration>(value, 1ms)).count());
}

duration from_log(double value)
{
    return std::chrono::round<duration>(
        std::chrono::duration<double>(std::exp(value)));
}

duration scale(duration value, double factor)
{
    return std::chrono::round<duration>(std::chrono::duration<double>(value) *
                                        factor);
}

std::uint64_t step_key_hash(const run_ref& run)
{
    run_ref step = run;
    step.task_.index_ = std::numeric_limits<std::uint32_t>::max();
    step.run_ = 0;
    return run_hash()(step);
}

std::uint64_t shared_key_hash(const run_ref& run)
{
    run_ref shared = run;
    shared.task_.index_ = run.task_.index_ % shared_samples_per_step;
    shared.run_ = 0;
    return run_hash()(shared);
}

step_key step_of(const run_ref& run)
{
    return {run.task_.job_, run.task_.occurrence_, run.task_.step_};
}

speed_sample make_sample(std::uint64_t key, std::uint64_t run, double log_speed,
                         duration typical_time, instant now)
{
    double limit = std::log(max_speed_factor);
    return {key, run, std::clamp(log_speed, -limit, limit), now,
            now + sample_lifetime + typical_time * sample_lifetime_runs};
}

} // namespace

void performance_model::observe(const worker_name& worker,
                                const run_sighting& sighting)
{
    const task_ref& task = sighting.run_.task_;
    const job_record* job = state_.find_job(task.job_);
    if (job == nullptr || task.step_ >= job->spec_.steps_.size())
        return;
    const step_spec& spec = job->spec_.steps_[task.step_];
    if (spec.is_long_running_)
        return;
    if (!sighting.run_time_) {
        if (!spec.is_gang_)
            observe_progress(worker, sighting, *job, spec);
        return;
    }
    // What resumed from a checkpoint has done a part of the work only.
    if (job->occurrences_.find(task.occurrence_) == nullptr ||
        !state_.checkpoint_of(task).empty())
        return;
    if (spec.is_gang_)
        observe_gang_end(sighting, *job, spec);
    else
        observe_end(worker, sighting, *job, spec);
}

void performance_model::observe_end(const worker_name& worker,
                                    const run_sighting& sighting,
                                    const job_record& job,
                                    const step_spec& spec)
{
    const run_ref& run = sighting.run_;
    duration run_time = *sighting.run_time_;
    duration typical = scale(run_time, speeds_.speed_of(worker));
    auto mark = marks_.find(run);
    std::uint64_t counted_key = 0;
    if (mark != marks_.end()) {
        counted_key = mark->second.counted_key_;
        marks_.erase(mark);
    }
    sibling_run_times& siblings = siblings_of(step_of(run), sighting.at_);
    siblings.add({run_hash()(run), shared_key_hash(run), counted_key, worker,
                  sighting.at_, run_time, to_log(typical)});
    bool has_siblings = siblings.reference_for(worker).has_value();
    compare_siblings(siblings);
    queue_address queue = queue_of(job);
    auto usual = run_times_.reliable_estimate(queue, spec);
    if (!has_siblings && usual) {
        std::uint64_t key = step_key_hash(run);
        speeds_.record(worker,
                       make_sample(key, run_hash()(run),
                                   to_log(*usual) - to_log(run_time), *usual,
                                   sighting.at_),
                       key != counted_key);
    }
    run_times_.record(queue, spec, typical);
}

void performance_model::compare_siblings(sibling_run_times& siblings)
{
    for (sibling_run_times::entry& item : siblings.entries()) {
        if (item.is_settled_)
            continue;
        auto others = siblings.reference_for(item.worker_);
        if (!others)
            continue;
        item.is_settled_ = others->workers_ >= min_workers_for_own_samples;
        std::uint64_t key = item.is_settled_ ? item.run_ : item.shared_key_;
        speeds_.record(
            item.worker_,
            make_sample(key, item.run_,
                        others->log_typical_ - to_log(item.run_time_),
                        from_log(others->log_typical_), item.ended_at_),
            key != item.counted_key_);
        item.counted_key_ = key;
    }
}

// The first member to end stands for the gang: the state still shows where all
// of them run.
void performance_model::observe_gang_end(const run_sighting& sighting,
                                         const job_record& job,
                                         const step_spec& spec)
{
    run_ref gang = sighting.run_;
    gang.task_.index_ = 0;
    if (!ended_gangs_.try_emplace(gang, sighting.at_).second)
        return;
    const task_ref& task = gang.task_;
    double slowest = std::numeric_limits<double>::max();
    std::set<rack_name> racks;
    for (const task_record& member :
         job.occurrences_.at(task.occurrence_).steps_[task.step_].tasks_) {
        auto worker = state_.workers().find(member.worker_);
        if (worker == state_.workers().end())
            continue;
        slowest = std::min(slowest, speeds_.speed_of(member.worker_));
        racks.insert(worker->second.info_.rack_);
    }
    if (racks.empty())
        return;
    if (spec.is_rack_sensitive_ && racks.size() > 1)
        slowest /= spread_slowdown;
    run_times_.record(queue_of(job), spec, scale(*sighting.run_time_, slowest));
}

void performance_model::observe_progress(const worker_name& worker,
                                         const run_sighting& sighting,
                                         const job_record& job,
                                         const step_spec& spec)
{
    auto [found, is_first] = marks_.try_emplace(sighting.run_);
    progress_mark& mark = found->second;
    mark.seen_at_ = sighting.at_;
    int advanced = sighting.progress_percent_ - mark.progress_percent_;
    if (is_first || advanced < 0) {
        mark.at_ = sighting.at_;
        mark.progress_percent_ = sighting.progress_percent_;
        return;
    }
    std::chrono::duration<double> passed = sighting.at_ - mark.at_;
    if (passed.count() <= 0)
        return;
    auto usual = find_reference(worker, sighting.run_, job, spec);
    if (!usual)
        return;
    double usual_pace =
        100 / std::chrono::duration<double>(usual->run_time_).count();
    bool is_measured = advanced >= pace_percents;
    // The next percent may be just due.
    double pace = (is_measured ? advanced : advanced + 1) / passed.count();
    double speed = pace / usual_pace;
    if (!is_measured && speed > slow_pace_limit)
        return;
    speeds_.record(worker,
                   make_sample(usual->sample_key_, run_hash()(sighting.run_),
                               std::log(speed), usual->run_time_, sighting.at_),
                   usual->sample_key_ != mark.counted_key_);
    mark.counted_key_ = usual->sample_key_;
    if (is_measured) {
        mark.at_ = sighting.at_;
        mark.progress_percent_ = sighting.progress_percent_;
    }
}

std::optional<performance_model::reference>
performance_model::find_reference(const worker_name& worker, const run_ref& run,
                                  const job_record& job,
                                  const step_spec& spec) const
{
    auto step = steps_.find(step_of(run));
    if (step != steps_.end()) {
        if (auto others = step->second.run_times_.reference_for(worker))
            return reference{from_log(others->log_typical_),
                             others->workers_ >= min_workers_for_own_samples
                                 ? run_hash()(run)
                                 : shared_key_hash(run)};
    }
    if (auto usual = run_times_.reliable_estimate(queue_of(job), spec))
        return reference{*usual, step_key_hash(run)};
    return std::nullopt;
}

sibling_run_times& performance_model::siblings_of(const step_key& step,
                                                  instant now)
{
    if (steps_.size() >= max_steps && !steps_.contains(step))
        steps_.erase(std::min_element(
            steps_.begin(), steps_.end(), [](const auto& a, const auto& b) {
                return a.second.used_at_ < b.second.used_at_;
            }));
    step_entry& entry = steps_[step];
    entry.used_at_ = now;
    return entry.run_times_;
}

bool performance_model::is_under_way(const step_key& step) const
{
    const auto& [id, occurrence, number] = step;
    const job_record* job = state_.find_job(id);
    if (job == nullptr || job->is_final())
        return false;
    const occurrence_record* record = job->occurrences_.find(occurrence);
    return record != nullptr && !record->steps_[number].is_done();
}

void performance_model::refresh(instant now)
{
    if (now - refreshed_at_ < refresh_interval)
        return;
    refreshed_at_ = now;
    speeds_.refresh(now);
    std::erase_if(
        steps_, [this](const auto& item) { return !is_under_way(item.first); });
    std::erase_if(marks_, [now](const auto& item) {
        return now - item.second.seen_at_ > run_retention;
    });
    std::erase_if(ended_gangs_, [now](const auto& item) {
        return now - item.second > run_retention;
    });
}

} // namespace dandelioncrank::pool
