// Routing under load in virtual time: the production dispatcher with simulated
// hosts and endpoints.
#include "benchmark_report.hpp"
#include "fake_fleet.hpp"

#include <random>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

constexpr duration short_run_time = 20ms;
constexpr int long_factor = 50;
constexpr double long_share = 0.05;

duration seconds_to_duration(double value)
{
    return duration(static_cast<duration::rep>(value * 1e6));
}

/// Poisson arrivals at a constant rate within a time range.
struct arrival_phase
{
    double rate_ = 0;
    double from_s_ = 0;
    double to_s_ = 0;
    double long_share_ = 0;
    bool same_route_ = false;
    duration deadline_ = 60s;
};

void submit_arrivals(fake_fleet& fleet, const arrival_phase& phase,
                     std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap_s(phase.rate_);
    std::uniform_real_distribution<double> share(0, 1);
    double arrival_s = phase.from_s_ + gap_s(random);
    while (arrival_s < phase.to_s_) {
        fake_request request;
        request.at_ = instant(seconds_to_duration(arrival_s));
        request.team_ = team_name(std::string(1, "abcd"[random() % 4]));
        bool is_long = share(random) < phase.long_share_;
        request.route_ =
            is_long && !phase.same_route_ ? "POST /plan" : "POST /check";
        request.run_time_ =
            is_long ? short_run_time * long_factor : short_run_time;
        request.deadline_ = phase.deadline_;
        fleet.submit(request);
        arrival_s += gap_s(random);
    }
}

double wait_ms(const request_record& record)
{
    return to_milliseconds(record.started_ - record.request_.at_);
}

bool is_short(const request_record& record)
{
    return record.request_.run_time_ == short_run_time;
}

// --- Head-of-line blocking of short requests

struct wait_percentiles
{
    double short_p99_ms_ = 0;
    double long_p99_ms_ = 0;
};

wait_percentiles measure_waits(int endpoints, queue_discipline discipline,
                               bool same_route)
{
    fleet_options options;
    options.endpoints_ = endpoints;
    options.discipline_ = discipline;
    options.queue_time_ = 1h;
    fake_fleet fleet(options);
    double mean_run = 0.02 * (1 - long_share + long_share * long_factor);
    double capacity = endpoints * options.slots_ / mean_run;
    submit_arrivals(fleet,
                    {0.85 * capacity, 0, 120, long_share, same_route, 1h}, 3);
    fleet.run();
    std::vector<double> short_waits;
    std::vector<double> long_waits;
    for (const request_record& record : fleet.records()) {
        if (record.request_.at_ < instant(20s))
            continue;
        (is_short(record) ? short_waits : long_waits)
            .push_back(wait_ms(record));
    }
    return {percentile(short_waits, 0.99), percentile(long_waits, 0.99)};
}

void bench_head_of_line()
{
    for (int endpoints : {1, 2, 4, 50}) {
        for (bool same_route : {false, true}) {
            auto measured = measure_waits(
                endpoints, queue_discipline::protect_short_work, same_route);
            auto baseline = measure_waits(
                endpoints, queue_discipline::first_in_first_out, same_route);
            double ratio = measured.short_p99_ms_ / baseline.short_p99_ms_;
            json_result("head_of_line")
                .add("endpoints", endpoints)
                .add("routes", same_route ? "same" : "different")
                .add("short_p99_ms", measured.short_p99_ms_)
                .add("baseline_short_p99_ms", baseline.short_p99_ms_)
                .add("long_p99_ms", measured.long_p99_ms_)
                .add("baseline_long_p99_ms", baseline.long_p99_ms_)
                .add("ratio", ratio)
                .add("target", 0.2)
                .target_met(ratio <= 0.2)
                .print();
        }
    }
}

// --- Overload

void bench_overload(int entry_hosts, int local_hosts)
{
    fleet_options options;
    options.endpoints_ = 10;
    options.entry_hosts_ = entry_hosts;
    options.local_hosts_ = local_hosts;
    fake_fleet fleet(options);
    double capacity = 10 * 8 / 0.02;
    submit_arrivals(fleet, {0.5 * capacity, 0, 10, 0, false, 10s}, 1);
    submit_arrivals(fleet, {3.0 * capacity, 10, 20, 0, false, 10s}, 2);
    submit_arrivals(fleet, {0.5 * capacity, 20, 30, 0, false, 10s}, 3);
    fleet.run();
    int completed = 0;
    int unknown = 0;
    int refused_that_ran = 0;
    double slowest_refusal_ms = 0;
    std::vector<double> before;
    std::vector<double> after;
    for (const request_record& record : fleet.records()) {
        double total_ms = to_milliseconds(record.ended_ - record.request_.at_);
        unknown += record.request_outcome_ == request_outcome::unknown;
        if (record.request_outcome_ == request_outcome::not_run) {
            slowest_refusal_ms = std::max(slowest_refusal_ms, total_ms);
            refused_that_ran += record.runs_ > 0;
            continue;
        }
        completed +=
            record.ended_ >= instant(10s) && record.ended_ < instant(20s);
        instant arrived_at = record.request_.at_;
        if (arrived_at >= instant(5s) && arrived_at < instant(10s))
            before.push_back(total_ms);
        if (arrived_at >= instant(22s))
            after.push_back(total_ms);
    }
    double goodput = completed / (10 * capacity);
    double recovery_ratio = percentile(after, 0.99) / percentile(before, 0.99);
    json_result("crest")
        .add("entry_hosts", entry_hosts)
        .add("beside_the_dispatcher", local_hosts)
        .add("goodput_of_capacity", goodput)
        .add("target", 0.9)
        .add("slowest_refusal_ms", slowest_refusal_ms)
        .add("refused_that_ran", refused_that_ran)
        .add("unknown", unknown)
        .add("p99_before_ms", percentile(before, 0.99))
        .add("p99_from_2s_after_ms", percentile(after, 0.99))
        .add("p99_ratio", recovery_ratio)
        .target_met(goodput >= 0.9 && slowest_refusal_ms <= 50 &&
                    unknown == 0 && refused_that_ran == 0 &&
                    recovery_ratio <= 1.1)
        .print();
}

// --- Unhealthy endpoints

double measure_goodput(int endpoints,
                       std::map<int, endpoint_behaviour> behaviours,
                       double rate)
{
    fleet_options options;
    options.endpoints_ = endpoints;
    options.behaviours_ = std::move(behaviours);
    fake_fleet fleet(options);
    submit_arrivals(fleet, {rate, 0, 30, 0, false, 2s}, 5);
    fleet.run();
    int good = 0;
    for (const request_record& record : fleet.records()) {
        bool in_time =
            record.ended_ - record.request_.at_ <= record.request_.deadline_;
        good +=
            record.request_outcome_ == request_outcome::completed && in_time;
    }
    return good / 30.0;
}

void bench_unhealthy_endpoints()
{
    double capacity = 48 * 8 / 0.02;
    for (double load : {0.5, 0.85}) {
        std::map<int, endpoint_behaviour> unhealthy;
        unhealthy[0].slow_factor_ = 20;
        unhealthy[1].fails_immediately_ = true;
        double measured = measure_goodput(50, unhealthy, load * capacity);
        double baseline = measure_goodput(48, {}, load * capacity);
        json_result("sick_endpoints")
            .add("load", load)
            .add("goodput", measured)
            .add("goodput_of_48", baseline)
            .add("ratio", measured / baseline)
            .add("target", 0.95)
            .target_met(measured / baseline >= 0.95)
            .print();
    }
}

// --- Slot utilization

void bench_slot_utilization()
{
    fleet_options options;
    options.queue_time_ = 1h;
    fake_fleet fleet(options);
    double capacity = 50 * 8 / 0.02;
    submit_arrivals(fleet, {0.95 * capacity, 0, 20, 0, false, 1h}, 7);
    fleet.run();
    double longest_idle_ms = to_milliseconds(fleet.longest_idle_slot());
    json_result("slots")
        .add("entry_hosts", options.entry_hosts_)
        .add("most_in_flight", fleet.most_in_flight())
        .add("longest_idle_while_waiting_ms", longest_idle_ms)
        .add("target_ms", 5)
        .target_met(fleet.most_in_flight() <= 8 && longest_idle_ms <= 5)
        .print();
}

} // namespace

int main()
{
    bench_head_of_line();
    bench_overload(7, 0);
    bench_overload(2, 1);
    bench_unhealthy_endpoints();
    bench_slot_utilization();
    return 0;
}
