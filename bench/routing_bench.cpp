// Routing under load, in virtual time: the real dispatcher, fake hosts and
// endpoints.
#include "fake_fleet.hpp"
#include "figures.hpp"

#include <random>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

constexpr duration short_run = 20ms;
constexpr int long_factor = 50;
constexpr double long_share = 0.05;

duration seconds_to_duration(double value)
{
    return duration(static_cast<duration::rep>(value * 1e6));
}

/// Arrivals at a steady rate from one time to another.
struct arrivals
{
    double rate_ = 0;
    double from_ = 0;
    double to_ = 0;
    double long_share_ = 0;
    bool same_route_ = false;
    duration deadline_ = 60s;
};

void submit(fake_fleet& fleet, const arrivals& plan, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(plan.rate_);
    std::uniform_real_distribution<double> share(0, 1);
    double at = plan.from_ + gap(random);
    while (at < plan.to_) {
        fake_request request;
        request.at_ = instant(seconds_to_duration(at));
        request.team_ = team_name(std::string(1, "abcd"[random() % 4]));
        bool is_long = share(random) < plan.long_share_;
        request.route_ =
            is_long && !plan.same_route_ ? "POST /plan" : "POST /check";
        request.run_time_ = is_long ? short_run * long_factor : short_run;
        request.deadline_ = plan.deadline_;
        fleet.submit(request);
        at += gap(random);
    }
}

double wait_ms(const request_record& record)
{
    return to_milliseconds(record.started_ - record.request_.at_);
}

bool is_short(const request_record& record)
{
    return record.request_.run_time_ == short_run;
}

// --- Short work behind long work

struct wait_figures
{
    double short_p99_ = 0;
    double long_p99_ = 0;
};

wait_figures measure_waits(int endpoints, queue_discipline discipline,
                           bool same_route)
{
    fleet_options options;
    options.endpoints_ = endpoints;
    options.discipline_ = discipline;
    options.queue_time_ = 1h;
    fake_fleet fleet(options);
    double mean_run = 0.02 * (1 - long_share + long_share * long_factor);
    double capacity = endpoints * options.slots_ / mean_run;
    submit(fleet, {0.85 * capacity, 0, 120, long_share, same_route, 1h}, 3);
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
            auto own = measure_waits(
                endpoints, queue_discipline::protect_short_work, same_route);
            auto base = measure_waits(
                endpoints, queue_discipline::first_in_first_out, same_route);
            double ratio = own.short_p99_ / base.short_p99_;
            json_line("head_of_line")
                .add("endpoints", endpoints)
                .add("routes", same_route ? "same" : "different")
                .add("short_p99_ms", own.short_p99_)
                .add("baseline_short_p99_ms", base.short_p99_)
                .add("long_p99_ms", own.long_p99_)
                .add("baseline_long_p99_ms", base.long_p99_)
                .add("ratio", ratio)
                .add("target", 0.2)
                .met(ratio <= 0.2)
                .print();
        }
    }
}

// --- The crest of a swing

void bench_crest(int entry_hosts, int local_hosts)
{
    fleet_options options;
    options.endpoints_ = 10;
    options.entry_hosts_ = entry_hosts;
    options.local_hosts_ = local_hosts;
    fake_fleet fleet(options);
    double capacity = 10 * 8 / 0.02;
    submit(fleet, {0.5 * capacity, 0, 10, 0, false, 10s}, 1);
    submit(fleet, {3.0 * capacity, 10, 20, 0, false, 10s}, 2);
    submit(fleet, {0.5 * capacity, 20, 30, 0, false, 10s}, 3);
    fleet.run();
    int completed = 0;
    int unknown = 0;
    int refused_that_ran = 0;
    double slowest_refusal = 0;
    std::vector<double> before;
    std::vector<double> after;
    for (const request_record& record : fleet.records()) {
        double total = to_milliseconds(record.ended_ - record.request_.at_);
        unknown += record.request_outcome_ == request_outcome::unknown;
        if (record.request_outcome_ == request_outcome::not_run) {
            slowest_refusal = std::max(slowest_refusal, total);
            refused_that_ran += record.runs_ > 0;
            continue;
        }
        completed +=
            record.ended_ >= instant(10s) && record.ended_ < instant(20s);
        instant at = record.request_.at_;
        if (at >= instant(5s) && at < instant(10s))
            before.push_back(total);
        if (at >= instant(22s))
            after.push_back(total);
    }
    double goodput = completed / (10 * capacity);
    double back = percentile(after, 0.99) / percentile(before, 0.99);
    json_line("crest")
        .add("entry_hosts", entry_hosts)
        .add("beside_the_dispatcher", local_hosts)
        .add("goodput_of_capacity", goodput)
        .add("target", 0.9)
        .add("slowest_refusal_ms", slowest_refusal)
        .add("refused_that_ran", refused_that_ran)
        .add("unknown", unknown)
        .add("p99_before_ms", percentile(before, 0.99))
        .add("p99_from_2s_after_ms", percentile(after, 0.99))
        .add("p99_ratio", back)
        .met(goodput >= 0.9 && slowest_refusal <= 50 && unknown == 0 &&
             refused_that_ran == 0 && back <= 1.1)
        .print();
}

// --- Sick endpoints

double measure_goodput(int endpoints,
                       std::map<int, endpoint_behaviour> behaviours,
                       double rate)
{
    fleet_options options;
    options.endpoints_ = endpoints;
    options.behaviours_ = std::move(behaviours);
    fake_fleet fleet(options);
    submit(fleet, {rate, 0, 30, 0, false, 2s}, 5);
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

void bench_sick_endpoints()
{
    double capacity = 48 * 8 / 0.02;
    for (double load : {0.5, 0.85}) {
        std::map<int, endpoint_behaviour> sick;
        sick[0].slow_factor_ = 20;
        sick[1].fails_immediately_ = true;
        double own = measure_goodput(50, sick, load * capacity);
        double base = measure_goodput(48, {}, load * capacity);
        json_line("sick_endpoints")
            .add("load", load)
            .add("goodput", own)
            .add("goodput_of_48", base)
            .add("ratio", own / base)
            .add("target", 0.95)
            .met(own / base >= 0.95)
            .print();
    }
}

// --- Slots

void bench_slots()
{
    fleet_options options;
    options.queue_time_ = 1h;
    fake_fleet fleet(options);
    double capacity = 50 * 8 / 0.02;
    submit(fleet, {0.95 * capacity, 0, 20, 0, false, 1h}, 7);
    fleet.run();
    double idle = to_milliseconds(fleet.longest_idle_slot());
    json_line("slots")
        .add("entry_hosts", options.entry_hosts_)
        .add("most_in_flight", fleet.most_in_flight())
        .add("longest_idle_while_waiting_ms", idle)
        .add("target_ms", 5)
        .met(fleet.most_in_flight() <= 8 && idle <= 5)
        .print();
}

} // namespace

int main()
{
    bench_head_of_line();
    bench_crest(7, 0);
    bench_crest(2, 1);
    bench_sick_endpoints();
    bench_slots();
    return 0;
}
