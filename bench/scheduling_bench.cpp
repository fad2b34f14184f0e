// Scheduling quality on made traces, in virtual time: the real scheduler,
// fake workers, baselines from the same code.
#include "fake_pool.hpp"
#include "figures.hpp"

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <queue>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

struct traced_job
{
    job_spec spec_;
    duration run_time_{};
    double at_ = 0;
};

/// What a trace is made from.
struct trace_plan
{
    std::string name_;
    int racks_ = 8;
    int workers_per_rack_ = 6;
    double hours_ = 8;
    /// Offered work as a share of the accelerators.
    double load_ = 0.95;
    double mean_minutes_ = 10;
    int widest_ = 64;
    bool checkpoints_ = true;
    std::uint64_t seed_ = 1;
    /// Of each worker.
    int accelerators_ = 8;
    duration heartbeat_ = 5s;
};

int accelerators_of(const trace_plan& plan)
{
    return plan.racks_ * plan.workers_per_rack_ * plan.accelerators_;
}

/// Gangs of 1 to 64 accelerators, mostly small; run times with a heavy tail
/// (log-normal); declared times wrong by up to ten either way; arrivals that
/// swing by a factor of five within seconds.
std::vector<traced_job> make_trace(const trace_plan& plan)
{
    std::mt19937_64 random(plan.seed_);
    std::lognormal_distribution<double> run(0, 1.6);
    double run_mean = std::exp(1.6 * 1.6 / 2);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<int> widths = {1, 1, 1, 1, 2, 2, 4, 4, 8, 8, 16, 32, 64};
    std::vector<traced_job> jobs;
    double area = 0;
    double wanted = plan.load_ * accelerators_of(plan) * plan.hours_ * 3600;
    while (area < wanted) {
        traced_job job;
        int width = std::min(plan.widest_, widths[random() % widths.size()]);
        double seconds =
            std::max(2.0, run(random) / run_mean * plan.mean_minutes_ * 60);
        // Wide work with a very long tail would be the whole trace.
        seconds = std::min(seconds, plan.hours_ * 3600 / 2);
        job.run_time_ = duration(static_cast<duration::rep>(seconds * 1e6));
        double wrong = std::pow(10, unit(random) * 2 - 1);
        job.spec_.id_ = job_id("j" + std::to_string(jobs.size()));
        job.spec_.team_ = team_name(std::string(1, "abcd"[random() % 4]));
        job.spec_.tasks_ = width;
        job.spec_.accelerators_ = 1;
        int rack = plan.workers_per_rack_ * plan.accelerators_;
        job.spec_.within_ = width <= plan.accelerators_ ? adjacency::worker
                            : width <= rack * 2 / 3     ? adjacency::rack
                                                        : adjacency::any;
        job.spec_.checkpoints_ = plan.checkpoints_ && random() % 10 != 0;
        job.spec_.declared_run_time_ =
            duration(static_cast<duration::rep>(seconds * wrong * 1e6));
        area += width * seconds;
        jobs.push_back(job);
    }
    // Bursts: a third of the jobs arrive in twenty bursts of ten seconds.
    std::vector<double> bursts;
    for (int i = 0; i < 20; ++i)
        bursts.push_back(unit(random) * plan.hours_ * 3600);
    for (traced_job& job : jobs) {
        bool in_burst = unit(random) < 0.33;
        job.at_ = in_burst
                      ? bursts[random() % bursts.size()] + unit(random) * 10
                      : unit(random) * plan.hours_ * 3600;
    }
    std::sort(
        jobs.begin(), jobs.end(),
        [](const traced_job& a, const traced_job& b) { return a.at_ < b.at_; });
    return jobs;
}

configuration make_rules(const trace_plan& plan)
{
    configuration rules;
    zone_rule zone{zone_name("z"), "r", plan.racks_, plan.workers_per_rack_, 8};
    rules.zones_.emplace(zone.name_, zone);
    for (const char* name : {"a", "b", "c", "d"}) {
        team_rule team;
        team.name_ = team_name(name);
        team.queued_jobs_ = 100000;
        team.jobs_per_minute_ = 1000000;
        team.guarantees_.push_back(
            {zone.name_, std::max(1, plan.racks_ / 8),
             plan.workers_per_rack_ * plan.accelerators_ * 2 / 3,
             adjacency::rack});
        rules.teams_.emplace(team.name_, team);
    }
    return rules;
}

struct result
{
    std::vector<double> jct_;
    std::vector<double> short_waits_;
    std::vector<double> long_waits_;
    /// Stretches in which a gang waited though enough was free.
    int blocked_ = 0;
    int blocked_too_long_ = 0;
    double usable_by_8_ = 0;
    double usable_by_64_ = 0;
};

/// Looks at the pool every few seconds of virtual time.
class fragmentation_probe
{
  public:
    fragmentation_probe(fake_pool& pool, result& out) : pool_(pool), out_(out)
    {
    }

    void look()
    {
        instant now = pool_.now();
        if (now < next_)
            return;
        next_ = now + 5s;
        look_at_waiting(now);
        look_at_free();
    }

    void finish()
    {
        if (samples_ > 0) {
            out_.usable_by_8_ /= samples_;
            out_.usable_by_64_ /= samples_;
        }
    }

  private:
    void look_at_waiting(instant now)
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
            since_.try_emplace(id, now);
        for (auto it = since_.begin(); it != since_.end();) {
            if (blocked.contains(it->first)) {
                ++it;
                continue;
            }
            // The look itself may be five seconds late.
            ++out_.blocked_;
            out_.blocked_too_long_ += now - it->second > 65s;
            it = since_.erase(it);
        }
    }

    void look_at_free()
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
        out_.usable_by_8_ += by_8 / free;
        out_.usable_by_64_ += pool.usable_free() / 64 * 64 / free;
        ++samples_;
    }

    fake_pool& pool_;
    result& out_;
    instant next_{};
    std::map<job_id, instant> since_;
    int samples_ = 0;
};

result run_trace(const trace_plan& plan, const std::vector<traced_job>& jobs,
                 const scheduler_options& scheduling)
{
    pool_options options;
    options.racks_ = plan.racks_;
    options.workers_per_rack_ = plan.workers_per_rack_;
    options.check_every_event_ = false;
    options.accelerators_ = plan.accelerators_;
    options.heartbeat_ = plan.heartbeat_;
    options.lease_ = plan.heartbeat_ * 4;
    options.tick_ = 500ms;
    scheduler_options own = scheduling;
    own.zone_ = zone_name("z");
    own.wait_for_reports_ = false;
    fake_pool pool(options, own, make_rules(plan));
    result out;
    fragmentation_probe probe(pool, out);
    pool.on_event_ = [&probe] { probe.look(); };
    instant begin = pool.now() + 20s;
    for (const traced_job& job : jobs)
        pool.submit(job.spec_, job.run_time_,
                    begin +
                        duration(static_cast<duration::rep>(job.at_ * 1e6)));
    pool.run_to_end(begin + 2000h);
    probe.finish();
    for (const traced_job& job : jobs) {
        const auto& truth = pool.observed_jobs().at(job.spec_.id_);
        std::chrono::duration<double> jct = *truth.ended_ - truth.arrived_;
        std::chrono::duration<double> wait =
            truth.started_ ? *truth.started_ - truth.arrived_ : 0s;
        out.jct_.push_back(jct.count());
        bool is_short = job.run_time_ <= 60s && job.spec_.tasks_ <= 8;
        (is_short ? out.short_waits_ : out.long_waits_).push_back(wait.count());
    }
    return out;
}

/// Shortest remaining time first with known run times, no adjacency, no
/// fragmentation, no cost of preemption.
std::vector<double> clairvoyant(const trace_plan& plan,
                                const std::vector<traced_job>& jobs)
{
    struct item
    {
        double left_;
        int width_;
        std::size_t index_;
    };
    std::vector<item> open;
    std::vector<double> jct(jobs.size(), 0);
    std::size_t next = 0;
    double now = 0;
    while (next < jobs.size() || !open.empty()) {
        std::sort(open.begin(), open.end(), [](const item& a, const item& b) {
            return a.left_ * a.width_ < b.left_ * b.width_;
        });
        int free = accelerators_of(plan);
        double step = next < jobs.size() ? jobs[next].at_ - now : 1e18;
        std::vector<item*> running;
        for (item& job : open) {
            if (job.width_ > free)
                continue;
            free -= job.width_;
            running.push_back(&job);
            step = std::min(step, job.left_);
        }
        for (item* job : running)
            job->left_ -= step;
        now += step;
        std::erase_if(open, [&](const item& job) {
            if (job.left_ > 1e-9)
                return false;
            jct[job.index_] = now - jobs[job.index_].at_;
            return true;
        });
        while (next < jobs.size() && jobs[next].at_ <= now + 1e-9) {
            std::chrono::duration<double> run = jobs[next].run_time_;
            open.push_back({run.count(), jobs[next].spec_.tasks_, next});
            ++next;
        }
    }
    return jct;
}

void print_case(const trace_plan& plan, const std::string& policy,
                const result& own, const result& base,
                const std::vector<double>& bound)
{
    double mean_ratio = mean(own.jct_) / mean(base.jct_);
    double bound_ratio = mean(own.jct_) / mean(bound);
    double p99_ratio = percentile(own.jct_, 0.99) / percentile(base.jct_, 0.99);
    double short_ratio = percentile(own.short_waits_, 0.99) /
                         std::max(0.001, percentile(base.short_waits_, 0.99));
    double placed =
        own.blocked_ == 0
            ? 1.0
            : 1.0 - static_cast<double>(own.blocked_too_long_) / own.blocked_;
    json_line("trace")
        .add("trace", plan.name_)
        .add("policy", policy)
        .add("jobs", static_cast<double>(own.jct_.size()))
        .add("mean_s", mean(own.jct_))
        .add("to_fifo", mean_ratio)
        .add("to_bound", bound_ratio)
        .add("p99_to_fifo", p99_ratio)
        .add("short_p99_wait_s", percentile(own.short_waits_, 0.99))
        .add("short_to_fifo", short_ratio)
        .add("blocked", own.blocked_)
        .add("placed_in_60s", placed)
        .add("free_usable_by_8", own.usable_by_8_)
        .add("free_usable_by_64", own.usable_by_64_)
        .met(mean_ratio <= 0.6 && bound_ratio <= 1.25 && p99_ratio <= 1.0 &&
             short_ratio <= 0.2 && placed >= 0.95)
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

void bench_trace(const trace_plan& plan)
{
    auto jobs = make_trace(plan);
    auto bound = clairvoyant(plan, jobs);
    auto fifo =
        run_trace(plan, jobs,
                  policy_options(order_policy::first_in_first_out,
                                 placement_policy::first_fit, false, false));
    print_case(plan, "fifo first fit", fifo, fifo, bound);
    auto backfill =
        run_trace(plan, jobs,
                  policy_options(order_policy::first_in_first_out,
                                 placement_policy::first_fit, false, true));
    print_case(plan, "fifo with backfill", backfill, fifo, bound);
    auto declared =
        run_trace(plan, jobs,
                  policy_options(order_policy::shortest_declared,
                                 placement_policy::best_fit, true, true));
    print_case(plan, "shortest declared", declared, fifo, bound);
    auto attained =
        run_trace(plan, jobs,
                  policy_options(order_policy::attained_service,
                                 placement_policy::best_fit, true, true));
    print_case(plan, "attained service", attained, fifo, bound);
}

} // namespace

int main(int argc, char** argv)
{
    bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    trace_plan arreola{"arreola zone pool", 8, 6, 8, 0.95, 10, 64, true, 1};
    trace_plan sineira{"sineira surge", 8, 6, 8, 1.1, 20, 64, true, 2};
    trace_plan rigid{"without checkpoints", 8, 6, 8, 0.9, 10, 32, false, 3};
    // One of 16 zones of letter 1: 1,376 workers, 2,752 accelerators, jobs
    // that run for hours.
    trace_plan zone{
        "zone of the design size", 172, 8, 24, 0.9, 150, 64, true, 4, 2, 60s};
    if (quick)
        arreola.hours_ = 1;
    // A number names one trace, so that several can run side by side.
    int only = argc > 1 && !quick ? std::atoi(argv[1]) : 0;
    if (only == 0 || only == 1)
        bench_trace(arreola);
    if (!quick && (only == 0 || only == 2))
        bench_trace(sineira);
    if (!quick && (only == 0 || only == 3))
        bench_trace(rigid);
    if (!quick && (only == 0 || only == 4))
        bench_trace(zone);
    return 0;
}
