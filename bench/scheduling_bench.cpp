// Scheduling quality on synthetic traces in virtual time: the production
// scheduler with simulated workers. Baselines are other policies of the same
// scheduler.
#include "benchmark_report.hpp"
#include "fake_pool.hpp"

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <queue>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

struct trace_job
{
    job_spec spec_;
    duration run_time_{};
    double arrival_s_ = 0;
};

struct trace_parameters
{
    std::string name_;
    int racks_ = 8;
    int workers_per_rack_ = 6;
    double hours_ = 8;
    /// Offered load as a fraction of the accelerator capacity.
    double offered_load_ = 0.95;
    double mean_run_minutes_ = 10;
    int max_width_ = 64;
    bool checkpoints_ = true;
    std::uint64_t seed_ = 1;
    /// Per worker.
    int accelerators_ = 8;
    duration heartbeat_ = 5s;
};

int accelerators_of(const trace_parameters& parameters)
{
    return parameters.racks_ * parameters.workers_per_rack_ *
           parameters.accelerators_;
}

/// Gangs of 1 to 64 accelerators, mostly small; log-normal run times;
/// declared run times off by a factor of up to ten in either direction; bursts
/// that change the arrival rate by a factor of five within seconds.
std::vector<trace_job> make_trace(const trace_parameters& parameters)
{
    std::mt19937_64 random(parameters.seed_);
    std::lognormal_distribution<double> run_time_factor(0, 1.6);
    double mean_run_time_factor = std::exp(1.6 * 1.6 / 2);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<int> widths = {1, 1, 1, 1, 2, 2, 4, 4, 8, 8, 16, 32, 64};
    std::vector<trace_job> jobs;
    double generated_work = 0;
    double target_work = parameters.offered_load_ *
                         accelerators_of(parameters) * parameters.hours_ * 3600;
    while (generated_work < target_work) {
        trace_job job;
        int width =
            std::min(parameters.max_width_, widths[random() % widths.size()]);
        double seconds =
            std::max(2.0, run_time_factor(random) / mean_run_time_factor *
                              parameters.mean_run_minutes_ * 60);
        // A single wide job from the tail could otherwise fill the trace.
        seconds = std::min(seconds, parameters.hours_ * 3600 / 2);
        job.run_time_ = duration(static_cast<duration::rep>(seconds * 1e6));
        double estimate_error = std::pow(10, uniform(random) * 2 - 1);
        job.spec_.id_ = job_id("j" + std::to_string(jobs.size()));
        job.spec_.team_ = team_name(std::string(1, "abcd"[random() % 4]));
        job.spec_.tasks_ = width;
        job.spec_.accelerators_ = 1;
        int rack = parameters.workers_per_rack_ * parameters.accelerators_;
        job.spec_.within_ = width <= parameters.accelerators_
                                ? adjacency::worker
                            : width <= rack * 2 / 3 ? adjacency::rack
                                                    : adjacency::any;
        job.spec_.checkpoints_ = parameters.checkpoints_ && random() % 10 != 0;
        job.spec_.declared_run_time_ = duration(
            static_cast<duration::rep>(seconds * estimate_error * 1e6));
        generated_work += width * seconds;
        jobs.push_back(job);
    }
    // A third of the jobs arrive in 20 bursts of 10 s each.
    std::vector<double> bursts;
    for (int i = 0; i < 20; ++i)
        bursts.push_back(uniform(random) * parameters.hours_ * 3600);
    for (trace_job& job : jobs) {
        bool in_burst = uniform(random) < 0.33;
        job.arrival_s_ =
            in_burst ? bursts[random() % bursts.size()] + uniform(random) * 10
                     : uniform(random) * parameters.hours_ * 3600;
    }
    std::sort(jobs.begin(), jobs.end(),
              [](const trace_job& a, const trace_job& b) {
                  return a.arrival_s_ < b.arrival_s_;
              });
    return jobs;
}

configuration make_configuration(const trace_parameters& parameters)
{
    configuration config;
    zone_rule zone{zone_name("z"), "r", parameters.racks_,
                   parameters.workers_per_rack_, 8};
    config.zones_.emplace(zone.name_, zone);
    for (const char* name : {"a", "b", "c", "d"}) {
        team_rule team;
        team.name_ = team_name(name);
        team.queued_jobs_ = 100000;
        team.jobs_per_minute_ = 1000000;
        team.guarantees_.push_back(
            {zone.name_, std::max(1, parameters.racks_ / 8),
             parameters.workers_per_rack_ * parameters.accelerators_ * 2 / 3,
             adjacency::rack});
        config.teams_.emplace(team.name_, team);
    }
    return config;
}

struct trace_result
{
    std::vector<double> completion_times_s_;
    std::vector<double> short_waits_s_;
    std::vector<double> other_waits_s_;
    /// Periods in which a gang was queued although enough accelerators were
    /// free, and those that exceeded the limit of 60 s.
    int blocked_gangs_ = 0;
    int blocked_over_limit_ = 0;
    double usable_by_8_ = 0;
    double usable_by_64_ = 0;
};

/// Samples the pool every 5 s of virtual time.
class fragmentation_probe
{
  public:
    fragmentation_probe(fake_pool& pool, trace_result& result)
        : pool_(pool), result_(result)
    {
    }

    void sample()
    {
        instant now = pool_.now();
        if (now < next_sample_)
            return;
        next_sample_ = now + 5s;
        sample_blocked_gangs(now);
        sample_free_capacity();
    }

    void finish()
    {
        if (samples_ > 0) {
            result_.usable_by_8_ /= samples_;
            result_.usable_by_64_ /= samples_;
        }
    }

  private:
    void sample_blocked_gangs(instant now)
    {
        zone_scheduler& scheduler = pool_.scheduler();
        int free = scheduler.pool().usable_free();
        std::set<job_id> blocked;
        for (const job_view& view : scheduler.jobs(now)) {
            bool waits = view.record_.state_ == job_state::queued &&
                         view.record_.spec_.tasks_ > 1 &&
                         view.record_.spec_.total_accelerators() <= free;
            if (waits)
                blocked.insert(view.record_.spec_.id_);
        }
        for (const job_id& id : blocked)
            blocked_since_.try_emplace(id, now);
        for (auto it = blocked_since_.begin(); it != blocked_since_.end();) {
            if (blocked.contains(it->first)) {
                ++it;
                continue;
            }
            // The limit of 60 s plus the sampling interval of 5 s.
            ++result_.blocked_gangs_;
            result_.blocked_over_limit_ += now - it->second > 65s;
            it = blocked_since_.erase(it);
        }
    }

    void sample_free_capacity()
    {
        const worker_pool& pool = pool_.scheduler().pool();
        if (pool.usable_free() == 0)
            return;
        double by_8 = 0;
        for (worker_index i = 0; i < pool.size(); ++i) {
            int free = pool.at(i).usable() ? std::max(0, pool.at(i).free()) : 0;
            by_8 += free / 8 * 8;
        }
        double free = pool.usable_free();
        result_.usable_by_8_ += by_8 / free;
        result_.usable_by_64_ += pool.usable_free() / 64 * 64 / free;
        ++samples_;
    }

    fake_pool& pool_;
    trace_result& result_;
    instant next_sample_{};
    std::map<job_id, instant> blocked_since_;
    int samples_ = 0;
};

trace_result run_trace(const trace_parameters& parameters,
                       const std::vector<trace_job>& jobs,
                       const scheduler_options& policy)
{
    pool_options options;
    options.racks_ = parameters.racks_;
    options.workers_per_rack_ = parameters.workers_per_rack_;
    options.check_every_event_ = false;
    options.accelerators_ = parameters.accelerators_;
    options.heartbeat_ = parameters.heartbeat_;
    options.lease_ = parameters.heartbeat_ * 4;
    options.tick_ = 500ms;
    scheduler_options scheduling_options = policy;
    scheduling_options.zone_ = zone_name("z");
    scheduling_options.wait_for_reports_ = false;
    fake_pool pool(options, scheduling_options, make_configuration(parameters));
    trace_result result;
    fragmentation_probe probe(pool, result);
    pool.on_event_ = [&probe] { probe.sample(); };
    instant begin = pool.now() + 20s;
    for (const trace_job& job : jobs)
        pool.submit(
            job.spec_, job.run_time_,
            begin + duration(static_cast<duration::rep>(job.arrival_s_ * 1e6)));
    pool.run_to_end(begin + 2000h);
    probe.finish();
    for (const trace_job& job : jobs) {
        const auto& observed = pool.observed_jobs().at(job.spec_.id_);
        std::chrono::duration<double> completion_time =
            *observed.ended_ - observed.arrived_;
        std::chrono::duration<double> wait =
            observed.started_ ? *observed.started_ - observed.arrived_ : 0s;
        result.completion_times_s_.push_back(completion_time.count());
        bool is_short = job.run_time_ <= 60s && job.spec_.tasks_ <= 8;
        (is_short ? result.short_waits_s_ : result.other_waits_s_)
            .push_back(wait.count());
    }
    return result;
}

/// Lower bound for completion times: least remaining work first with known run
/// times, ignoring adjacency, fragmentation and the cost of preemption.
std::vector<double> clairvoyant(const trace_parameters& parameters,
                                const std::vector<trace_job>& jobs)
{
    struct active_job
    {
        double remaining_s_;
        int width_;
        std::size_t index_;
    };
    std::vector<active_job> active;
    std::vector<double> completion_times(jobs.size(), 0);
    std::size_t next = 0;
    double now_s = 0;
    while (next < jobs.size() || !active.empty()) {
        std::sort(active.begin(), active.end(),
                  [](const active_job& a, const active_job& b) {
                      return a.remaining_s_ * a.width_ <
                             b.remaining_s_ * b.width_;
                  });
        int free = accelerators_of(parameters);
        double step_s =
            next < jobs.size() ? jobs[next].arrival_s_ - now_s : 1e18;
        std::vector<active_job*> running;
        for (active_job& job : active) {
            if (job.width_ > free)
                continue;
            free -= job.width_;
            running.push_back(&job);
            step_s = std::min(step_s, job.remaining_s_);
        }
        for (active_job* job : running)
            job->remaining_s_ -= step_s;
        now_s += step_s;
        std::erase_if(active, [&](const active_job& job) {
            if (job.remaining_s_ > 1e-9)
                return false;
            completion_times[job.index_] = now_s - jobs[job.index_].arrival_s_;
            return true;
        });
        while (next < jobs.size() && jobs[next].arrival_s_ <= now_s + 1e-9) {
            std::chrono::duration<double> run = jobs[next].run_time_;
            active.push_back({run.count(), jobs[next].spec_.tasks_, next});
            ++next;
        }
    }
    return completion_times;
}

void print_case(const trace_parameters& parameters, const std::string& policy,
                const trace_result& measured, const trace_result& baseline,
                const std::vector<double>& bound)
{
    double mean_ratio =
        mean(measured.completion_times_s_) / mean(baseline.completion_times_s_);
    double bound_ratio = mean(measured.completion_times_s_) / mean(bound);
    double p99_ratio = percentile(measured.completion_times_s_, 0.99) /
                       percentile(baseline.completion_times_s_, 0.99);
    double short_ratio =
        percentile(measured.short_waits_s_, 0.99) /
        std::max(0.001, percentile(baseline.short_waits_s_, 0.99));
    double placed =
        measured.blocked_gangs_ == 0
            ? 1.0
            : 1.0 - static_cast<double>(measured.blocked_over_limit_) /
                        measured.blocked_gangs_;
    json_result("trace")
        .add("trace", parameters.name_)
        .add("policy", policy)
        .add("jobs", static_cast<double>(measured.completion_times_s_.size()))
        .add("mean_s", mean(measured.completion_times_s_))
        .add("to_fifo", mean_ratio)
        .add("to_bound", bound_ratio)
        .add("p99_to_fifo", p99_ratio)
        .add("short_p99_wait_s", percentile(measured.short_waits_s_, 0.99))
        .add("short_to_fifo", short_ratio)
        .add("blocked", measured.blocked_gangs_)
        .add("placed_in_60s", placed)
        .add("free_usable_by_8", measured.usable_by_8_)
        .add("free_usable_by_64", measured.usable_by_64_)
        .target_met(mean_ratio <= 0.6 && bound_ratio <= 1.25 &&
                    p99_ratio <= 1.0 && short_ratio <= 0.2 && placed >= 0.95)
        .print();
}

scheduler_options policy_options(order_policy order, placement_policy placement,
                                 bool preempt, bool backfill)
{
    scheduler_options options;
    options.order_ = order;
    options.placement_ = placement;
    options.preempt_ = preempt;
    options.backfill_ = backfill;
    return options;
}

void bench_trace(const trace_parameters& parameters)
{
    auto jobs = make_trace(parameters);
    auto bound = clairvoyant(parameters, jobs);
    auto fifo =
        run_trace(parameters, jobs,
                  policy_options(order_policy::first_in_first_out,
                                 placement_policy::first_fit, false, false));
    print_case(parameters, "fifo first fit", fifo, fifo, bound);
    auto backfill =
        run_trace(parameters, jobs,
                  policy_options(order_policy::first_in_first_out,
                                 placement_policy::first_fit, false, true));
    print_case(parameters, "fifo with backfill", backfill, fifo, bound);
    auto declared =
        run_trace(parameters, jobs,
                  policy_options(order_policy::shortest_declared,
                                 placement_policy::best_fit, true, true));
    print_case(parameters, "shortest declared", declared, fifo, bound);
    auto attained =
        run_trace(parameters, jobs,
                  policy_options(order_policy::attained_service,
                                 placement_policy::best_fit, true, true));
    print_case(parameters, "attained service", attained, fifo, bound);
}

} // namespace

int main(int argc, char** argv)
{
    bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    trace_parameters standard{
        "arreola zone pool", 8, 6, 8, 0.95, 10, 64, true, 1};
    trace_parameters overload{"sineira surge", 8, 6, 8, 1.1, 20, 64, true, 2};
    trace_parameters without_checkpoints{
        "without checkpoints", 8, 6, 8, 0.9, 10, 32, false, 3};
    // One of 16 zones at the design size: 1,376 workers, 2,752 accelerators,
    // jobs that run for hours.
    trace_parameters design_size{
        "zone of the design size", 172, 8, 24, 0.9, 150, 64, true, 4, 2, 60s};
    if (quick)
        standard.hours_ = 1;
    // A number selects a single trace, so that traces can run in parallel.
    int selected_trace = argc > 1 && !quick ? std::atoi(argv[1]) : 0;
    if (selected_trace == 0 || selected_trace == 1)
        bench_trace(standard);
    if (!quick && (selected_trace == 0 || selected_trace == 2))
        bench_trace(overload);
    if (!quick && (selected_trace == 0 || selected_trace == 3))
        bench_trace(without_checkpoints);
    if (!quick && (selected_trace == 0 || selected_trace == 4))
        bench_trace(design_size);
    return 0;
}
