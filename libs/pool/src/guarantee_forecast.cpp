#include "guarantee_forecast.hpp"

#include "job_value.hpp"

#include <algorithm>
#include <cmath>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Arrivals of this time count. Bursts of urgent work last some ten seconds.
constexpr duration arrival_window = 15s;
// Memory of the forecast; beyond it, the earliest arrivals do not count.
constexpr std::size_t max_arrivals = 1024;
// The forecast holds back work for this long after a preemption. While it
// prevents preemptions it must outlast the pauses between bursts.
constexpr duration preemption_memory = 60s;
// Time that a run holds its resources beyond its run time: from the decision
// to its start, and from its end to the commit of the outcome.
constexpr duration occupation_overhead = 1s;

duration expected_path(const job_record& job,
                       const performance_estimates& estimates)
{
    std::vector<duration> ends;
    duration longest{};
    for (const step_spec& spec : job.spec_.steps_) {
        duration begin{};
        for (std::uint32_t earlier : spec.depends_on_)
            begin = std::max(begin, ends.at(earlier));
        ends.push_back(begin + estimates.run_time_of(job, spec));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace

// The arrivals of later occurrences are not seen, so that recurring jobs take
// no part.
void guarantee_forecast::note_accepted(const job_record& job,
                                       const pool_config& config,
                                       const performance_estimates& estimates,
                                       instant at)
{
    auto rule = config.teams_.find(job.team_);
    std::int64_t need = accelerators_of(job);
    if (rule == config.teams_.end() || job.policy().priority_ != 0 ||
        job.is_final() || job.occurrence_count() > 1 || need <= 0 ||
        need > rule->second.guaranteed_accelerators_)
        return;
    if (arrivals_.size() == max_arrivals)
        arrivals_.pop_front();
    arrivals_.push_back({at, job.team_, static_cast<double>(need),
                         expected_path(job, estimates) + occupation_overhead});
}

// For arrivals at random times, the mean of what is in use is the sum of
// accelerators times duration over the window, and its variance that of the
// squared accelerators.
guaranteed_demand guarantee_forecast::forecast(instant now)
{
    std::erase_if(arrivals_, [now](const arrival& item) {
        return now - item.at_ > arrival_window;
    });
    guaranteed_demand result;
    bool is_active = preempted_at_ && now - *preempted_at_ <= preemption_memory;
    if (arrivals_.empty() || !is_active)
        return result;
    for (const arrival& item : arrivals_) {
        double weight = to_seconds(item.held_) / to_seconds(arrival_window);
        guaranteed_demand::team_demand& team = result.teams_[item.team_];
        team.mean_ += item.accelerators_ * weight;
        team.variance_ += item.accelerators_ * item.accelerators_ * weight;
    }
    result.arrival_interval_ =
        arrival_window / static_cast<duration::rep>(arrivals_.size());
    return result;
}

// One standard deviation above the mean; the teams' variations are taken as
// independent.
std::int64_t expected_need(const guaranteed_demand& demand,
                           const guarantee_usage& usage)
{
    double need = 0;
    double variance = 0;
    std::int64_t limit = 0;
    for (const auto& [name, team] : demand.teams_) {
        auto found = usage.teams_.find(name);
        if (found == usage.teams_.end() || found->second.unused_ == 0)
            continue;
        limit += found->second.unused_;
        double rest = team.mean_ - static_cast<double>(found->second.used_);
        need +=
            std::clamp(rest, 0.0, static_cast<double>(found->second.unused_));
        variance += team.variance_;
    }
    return std::min(limit, static_cast<std::int64_t>(
                               std::llround(need + std::sqrt(variance))));
}

} // namespace dandelioncrank::pool
