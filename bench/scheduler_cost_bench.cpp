// Time per event and memory of the zone scheduler at several sizes, and the
// start of urgent work in a full pool.
#include "fake_pool.hpp"
#include "figures.hpp"

#include <chrono>
#include <map>
#include <random>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

using wall_clock = std::chrono::steady_clock;

constexpr int workers_per_rack = 8;

configuration make_rules(int workers)
{
    configuration rules;
    zone_rule zone{zone_name("z"), "r", workers / workers_per_rack + 1,
                   workers_per_rack, 8};
    rules.zones_.emplace(zone.name_, zone);
    // 140 teams at the design size of 22,000 workers over 16 zones.
    for (int i = 0; i < 140; ++i) {
        team_rule team;
        team.name_ = team_name("t" + std::to_string(i));
        team.queued_jobs_ = 100000;
        team.jobs_per_minute_ = 1000000;
        bool guaranteed = i < workers / 20;
        if (guaranteed)
            team.guarantees_.push_back({zone.name_, 1, 8, adjacency::worker});
        rules.teams_.emplace(team.name_, team);
    }
    return rules;
}

/// Workers that do at once what they are told, without any network.
class instant_workers
{
  public:
    explicit instant_workers(int workers)
    {
        scheduler_options options;
        options.zone_ = zone_name("z");
        options.wait_for_reports_ = false;
        scheduler_ = std::make_unique<zone_scheduler>(options);
        scheduler_->configure(make_rules(workers), now_);
        for (int i = 0; i < workers; ++i) {
            worker_report report;
            report.info_ = {
                worker_name("w" + std::to_string(i)),
                rack_name("r" + std::to_string(i / workers_per_rack)), 8, 256,
                1 << 20};
            report.incarnation_ = "1";
            reports_.push_back(report);
            index_[report.info_.name_] = static_cast<std::size_t>(i);
        }
    }

    /// Time of one event in microseconds, kept under its kind.
    void feed(const std::string& kind, const scheduling_event& event)
    {
        auto begin = wall_clock::now();
        auto actions = scheduler_->handle(event, now_);
        std::chrono::duration<double, std::micro> took =
            wall_clock::now() - begin;
        times_[kind].push_back(took.count());
        for (const auto& action : actions) {
            if (const auto* item = std::get_if<command_issued>(&action))
                nudged_.insert(index_.at(item->worker_));
            if (const auto* item = std::get_if<job_changed>(&action))
                states_[item->record_.spec_.id_] = item->record_.state_;
        }
    }

    void report_all()
    {
        for (std::size_t i = 0; i < reports_.size(); ++i)
            feed("report", worker_reported{reports_[i]});
    }

    /// Carries out commands until nobody has any.
    void settle()
    {
        while (!nudged_.empty()) {
            std::set<std::size_t> now = std::exchange(nudged_, {});
            for (std::size_t index : now) {
                obey(index);
                feed("change", worker_reported{reports_[index]});
            }
            now_ += 1ms;
        }
    }

    void tick()
    {
        now_ += 100ms;
        feed("tick", scheduler_ticked{});
    }

    void submit(const job_spec& spec) { feed("submit", job_submitted{spec}); }

    void finish(const job_id& id)
    {
        for (std::size_t index = 0; index < reports_.size(); ++index) {
            for (reported_part& part : reports_[index].parts_) {
                if (part.gang_.job_ != id)
                    continue;
                part.state_ = part_state::finished;
                feed("finish", worker_reported{reports_[index]});
                break;
            }
        }
    }

    void print(const std::string& name, int workers, double bytes)
    {
        for (const auto& [kind, times] : times_) {
            json_line(name)
                .add("workers", workers)
                .add("event", kind)
                .add("count", static_cast<double>(times.size()))
                .add("p50_us", percentile(times, 0.5))
                .add("p99_us", percentile(times, 0.99))
                .add("max_us", percentile(times, 1.0))
                .add("target_p99_us", 1000)
                .met(percentile(times, 0.99) < 1000)
                .print();
        }
        json_line(name + "_memory")
            .add("workers", workers)
            .add("bytes", bytes)
            .add("bytes_per_worker", bytes / workers)
            .print();
    }

    instant now_{1h};
    std::unique_ptr<zone_scheduler> scheduler_;
    std::map<std::string, std::vector<double>> times_;
    std::map<job_id, job_state> states_;

  private:
    void obey(std::size_t index)
    {
        worker_report& report = reports_[index];
        for (const worker_command& command :
             scheduler_->outbox(report.info_.name_)) {
            if (command.number_ <= report.applied_command_)
                continue;
            report.epoch_ = command.epoch_;
            report.applied_command_ = command.number_;
            auto same = [&command](const reported_part& part) {
                return part.gang_ == command.gang_;
            };
            if (command.kind_ == command_kind::hold)
                report.parts_.push_back({command.gang_, part_state::held,
                                         command.tasks_,
                                         command.accelerators_});
            if (command.kind_ == command_kind::stop)
                std::erase_if(report.parts_, same);
            for (reported_part& part : report.parts_) {
                if (same(part) && command.kind_ == command_kind::start)
                    part.state_ = part_state::running;
                if (same(part) && command.kind_ == command_kind::checkpoint)
                    part.state_ = part_state::checkpointed;
            }
        }
    }

    std::vector<worker_report> reports_;
    std::map<worker_name, std::size_t> index_;
    std::set<std::size_t> nudged_;
};

job_spec make_job(int number, int tasks, bool checkpoints)
{
    job_spec spec;
    spec.id_ = job_id("j" + std::to_string(number));
    spec.team_ = team_name("t" + std::to_string(number % 140));
    spec.tasks_ = tasks;
    spec.accelerators_ = 1;
    spec.checkpoints_ = checkpoints;
    spec.declared_run_time_ = 1h;
    return spec;
}

// A pool filled with gangs to 94,000 tasks at 22,000 workers; the same
// density at smaller sizes.
void bench_cost(int workers)
{
    double before = allocated_bytes();
    instant_workers pool(workers);
    pool.report_all();
    pool.tick();
    std::mt19937_64 random(1);
    int tasks = 0;
    int number = 0;
    int wanted = static_cast<int>(workers * 94000.0 / 22000.0);
    while (tasks < wanted) {
        int width = std::vector<int>{1, 2, 4, 8, 16, 64}[random() % 6];
        pool.submit(make_job(++number, width, true));
        tasks += width;
        if (number % 20 == 0)
            pool.tick();
        pool.settle();
    }
    for (int i = 0; i < 20; ++i) {
        pool.tick();
        pool.settle();
    }
    double bytes = allocated_bytes() - before;
    // What filling the pool cost does not count; the steady state does.
    pool.times_.clear();
    pool.report_all();
    for (int i = 1; i <= std::min(200, number); ++i) {
        pool.finish(job_id("j" + std::to_string(i)));
        pool.settle();
        pool.submit(make_job(number + i, 8, true));
        pool.settle();
        pool.tick();
        pool.settle();
    }
    pool.print("cost", workers, bytes);
}

// Urgent work of guaranteed teams while borrowed work has everything.
void bench_urgent(int workers)
{
    pool_options options;
    options.workers_per_rack_ = workers_per_rack;
    options.racks_ = workers / workers_per_rack;
    options.check_every_event_ = false;
    options.heartbeat_ = 5s;
    options.lease_ = 20s;
    scheduler_options scheduling;
    scheduling.zone_ = zone_name("z");
    scheduling.wait_for_reports_ = false;
    fake_pool pool(options, scheduling, make_rules(workers));
    instant begin = pool.now() + 10s;
    for (int i = 0; i < workers; ++i) {
        // Teams without a guarantee borrow everything.
        job_spec spec = make_job(i, 8, i % 2 == 0);
        spec.team_ = team_name("t139");
        pool.submit(spec, 100h, begin);
    }
    instant then = begin + 120s;
    int urgent = std::min(100, workers / 20);
    for (int i = 0; i < urgent; ++i) {
        job_spec spec = make_job(1000000 + i, 8, false);
        spec.team_ = team_name("t" + std::to_string(i));
        spec.urgent_ = true;
        spec.within_ = adjacency::worker;
        pool.submit(spec, 1h, then + i * 20ms);
    }
    pool.run_until(then - 1s);
    int free = pool.scheduler().summary().free_;
    pool.run_until(then + 60s);
    std::vector<double> waits;
    int missing = 0;
    for (int i = 0; i < urgent; ++i) {
        const auto& truth =
            pool.observed_jobs().at(job_id("j" + std::to_string(1000000 + i)));
        if (!truth.started_) {
            ++missing;
            continue;
        }
        std::chrono::duration<double> wait = *truth.started_ - truth.arrived_;
        waits.push_back(wait.count());
    }
    json_line("urgent_start")
        .add("workers", workers)
        .add("free_before", free)
        .add("urgent_jobs", urgent)
        .add("not_started", missing)
        .add("p50_s", percentile(waits, 0.5))
        .add("p99_s", percentile(waits, 0.99))
        .add("target_s", 3.7)
        .met(missing == 0 && percentile(waits, 0.99) <= 3.7)
        .print();
}

} // namespace

int main(int argc, char** argv)
{
    bool quick = argc > 1 && std::string(argv[1]) == "--quick";
    for (int workers : {50, 1400, 22000}) {
        if (quick && workers > 1400)
            break;
        bench_cost(workers);
    }
    bench_urgent(56);
    bench_urgent(1400);
    if (!quick)
        bench_urgent(22000);
    return 0;
}
