// Open-loop load on a gateway: requests start at their due times whatever
// became of earlier ones, and latency counts from the due time.
#include "stop_signal.hpp"

#include "announcer.hpp"
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
ABSL_FLAG(std::string, service, "rota-planning", "service that is called");
ABSL_FLAG(double, rate, 100, "requests a second");
ABSL_FLAG(int, seconds, 5, "length of the load");
ABSL_FLAG(int, work_ms, 5, "run time asked of the endpoints");
ABSL_FLAG(int, long_percent, 0, "share of requests that run longer");
ABSL_FLAG(int, long_factor, 50, "how much longer these run");
ABSL_FLAG(int, once_percent, 0,
          "share of requests that are not repeatable and carry a key");
ABSL_FLAG(int, deadline_ms, 10000, "deadline of each request");
ABSL_FLAG(int, seed, 1, "seed of the arrivals");
ABSL_FLAG(std::string, history, "",
          "file that gets a line for each request and its fate");

namespace {

using namespace dandelioncrank;
using namespace std::chrono_literals;

struct request_plan
{
    duration due_{};
    bool is_long_ = false;
    bool once_ = false;
};

/// Exponential gaps, seeded.
std::vector<request_plan> make_plan()
{
    std::mt19937_64 random(
        static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed)));
    std::exponential_distribution<double> gap(absl::GetFlag(FLAGS_rate));
    std::uniform_int_distribution<int> percent(0, 99);
    std::vector<request_plan> plan;
    double at = gap(random);
    while (at < absl::GetFlag(FLAGS_seconds)) {
        request_plan item;
        item.due_ = duration(static_cast<duration::rep>(at * 1e6));
        item.is_long_ = percent(random) < absl::GetFlag(FLAGS_long_percent);
        item.once_ = percent(random) < absl::GetFlag(FLAGS_once_percent);
        plan.push_back(item);
        at += gap(random);
    }
    return plan;
}

/// Sends the planned requests and keeps what became of them.
class load
{
  public:
    load()
        : gateways_(parse_addresses(absl::GetFlag(FLAGS_gateways))),
          plan_(make_plan()), started_at_(steady_now())
    {
        if (!absl::GetFlag(FLAGS_history).empty())
            history_.open(absl::GetFlag(FLAGS_history), std::ios::app);
        timer_.setTimerType(Qt::PreciseTimer);
        QObject::connect(&timer_, &QTimer::timeout, [this] { send_due(); });
        timer_.start(1ms);
    }

    void print() const
    {
        std::vector<double> sorted = latencies_;
        std::sort(sorted.begin(), sorted.end());
        auto at = [&sorted](double share) {
            if (sorted.empty())
                return 0.0;
            auto index = static_cast<std::size_t>(
                share * static_cast<double>(sorted.size() - 1));
            return sorted[index];
        };
        std::cout << "{\"requests\":" << plan_.size();
        for (const auto& [name, count] : fates_)
            std::cout << ",\"" << name << "\":" << count;
        std::cout << ",\"p50_ms\":" << at(0.5) << ",\"p99_ms\":" << at(0.99)
                  << ",\"max_ms\":" << at(1.0)
                  << ",\"slowest_refusal_ms\":" << slowest_refusal_ << "}\n";
    }

  private:
    void send_due()
    {
        duration passed = steady_now() - started_at_;
        while (next_ < plan_.size() && plan_[next_].due_ <= passed)
            send(next_++);
        if (next_ == plan_.size() && open_ == 0)
            QCoreApplication::quit();
    }

    std::unique_ptr<client_connection> connection_for(const host_port& gateway)
    {
        auto& idle = idle_[gateway];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (connection->is_reusable())
                return connection;
        }
        return std::make_unique<client_connection>(gateway, http_limits{});
    }

    void send(std::size_t index)
    {
        const request_plan& item = plan_[index];
        const host_port& gateway = gateways_[index % gateways_.size()];
        std::string id = "load-" + std::to_string(absl::GetFlag(FLAGS_seed)) +
                         '-' + std::to_string(index);
        http_request request;
        request.method_ = "POST";
        request.target_ = "/services/" + absl::GetFlag(FLAGS_service) +
                          (item.is_long_ ? "/plan" : "/check");
        request.headers_.add("Host", gateway.to_text());
        request.headers_.add("X-Request-Id", id);
        request.headers_.add("X-Repeatable", item.once_ ? "no" : "yes");
        if (item.once_)
            request.headers_.add("Idempotency-Key", "key-" + id);
        int work = absl::GetFlag(FLAGS_work_ms) *
                   (item.is_long_ ? absl::GetFlag(FLAGS_long_factor) : 1);
        request.headers_.add("X-Work-Ms", std::to_string(work));
        request.headers_.add("X-Deadline-Ms",
                             std::to_string(absl::GetFlag(FLAGS_deadline_ms)));
        request.body_ = id;
        ++open_;
        auto* connection = connection_for(gateway).release();
        auto limit =
            std::chrono::milliseconds(absl::GetFlag(FLAGS_deadline_ms) + 5000);
        connection->send(request, limit,
                         [this, index, id, connection,
                          gateway](const client_outcome& outcome) {
                             finish(index, id, outcome);
                             if (connection->is_reusable())
                                 idle_[gateway].emplace_back(connection);
                             else
                                 connection->deleteLater();
                         });
    }

    void finish(std::size_t index, const std::string& id,
                const client_outcome& outcome)
    {
        --open_;
        double latency =
            to_milliseconds(steady_now() - started_at_ - plan_[index].due_);
        // Bytes left and no answer came, unless nothing was sent at all.
        bool sent = !std::holds_alternative<request_not_sent>(outcome);
        std::string fate = sent ? "cut" : "unreachable";
        if (const auto* answered = std::get_if<request_answered>(&outcome)) {
            const http_response& response = answered->response_;
            fate = response.headers_.value_or("X-Fate", "no-fate");
            // An answer to another request would name another id.
            bool own = fate != "completed" ||
                       response.body_.find(" for " + id + ": " + id) !=
                           std::string::npos;
            if (!own)
                fate = "crossed";
        }
        ++fates_[fate];
        if (fate == "completed")
            latencies_.push_back(latency);
        else
            slowest_refusal_ = std::max(slowest_refusal_, latency);
        if (history_.is_open())
            history_ << id << ' ' << fate << ' '
                     << (plan_[index].once_ ? "once" : "repeatable") << ' '
                     << latency << '\n';
    }

    std::vector<host_port> gateways_;
    std::vector<request_plan> plan_;
    instant started_at_;
    std::size_t next_ = 0;
    std::size_t open_ = 0;
    std::map<host_port, std::vector<std::unique_ptr<client_connection>>> idle_;
    std::map<std::string, int> fates_;
    std::vector<double> latencies_;
    double slowest_refusal_ = 0;
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
    load run;
    stop_signal stop([] { QCoreApplication::quit(); });
    int result = application.exec();
    run.print();
    return result;
}
