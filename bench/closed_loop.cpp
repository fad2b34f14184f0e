// Closed-loop load on one gateway or endpoint over a fixed number of
// connections; prints latency and throughput.
#include "daemon_client.hpp"
#include "dandelioncrank/http/client_connection.hpp"

#include <QCoreApplication>

#include <absl/flags/flag.h>

#include <algorithm>
#include <iostream>
#include <memory>

ABSL_FLAG(std::string, address, "127.0.0.1:7001", "IP:PORT to call");
ABSL_FLAG(std::string, target, "/services/rota-planning/check",
          "HTTP request target");
ABSL_FLAG(int, connections, 1, "concurrent connections");
ABSL_FLAG(int, requests, 2000, "total number of requests");

namespace {

using namespace dandelioncrank;
using namespace std::chrono_literals;

/// Keeps one request in flight on each connection.
class closed_loop
{
  public:
    explicit closed_loop(const host_port& address) : address_(address)
    {
        for (int i = 0; i < absl::GetFlag(FLAGS_connections); ++i)
            connections_.push_back(
                std::make_unique<client_connection>(address, http_limits{}));
        started_at_ = steady_now();
        for (std::size_t i = 0; i < connections_.size(); ++i)
            send(i);
    }

    void print_summary()
    {
        std::chrono::duration<double> elapsed = steady_now() - started_at_;
        std::sort(latencies_ms_.begin(), latencies_ms_.end());
        auto percentile = [this](double quantile) {
            auto index = static_cast<std::size_t>(
                quantile * static_cast<double>(latencies_ms_.size() - 1));
            return latencies_ms_.empty() ? 0.0 : latencies_ms_[index];
        };
        std::cout << "{\"connections\":" << connections_.size()
                  << ",\"answered\":" << latencies_ms_.size()
                  << ",\"failed\":" << requests_failed_
                  << ",\"p50_ms\":" << percentile(0.5)
                  << ",\"p99_ms\":" << percentile(0.99) << ",\"per_s\":"
                  << static_cast<double>(latencies_ms_.size()) / elapsed.count()
                  << "}\n";
    }

  private:
    void send(std::size_t index)
    {
        if (requests_sent_ >= absl::GetFlag(FLAGS_requests)) {
            if (requests_done_ >= requests_sent_)
                QCoreApplication::quit();
            return;
        }
        ++requests_sent_;
        auto& connection = connections_[index];
        if (!connection->is_reusable())
            connection =
                std::make_unique<client_connection>(address_, http_limits{});
        http_request request;
        request.target_ = absl::GetFlag(FLAGS_target);
        request.headers_.add("Host", address_.to_text());
        request.headers_.add("X-Work-Ms", "0");
        instant begin = steady_now();
        connection->send(
            request, 20s, [this, index, begin](const client_outcome& outcome) {
                record_outcome(begin, outcome);
                QMetaObject::invokeMethod(
                    connections_[index].get(), [this, index] { send(index); },
                    Qt::QueuedConnection);
            });
    }

    void record_outcome(instant begin, const client_outcome& outcome)
    {
        ++requests_done_;
        const auto* answered = std::get_if<request_answered>(&outcome);
        if (answered != nullptr && answered->response_.status_ == 200)
            latencies_ms_.push_back(to_milliseconds(steady_now() - begin));
        else
            ++requests_failed_;
    }

    host_port address_;
    std::vector<std::unique_ptr<client_connection>> connections_;
    instant started_at_;
    std::vector<double> latencies_ms_;
    int requests_sent_ = 0;
    int requests_done_ = 0;
    int requests_failed_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    settings_reader reader("DANDELIONCRANK_LOOP",
                           {"address", "target", "connections", "requests"});
    parsed_arguments parsed = reader.read(argc, argv);
    if (!parsed.faults_.empty()) {
        std::cerr << parsed.faults_.to_text();
        return 2;
    }
    QCoreApplication application(argc, argv);
    closed_loop loop(
        parse_addresses_or_exit(absl::GetFlag(FLAGS_address)).front());
    int result = application.exec();
    loop.print_summary();
    return result;
}
