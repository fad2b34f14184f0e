#include "progress_monitor.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// How many times later than due a percent may come. Declared run times are off
// by up to ten, single tasks take 7 times as long, and the slowest workers work
// at 0.55 of the speed: 127 together.
constexpr double wide_factor = 128;
// Where the run's own pace is known, or other runs show that the worker stands.
// A worker that is slow by itself and slowed 8 times for a while takes 15 times
// as long; the rest is margin.
constexpr double narrow_factor = 32;
// How much longer a run may stand while others on its worker progress.
constexpr double favor_factor = 2;
// Work that is slower does not show soon whether its worker has stopped.
constexpr duration max_shown_pace = 60s;
// Gangs over several racks, and tasks away from their data, take this many
// times as long.
constexpr double remote_factor = 3;
// Each stop of a task as stalled doubles the time that its next run may stand,
// up to this number of stops.
constexpr int max_doublings = 6;
// Longest time allowed; keeps the arithmetic within range.
constexpr duration max_allowed = std::chrono::hours(24 * 365);
// How long members of a gang may wait for each other before they progress.
constexpr duration gang_wait = 5s;
// Interval at which old records are dropped.
constexpr duration clean_interval = 1s;

duration scale(duration value, double factor)
{
    double scaled = static_cast<double>(value.count()) * factor;
    double limit = static_cast<double>(max_allowed.count());
    return duration(std::llround(std::clamp(scaled, 0.0, limit)));
}

std::string in_ms(duration value)
{
    auto count = std::chrono::floor<std::chrono::milliseconds>(value).count();
    return std::to_string(count) + " ms";
}

} // namespace

run_ref progress_monitor::unit_run(const progress_report& report)
{
    run_ref run = *report.run_;
    if (report.spec_->is_gang_)
        run.task_.index_ = 0;
    return run;
}

std::vector<worker_name>
progress_monitor::workers_of(const report_list& reports)
{
    std::set<worker_name> names;
    for (const progress_report* item : reports)
        names.insert(item->worker_->name_);
    return {names.begin(), names.end()};
}

double progress_monitor::slowdown_of(const report_list& reports,
                                     const performance_estimates& estimates)
{
    const step_spec& spec = *reports.front()->spec_;
    const rack_name& first = reports.front()->worker_->rack_;
    bool is_remote = false;
    double speed = 0;
    for (const progress_report* item : reports) {
        const worker_info& worker = *item->worker_;
        double own = estimates.speed_of(worker.name_);
        speed = speed > 0 ? std::min(speed, own) : own;
        is_remote =
            is_remote || worker.rack_ != first ||
            (!spec.data_rack_.empty() && worker.rack_.str() != spec.data_rack_);
    }
    return (is_remote ? remote_factor : 1.0) / (speed > 0 ? speed : 1.0);
}

stall_findings
progress_monitor::judge(const std::vector<progress_report>& reports,
                        const performance_estimates& estimates, instant now)
{
    stall_findings findings;
    observe(reports, estimates, now, findings);
    if (now - cleaned_at_ >= clean_interval) {
        cleaned_at_ = now;
        evidence_.forget_old(now);
        paces_.forget_old(now);
    }
    std::vector<candidate> candidates;
    for (const auto& [run, item] : units_) {
        if (!item.is_stopping_ && !item.current_.empty() &&
            item.pace_->standing() >= shortest_)
            candidates.push_back(make_candidate(run, item, estimates));
    }
    // The order of a hash table differs between builds.
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right) {
                  return left.run_ < right.run_;
              });
    if (candidates.empty())
        return findings;
    worker_view view = make_view(candidates, estimates);
    for (candidate& item : candidates) {
        duration allowed = allowed_time(item, view);
        if (item.unit_->pace_->standing() > allowed)
            report_stall(item, allowed, view, now, findings);
    }
    return findings;
}

progress_monitor::worker_view
progress_monitor::make_view(const std::vector<candidate>& candidates,
                            const performance_estimates& estimates) const
{
    worker_view view;
    for (const candidate& item : candidates) {
        // A gang may stand because of any of its workers.
        const report_list& members = item.unit_->members_;
        if (item.overdue_ >= narrow_factor && members.size() == 1)
            view.standing_[members.front()->worker_->name_].push_back(&item);
    }
    for (const auto& entry : units_) {
        const unit& item = entry.second;
        if (!item.pace_ || !item.pace_->has_risen())
            continue;
        auto own = item.pace_->slowest_percent();
        duration due = own ? *own : expected_percent(item, estimates);
        if (due > max_shown_pace || item.pace_->standing() > 2 * due)
            continue;
        for (const progress_report* report : item.current_)
            view.progressing_.insert(report->worker_->name_);
    }
    return view;
}

void progress_monitor::observe(const std::vector<progress_report>& reports,
                               const performance_estimates& estimates,
                               instant now, stall_findings& findings)
{
    for (auto& entry : units_) {
        entry.second.current_.clear();
        entry.second.members_.clear();
        entry.second.is_stopping_ = false;
    }
    // In the order of the reports, which does not depend on the hash table.
    std::vector<std::pair<const run_ref, unit>*> present;
    for (const progress_report& report : reports) {
        if (report.spec_->is_long_running_)
            continue;
        auto& entry = *units_.try_emplace(unit_run(report)).first;
        unit& item = entry.second;
        if (item.members_.empty())
            present.push_back(&entry);
        item.members_.push_back(&report);
        item.is_stopping_ = item.is_stopping_ || report.is_stopping_;
        if (report.is_current_)
            item.current_.push_back(&report);
    }
    std::erase_if(units_, [](const auto& entry) {
        return entry.second.members_.empty();
    });
    for (auto* entry : present)
        observe_unit(entry->first, entry->second, estimates, now, findings);
}

void progress_monitor::observe_unit(const run_ref& run, unit& item,
                                    const performance_estimates& estimates,
                                    instant now, stall_findings& findings)
{
    bool has_risen = false;
    for (const progress_report* report : item.current_) {
        if (!item.pace_) {
            item.pace_.emplace(report->percent_, report->reported_at_);
            item.first_listed_at_ = report->reported_at_;
        }
        has_risen |=
            item.pace_->observe(report->percent_, report->reported_at_);
    }
    if (has_risen)
        note_rise(run, item, estimates, now, findings);
}

void progress_monitor::note_rise(const run_ref& run, unit& item,
                                 const performance_estimates& estimates,
                                 instant now, stall_findings& findings)
{
    instant at = item.pace_->rise_at();
    for (const progress_report* report : item.current_)
        evidence_.note_progress(report->worker_->name_, at);
    if (evidence_.stops_of(run.task_) > 0) {
        auto suspicion = evidence_.note_first_progress(
            run, workers_of(item.members_), at - item.first_listed_at_, now);
        if (suspicion)
            findings.suspicions_.push_back(std::move(*suspicion));
    }
    std::optional<duration> pace = item.pace_->mean_percent();
    if (!pace || item.members_.front()->spec_->is_gang_)
        return;
    double slowdown = slowdown_of(item.members_, estimates);
    paces_.set(run, item.members_.front()->worker_->name_,
               scale(*pace, 1 / slowdown), now);
}

duration
progress_monitor::expected_percent(const unit& item,
                                   const performance_estimates& estimates)
{
    const progress_report& first = *item.members_.front();
    return scale(estimates.run_time_of(*first.job_, *first.spec_),
                 slowdown_of(item.members_, estimates) / 100);
}

progress_monitor::candidate
progress_monitor::make_candidate(const run_ref& run, const unit& item,
                                 const performance_estimates& estimates) const
{
    candidate result;
    result.run_ = run;
    result.unit_ = &item;
    const progress_report& first = *item.members_.front();
    if (auto own = item.pace_->slowest_percent()) {
        result.due_ = *own;
        result.has_own_pace_ = true;
        result.basis_ = "its own progress";
    } else {
        double slowdown = slowdown_of(item.members_, estimates);
        if (auto typical = paces_.elsewhere(run.task_, first.worker_->name_)) {
            result.due_ = scale(*typical, slowdown);
            result.has_siblings_ = true;
            result.basis_ = "other runs of the step";
        } else {
            result.due_ = expected_percent(item, estimates);
            result.basis_ =
                "a run time of " +
                in_ms(estimates.run_time_of(*first.job_, *first.spec_));
        }
        if (slowdown != 1)
            result.basis_ += ", on workers that take " +
                             std::to_string(std::lround(slowdown * 100)) +
                             " % of the time";
    }
    result.due_ = std::max(result.due_, duration(1));
    result.overdue_ = static_cast<double>(item.pace_->standing().count()) /
                      static_cast<double>(result.due_.count());
    return result;
}

// A worker that has stopped working made its last progress about when the run
// did, so only what has come well after that counts.
bool progress_monitor::is_in_favor(const candidate& item,
                                   const worker_name& worker,
                                   const worker_view& view) const
{
    const run_pace& pace = *item.unit_->pace_;
    return view.progressing_.contains(worker) ||
           evidence_.has_progressed_since(worker,
                                          pace.rise_at() + pace.standing() / 2);
}

std::string progress_monitor::find_evidence(const candidate& item,
                                            const worker_name& worker,
                                            const worker_view& view) const
{
    if (is_in_favor(item, worker, view))
        return {};
    auto found = view.standing_.find(worker);
    bool stands = found != view.standing_.end() &&
                  std::any_of(found->second.begin(), found->second.end(),
                              [&item](const candidate* other) {
                                  // A job may stand by its own fault.
                                  bool is_same_job = other->run_.task_.job_ ==
                                                     item.run_.task_.job_;
                                  return other != &item &&
                                         (item.has_siblings_ || !is_same_job);
                              });
    if (stands)
        return "other runs stand there too";
    if (evidence_.has_stalled(worker, item.run_.task_, item.has_siblings_))
        return "other runs have stalled there";
    return {};
}

bool progress_monitor::is_supported(const candidate& item,
                                    const worker_name& worker,
                                    const worker_view& view) const
{
    if (item.has_siblings_ ||
        evidence_.has_stalled(worker, item.run_.task_, false))
        return true;
    auto found = view.standing_.find(worker);
    return found != view.standing_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&item](const candidate* other) {
                           return other != &item && other->has_siblings_;
                       });
}

duration progress_monitor::allowed_time(candidate& item,
                                        const worker_view& view) const
{
    bool is_suspect = false;
    bool is_in_favor_of_all = true;
    for (const progress_report* report : item.unit_->members_) {
        const worker_name& worker = report->worker_->name_;
        is_in_favor_of_all =
            is_in_favor_of_all && is_in_favor(item, worker, view);
        is_suspect =
            is_suspect || (!find_evidence(item, worker, view).empty() &&
                           is_supported(item, worker, view));
    }
    bool is_narrow = item.has_own_pace_ || is_suspect;
    duration allowed =
        scale(item.due_, is_narrow ? narrow_factor : wide_factor);
    if (is_in_favor_of_all) {
        allowed = scale(allowed, favor_factor);
        item.basis_ += "; other work there progresses";
    }
    const progress_report& first = *item.unit_->members_.front();
    int percent = item.unit_->pace_->percent();
    // A new start repeats what was done since the last checkpoint, so that
    // long a wait costs no more.
    if (!is_suspect && !first.has_checkpoint_)
        allowed = std::max(allowed, scale(item.due_, percent));
    allowed = std::max(allowed, shortest_);
    if (percent == 0 && first.spec_->is_gang_)
        allowed += gang_wait;
    int stops = evidence_.stops_of(item.run_.task_);
    if (is_suspect)
        item.basis_ += "; its worker is suspected";
    if (stops > 0)
        item.basis_ += "; stopped as stalled before: " + std::to_string(stops);
    return scale(allowed, std::exp2(std::min(stops, max_doublings)));
}

void progress_monitor::report_stall(const candidate& item, duration allowed,
                                    const worker_view& view, instant now,
                                    stall_findings& findings)
{
    const report_list& members = item.unit_->members_;
    stalled_unit result;
    result.standing_ = item.unit_->pace_->standing();
    result.allowed_ = allowed;
    result.basis_ =
        "a percent is due within " + in_ms(item.due_) + " by " + item.basis_;
    for (const progress_report* report : members)
        result.runs_.push_back(*report->run_);
    std::vector<worker_name> workers = workers_of(members);
    std::vector<worker_name> suspects;
    auto suspect = [&](const worker_name& worker, std::string evidence) {
        suspects.push_back(worker);
        findings.suspicions_.push_back(
            {worker, item.run_.task_.job_, std::move(evidence)});
    };
    for (const worker_name& worker : workers) {
        std::string evidence = find_evidence(item, worker, view);
        if (!evidence.empty())
            suspect(worker, std::move(evidence));
    }
    for (const progress_report* report : members) {
        if (suspects.empty() && !report->is_current_)
            suspect(report->worker_->name_, "its member of the gang is not "
                                            "listed");
    }
    if (suspects.empty() && workers.size() > 1) {
        const worker_name* common = evidence_.common_worker(workers);
        if (common != nullptr && !is_in_favor(item, *common, view))
            suspect(*common, "the only worker with a stalled gang before");
    }
    evidence_.note_stall(item.run_, workers, suspects, result.standing_, now);
    findings.stalled_.push_back(std::move(result));
}

} // namespace dandelioncrank::pool
