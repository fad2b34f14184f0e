// Open-loop load generator for gateways: requests start at their due times
// regardless of earlier requests, and latency is measured from the due time.
#include "stop_signal.hpp"

#include "daemon_client.hpp"
#include "dandelioncrank/http/client_connection.hpp"

#include <QCoreApplication>
#include <QTimer>

#include <absl/flags/flag.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>

ABSL_FLAG(std::string, gateways, "127.0.0.1:7001",
          "caller addresses of daemons, separated by commas");
ABSL_FLAG(std::string, service, "rota-planning", "service to call");
ABSL_FLAG(double, rate, 100, "requests per second");
ABSL_FLAG(int, seconds, 5, "duration of the load, in seconds");
ABSL_FLAG(int, work_ms, 5, "run time requested from the endpoints, in ms");
ABSL_FLAG(int, long_percent, 0, "percentage of long requests");
ABSL_FLAG(int, long_factor, 50, "run time factor of long requests");
ABSL_FLAG(int, once_percent, 0,
          "percentage of requests that are not repeatable and carry an "
          "idempotency key");
ABSL_FLAG(int, deadline_ms, 10000, "deadline of each request, in ms");
ABSL_FLAG(int, seed, 1, "seed of the arrival process");
ABSL_FLAG(std::string, history, "",
          "file to which the outcome of each request is appended");

namespace {

using namespace dandelioncrank;
using namespace std::chrono_literals;

struct planned_request
{
    duration due_{};
    bool is_long_ = false;
    bool at_most_once_ = false;
};

/// Generates Poisson arrivals from the seed.
std::vector<planned_request> generate_requests()
{
    std::mt19937_64 random(
        static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
    std::exponential_distribution<double> gap_s(absl::GetFlag(FLAGS_rate));
    std::uniform_int_distribution<int> percent(0, 99);
    std::vector<planned_request> plan;
    double arrival_s = gap_s(random);
    while (arrival_s < absl::GetFlag(FLAGS_seconds)) {
        planned_request item;
        item.due_ = duration(static_cast<duration::rep>(arrival_s * 1e6));
        item.is_long_ = percent(random) < absl::GetFlag(FLAGS_long_percent);
        item.at_most_once_ =
            percent(random) < absl::GetFlag(FLAGS_once_percent);
        plan.push_back(item);
        arrival_s += gap_s(random);
    }
    return plan;
}

/// Sends the planned requests and records their outcomes.
class load_generator
{
  public:
    load_generator()
        : gateways_(parse_addresses_or_exit(absl::GetFlag(FLAGS_gateways))),
          requests_(generate_requests()), started_at_(steady_now())
    {
        if (!absl::GetFlag(FLAGS_history).empty())
            history_.open(absl::GetFlag(FLAGS_history), std::ios::app);
        timer_.setTimerType(Qt::PreciseTimer);
        QObject::connect(&timer_, &QTimer::timeout,
                         [this] { send_due_requests(); });
        timer_.start(1ms);
    }

    void print_summary() const
    {
        std::vector<double> sorted_latencies = latencies_ms_;
        std::sort(sorted_latencies.begin(), sorted_latencies.end());
        auto percentile = [&sorted_latencies](double quantile) {
            if (sorted_latencies.empty())
                return 0.0;
            auto index = static_cast<std::size_t>(
                quantile * static_cast<double>(sorted_latencies.size() - 1));
            return sorted_latencies[index];
        };
        std::cout << "{\"requests\":" << requests_.size();
        for (const auto& [name, count] : outcome_counts_)
            std::cout << ",\"" << name << "\":" << count;
        std::cout << ",\"p50_ms\":" << percentile(0.5)
                  << ",\"p99_ms\":" << percentile(0.99)
                  << ",\"max_ms\":" << percentile(1.0)
                  << ",\"slowest_refusal_ms\":" << slowest_refusal_ms_ << "}\n";
    }

  private:
    void send_due_requests()
    {
        duration elapsed = steady_now() - started_at_;
        while (next_request_ < requests_.size() &&
               requests_[next_request_].due_ <= elapsed)
            send(next_request_++);
        if (next_request_ == requests_.size() && in_flight_ == 0)
            QCoreApplication::quit();
    }

    std::unique_ptr<client_connection> connection_for(const host_port& gateway)
    {
        auto& idle_connections = idle_connections_[gateway];
        while (!idle_connections.empty()) {
            auto connection = std::move(idle_connections.back());
            idle_connections.pop_back();
            if (connection->is_reusable())
                return connection;
        }
        return std::make_unique<client_connection>(gateway, http_limits{});
    }

    void send(std::size_t index)
    {
        const planned_request& item = requests_[index];
        const host_port& gateway = gateways_[index % gateways_.size()];
        std::string id = "load-" + std::to_string(absl::GetFlag(FLAGS_seed)) +
                         '-' + std::to_string(index);
        http_request request;
        request.method_ = "POST";
        request.target_ = "/services/" + absl::GetFlag(FLAGS_service) +
                          (item.is_long_ ? "/plan" : "/check");
        request.headers_.add("Host", gateway.to_text());
        request.headers_.add("X-Request-Id", id);
        request.headers_.add("X-Repeatable", item.at_most_once_ ? "no" : "yes");
        if (item.at_most_once_)
            request.headers_.add("Idempotency-Key", "key-" + id);
        int work_ms = absl::GetFlag(FLAGS_work_ms) *
                      (item.is_long_ ? absl::GetFlag(FLAGS_long_factor) : 1);
        request.headers_.add("X-Work-Ms", std::to_string(work_ms));
        request.headers_.add("X-Deadline-Ms",
                             std::to_string(absl::GetFlag(FLAGS_deadline_ms)));
        request.body_ = id;
        ++in_flight_;
        auto* connection = connection_for(gateway).release();
        auto timeout =
            std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms) + 5000);
        connection->send(request, timeout,
                         [this, index, id, connection,
                          gateway](const client_outcome& outcome) {
                             record_outcome(index, id, outcome);
                             if (connection->is_reusable())
                                 idle_connections_[gateway].emplace_back(
                                     connection);
                             else
                                 connection->deleteLater();
                         });
    }

    void record_outcome(std::size_t index, const std::string& id,
                        const client_outcome& outcome)
    {
        --in_flight_;
        double latency_ms =
            to_milliseconds(steady_now() - started_at_ - requests_[index].due_);
        // "cut": sent without a response; "unreachable": nothing was sent.
        bool was_sent = !std::holds_alternative<request_not_sent>(outcome);
        std::string label = was_sent ? "cut" : "unreachable";
        if (const auto* answered = std::get_if<request_answered>(&outcome)) {
            const http_response& response = answered->response_;
            label = response.headers_.value_or("X-Fate", "no-fate");
            // The endpoint echoes the request id; a different id means that
            // the response belongs to another request.
            bool matches_request = label != "completed" ||
                                   response.body_.find(" for " + id + ": " +
                                                       id) != std::string::npos;
            if (!matches_request)
                label = "crossed";
        }
        ++outcome_counts_[label];
        if (label == "completed")
            latencies_ms_.push_back(latency_ms);
        else
            slowest_refusal_ms_ = std::max(slowest_refusal_ms_, latency_ms);
        if (history_.is_open())
            history_ << id << ' ' << label << ' '
                     << (requests_[index].at_most_once_ ? "once" : "repeatable")
                     << ' ' << latency_ms << '\n';
    }

    std::vector<host_port> gateways_;
    std::vector<planned_request> requests_;
    instant started_at_;
    std::size_t next_request_ = 0;
    std::size_t in_flight_ = 0;
    std::map<host_port, std::vector<std::unique_ptr<client_connection>>>
        idle_connections_;
    std::map<std::string, int> outcome_counts_;
    std::vector<double> latencies_ms_;
    double slowest_refusal_ms_ = 0;
    std::ofstream history_;
    QTimer timer_;
};

} // namespace

int main(int argc, char** argv)
{
    settings_reader reader("DANDELIONCRANK_LOAD",
                           {"gateways", "service", "rate", "seconds", "work_ms",
                            "long_percent", "long_factor", "once_percent",
                            "deadline_ms", "seed", "history"});
    parsed_arguments parsed = reader.read(argc, argv);
    if (parsed.help_requested_ || !parsed.faults_.empty()) {
        std::cerr << parsed.faults_.to_text() << reader.help();
        return parsed.help_requested_ ? 0 : 2;
    }
    QCoreApplication application(argc, argv);
    load_generator generator;
    stop_signal stop([] { QCoreApplication::quit(); });
    int result = application.exec();
    generator.print_summary();
    return result;
}
