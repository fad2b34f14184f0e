// Simulated endpoints of a service: respond after the requested run time and
// log every executed request to a journal.
#include "daemon_client.hpp"
#include "stop_signal.hpp"

#include "dandelioncrank/core/json.hpp"
#include "dandelioncrank/http/http_server.hpp"

#include <QCoreApplication>
#include <QTimer>

#include <absl/flags/flag.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>

ABSL_FLAG(std::string, control, "127.0.0.1:7002",
          "control addresses of daemons, separated by commas");
ABSL_FLAG(std::string, service, "rota-planning", "service of the endpoints");
ABSL_FLAG(std::string, zone, "leon", "availability zone");
ABSL_FLAG(std::string, name, "endpoint", "prefix of the endpoints' names");
ABSL_FLAG(int, count, 1, "number of endpoints in this process");
ABSL_FLAG(int, slots, 8, "concurrent requests per endpoint");
ABSL_FLAG(int, work_ms, 5, "run time of requests without X-Work-Ms, in ms");
ABSL_FLAG(std::string, journal, "",
          "file to which each executed request is appended");
ABSL_FLAG(std::string, token, "", "bearer token for announcements");

namespace {

using namespace dandelioncrank;
using namespace std::chrono_literals;

constexpr auto announce_interval = 500ms;
constexpr duration announce_timeout = 2s;
// A leaving endpoint must receive no new requests after this time.
constexpr duration leave_propagation_limit = 2s;
// Longer than leave_propagation_limit, to detect late requests.
constexpr auto leave_observation_time = 3500ms;

int parse_int_or(const std::string& text, int fallback)
{
    int value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// One endpoint with its own listening port.
class simulated_endpoint
{
  public:
    simulated_endpoint(const std::string& name, daemon_client& client,
                       std::ofstream* journal)
        : name_(name), daemon_client_(client), journal_(journal),
          server_({"127.0.0.1", 0}, {},
                  [this](const http_request& request,
                         const std::shared_ptr<responder>& respond) {
                      handle_request(request, respond);
                  })
    {
        QObject::connect(&timer_, &QTimer::timeout, [this] { announce(); });
        timer_.start(announce_interval);
        announce();
    }

    void begin_leave()
    {
        leaving_ = true;
        leave_began_at_ = steady_now();
        announce();
    }

    [[nodiscard]] bool is_idle() const { return in_flight_ == 0; }
    [[nodiscard]] int max_in_flight() const { return max_in_flight_; }

  private:
    void announce()
    {
        QJsonObject body{
            {"name", to_qt(name_)},
            {"service", to_qt(absl::GetFlag(FLAGS_service))},
            {"zone", to_qt(absl::GetFlag(FLAGS_zone))},
            {"address", QString("127.0.0.1:%1").arg(server_.port())},
            {"slots", absl::GetFlag(FLAGS_slots)},
            {"connections", std::max(64, 2 * absl::GetFlag(FLAGS_slots))},
            {"state", leaving_ ? "leaving" : "serving"}};
        daemon_client_.post("/v1/endpoints/announce", body, announce_timeout,
                            [](const std::optional<QJsonObject>&) {});
    }

    void handle_request(const http_request& request,
                        const std::shared_ptr<responder>& respond)
    {
        ++in_flight_;
        max_in_flight_ = std::max(max_in_flight_, in_flight_);
        std::string id = request.headers_.value_or("X-Request-Id", "-");
        if (journal_ != nullptr) {
            *journal_ << "run " << id << ' ' << name_ << ' ' << in_flight_
                      << '\n';
            bool is_late = leaving_ && steady_now() - leave_began_at_ >
                                           leave_propagation_limit;
            if (is_late)
                *journal_ << "late " << id << ' ' << name_ << '\n';
            journal_->flush();
        }
        int work_ms = parse_int_or(request.headers_.value_or("X-Work-Ms", ""),
                                   absl::GetFlag(FLAGS_work_ms));
        std::string body = name_ + " did " + request.method_ + ' ' +
                           request.target_ + " for " + id + ": " +
                           request.body_;
        QTimer::singleShot(std::chrono::milliseconds(work_ms), Qt::PreciseTimer,
                           &timer_, [this, respond, body] {
                               --in_flight_;
                               http_response response;
                               response.body_ = body;
                               (*respond)(std::move(response));
                           });
    }

    std::string name_;
    daemon_client& daemon_client_;
    std::ofstream* journal_;
    http_server server_;
    QTimer timer_;
    int in_flight_ = 0;
    int max_in_flight_ = 0;
    bool leaving_ = false;
    instant leave_began_at_{};
};

} // namespace

int main(int argc, char** argv)
{
    settings_reader reader("DANDELIONCRANK_STANDIN",
                           {"control", "service", "zone", "name", "count",
                            "slots", "work_ms", "journal", "token"});
    parsed_arguments parsed = reader.read(argc, argv);
    if (parsed.help_requested_ || !parsed.faults_.empty()) {
        std::cerr << parsed.faults_.to_text() << reader.help();
        return parsed.help_requested_ ? 0 : 2;
    }
    QCoreApplication application(argc, argv);
    daemon_client client(parse_addresses_or_exit(absl::GetFlag(FLAGS_control)),
                         absl::GetFlag(FLAGS_token));
    std::unique_ptr<std::ofstream> journal;
    if (!absl::GetFlag(FLAGS_journal).empty())
        journal = std::make_unique<std::ofstream>(absl::GetFlag(FLAGS_journal),
                                                  std::ios::app);
    std::vector<std::unique_ptr<simulated_endpoint>> endpoints;
    for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i)
        endpoints.push_back(std::make_unique<simulated_endpoint>(
            absl::GetFlag(FLAGS_name) + '-' + std::to_string(i), client,
            journal.get()));
    QTimer drain_timer;
    QObject::connect(&drain_timer, &QTimer::timeout, [&endpoints] {
        for (const auto& item : endpoints) {
            if (!item->is_idle())
                return;
        }
        QCoreApplication::quit();
    });
    stop_signal stop([&] {
        for (const auto& item : endpoints)
            item->begin_leave();
        drain_timer.start(leave_observation_time);
    });
    int result = application.exec();
    int max_in_flight = 0;
    for (const auto& item : endpoints)
        max_in_flight = std::max(max_in_flight, item->max_in_flight());
    std::cerr << "maximum requests in flight on one endpoint: " << max_in_flight
              << '\n';
    return result;
}
