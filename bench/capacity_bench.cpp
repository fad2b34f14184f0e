// Cost slopes for docs/CAPACITY.md: each cost is measured at three or more
// sizes and fitted with a line; the largest relative error is reported.
#include "benchmark_report.hpp"

#include "dandelioncrank/core/wire.hpp"
#include "dandelioncrank/dissemination/disseminator.hpp"
#include "dandelioncrank/routing/dispatcher.hpp"
#include "dandelioncrank/scheduling/zone_scheduler.hpp"
#include "dandelioncrank/state/replicated_state.hpp"

#include <chrono>
#include <cmath>
#include <functional>
#include <memory>

using namespace dandelioncrank;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

using wall_clock = std::chrono::steady_clock;

struct sample
{
    double size_ = 0;
    double cost_ = 0;
};

/// Prints a least-squares fit: slope, intercept, largest relative error.
void print_linear_fit(const std::string& name, const std::string& unit,
                      const std::vector<sample>& points)
{
    double n = static_cast<double>(points.size());
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const sample& p : points) {
        sx += p.size_;
        sy += p.cost_;
        sxx += p.size_ * p.size_;
        sxy += p.size_ * p.cost_;
    }
    double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    double intercept = (sy - slope * sx) / n;
    double max_relative_error = 0;
    std::string text;
    for (const sample& p : points) {
        double fit = intercept + slope * p.size_;
        max_relative_error = std::max(max_relative_error,
                                      std::abs(fit - p.cost_) /
                                          std::max(1e-12, std::abs(p.cost_)));
        char part[64];
        std::snprintf(part, sizeof part, "%s%g:%.4g", text.empty() ? "" : " ",
                      p.size_, p.cost_);
        text += part;
    }
    json_result("slope")
        .add("name", name)
        .add("unit", unit)
        .add("points", text)
        .add("slope", slope)
        .add("start", intercept)
        .add("worst_fit_error", max_relative_error)
        .print();
}

double measure_seconds(const std::function<void()>& work)
{
    auto begin = wall_clock::now();
    work();
    std::chrono::duration<double> elapsed = wall_clock::now() - begin;
    return elapsed.count();
}

// --- Zone scheduler

worker_report make_report(int index, int parts)
{
    worker_report report;
    report.info_ = {worker_name("worker-" + std::to_string(index)),
                    rack_name("rack-" + std::to_string(index / 8)), 8, 256,
                    1 << 20};
    report.incarnation_ = "1";
    for (int i = 0; i < parts; ++i)
        report.parts_.push_back({{job_id("job-" + std::to_string(index)), 1},
                                 part_state::running,
                                 1,
                                 1});
    return report;
}

void bench_scheduler()
{
    std::vector<sample> memory;
    std::vector<sample> time;
    for (int workers : {350, 700, 1400, 2800}) {
        double before = allocated_bytes();
        scheduler_options options;
        options.zone_ = zone_name("z");
        options.wait_for_reports_ = false;
        zone_scheduler scheduler(options);
        configuration config;
        for (int i = 0; i < 140; ++i) {
            team_rule team;
            team.name_ = team_name("team-" + std::to_string(i));
            config.teams_.emplace(team.name_, team);
        }
        scheduler.configure(config, instant(1h));
        std::vector<worker_report> reports;
        for (int i = 0; i < workers; ++i) {
            reports.push_back(make_report(i, 0));
            (void)scheduler.handle(worker_reported{reports.back()},
                                   instant(1h));
        }
        // Heartbeats without changes.
        double elapsed_s = measure_seconds([&] {
            for (int round = 0; round < 10; ++round) {
                for (const worker_report& report : reports)
                    (void)scheduler.handle(worker_reported{report},
                                           instant(1h + 1s * round));
            }
        });
        time.push_back({double(workers), elapsed_s / 10});
        memory.push_back({double(workers), allocated_bytes() - before});
    }
    print_linear_fit("scheduler memory", "bytes per worker", memory);
    print_linear_fit("scheduler heartbeat", "core seconds per worker report",
                     time);
}

// --- Dispatcher

void bench_dispatcher()
{
    std::vector<sample> time;
    for (int endpoints : {12, 25, 50, 100}) {
        dispatcher core(queue_discipline::protect_short_work, 1);
        configuration config;
        service_rule rule;
        rule.name_ = service_name("s");
        config.services_.emplace(rule.name_, rule);
        core.configure(config);
        instant now(1h);
        for (int i = 0; i < endpoints; ++i) {
            endpoint_info info;
            info.name_ = endpoint_name("e" + std::to_string(i));
            info.service_ = rule.name_;
            info.time_to_live_ = 1h;
            (void)core.handle(endpoint_announced{info}, now);
        }
        constexpr int requests = 20000;
        double elapsed_s = measure_seconds([&] {
            for (int i = 0; i < requests; ++i) {
                slot_request request;
                request.id_ = {host_name("h"), static_cast<std::uint64_t>(i)};
                request.service_ = rule.name_;
                request.team_ = team_name("t");
                request.deadline_ = now + 10s;
                (void)core.handle(slot_requested{request}, now);
                now += 100us;
                (void)core.handle(
                    slot_returned{request.id_, slot_outcome::succeeded, 5ms},
                    now);
            }
        });
        time.push_back({double(endpoints), elapsed_s / requests});
    }
    print_linear_fit("dispatcher request",
                     "core seconds per request per endpoint", time);
}

// --- Dissemination

void bench_gossip()
{
    std::vector<sample> bytes;
    for (int hosts : {7, 13, 26}) {
        host_status self;
        self.name_ = host_name("host-1");
        self.zone_ = zone_name("zone-1");
        std::vector<host_name> peers;
        for (int i = 2; i <= hosts; ++i)
            peers.emplace_back("host-" + std::to_string(i));
        disseminator core(self, peers, gossip_timing{});
        double sent = 0;
        instant now(1h);
        for (int i = 0; i < 400; ++i) {
            now += 250ms;
            gossip_actions out;
            core.tick(now, out);
            for (const auto& action : out) {
                if (const auto* item = std::get_if<gossip_send>(&action))
                    sent += static_cast<double>(to_wire(item->message_).size());
            }
        }
        // Payload only; HTTP/2 and TCP roughly double the size of a message.
        bytes.push_back({double(hosts), sent / 100});
    }
    print_linear_fit("gossip heartbeats", "bytes per second per host", bytes);

    endpoint_entry entry;
    entry.info_.name_ = endpoint_name("rota-planning-12");
    entry.info_.service_ = service_name("rota-planning");
    entry.info_.zone_ = zone_name("salamanca");
    entry.info_.address_ = {"127.0.0.1", 40000};
    json_result("message")
        .add("name", "endpoint announcement")
        .add("bytes", static_cast<double>(to_wire(entry).size()))
        .print();
}

// --- Replicated state

void bench_state_size()
{
    std::vector<sample> claims;
    std::vector<sample> snapshot;
    for (int count : {5000, 10000, 20000, 40000}) {
        double before = allocated_bytes();
        auto state = std::make_unique<replicated_state>();
        for (int i = 0; i < count; ++i) {
            acquire_claim claim{"rota/key-" + std::to_string(i),
                                request_id("h1-1234567-0-" + std::to_string(i)),
                                host_name("h1"), 1};
            state->apply({std::chrono::sys_seconds(1000h), claim});
        }
        claims.push_back({double(count), allocated_bytes() - before});
        snapshot.push_back({double(count), measure_seconds([&state] {
                                (void)state->snapshot();
                            })});
    }
    print_linear_fit("claims", "bytes per claim", claims);
    print_linear_fit("snapshot", "core seconds per claim", snapshot);

    std::vector<sample> jobs;
    for (int count : {5000, 19000, 38000}) {
        double before = allocated_bytes();
        auto state = std::make_unique<replicated_state>();
        for (int i = 0; i < count; ++i) {
            job_record record;
            record.spec_.id_ = job_id("nightly-plan-" + std::to_string(i));
            record.spec_.team_ = team_name("rota-planners");
            state->apply({std::chrono::sys_seconds(1000h),
                          put_job{zone_name("leon"), record, 0, true}});
        }
        jobs.push_back({double(count), allocated_bytes() - before});
    }
    print_linear_fit("jobs", "bytes per job", jobs);

    stored_text text;
    text.text_ = {"examples/town.yaml", std::string(2000, 'x')};
    text.author_ = "operator";
    json_result("message")
        .add("name", "configuration change with a text of 2,000 bytes")
        .add("bytes", static_cast<double>(to_wire(text).size()))
        .print();
}

// --- Configuration check

void bench_config_check()
{
    std::vector<sample> time;
    for (int teams : {35, 70, 140, 280}) {
        std::string budget = "budget: b\nzones:\n";
        for (int i = 0; i < 16; ++i)
            budget += "  - {name: z" + std::to_string(i) + ", region: r" +
                      std::to_string(i % 5) +
                      ", racks: 175, workers_per_rack: 8, accelerators: 2}\n";
        budget += "teams:\n";
        for (int i = 0; i < teams; ++i)
            budget += "  - name: team-" + std::to_string(i) +
                      "\n    guarantees:\n      - {zone: z" +
                      std::to_string(i % 16) +
                      ", blocks: 2, accelerators: 16, within: rack}\n";
        std::vector<config_text> texts = {{"budget.yaml", budget}};
        for (int i = 0; i < teams; ++i)
            texts.push_back({"town.yaml", "town: town-" + std::to_string(i) +
                                              "\nservices:\n  - name: s" +
                                              std::to_string(i) +
                                              "\n    team: team-" +
                                              std::to_string(i) + "\n"});
        double elapsed_s =
            measure_seconds([&texts] { (void)check_texts(texts); });
        time.push_back({double(teams), elapsed_s});
    }
    print_linear_fit("check of all texts", "core seconds per team", time);
}

} // namespace

int main()
{
    bench_scheduler();
    bench_dispatcher();
    bench_gossip();
    bench_state_size();
    bench_config_check();
    return 0;
}
