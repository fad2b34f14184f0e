// Simulated workers: execute the scheduler's commands under a lease and
// simulate tasks with the run time encoded in the job id.
#include "daemon_client.hpp"
#include "stop_signal.hpp"

#include "dandelioncrank/core/json.hpp"
#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <QCoreApplication>
#include <QJsonArray>
#include <QTimer>
#include <QUuid>

#include <absl/flags/flag.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>

ABSL_FLAG(std::string, control, "127.0.0.1:7002",
          "control addresses of daemons, separated by commas");
ABSL_FLAG(std::string, name, "worker", "prefix of the workers' names");
ABSL_FLAG(int, count, 12, "number of workers in this process");
ABSL_FLAG(int, per_rack, 6, "workers per rack");
ABSL_FLAG(int, accelerators, 8, "accelerators per worker");
ABSL_FLAG(int, processors, 64, "processors per worker");
ABSL_FLAG(int, memory_mb, 131072, "memory per worker, in MB");
ABSL_FLAG(int, run_ms, 2000,
          "run time of tasks whose job id does not end in -NUMBERms, in ms");
ABSL_FLAG(int, heartbeat_ms, 2000, "longest interval between reports, in ms");
ABSL_FLAG(int, lease_ms, 10000,
          "tasks are dropped this time after the newest report with a response "
          "was sent, in ms");
ABSL_FLAG(std::string, journal, "",
          "file to which each task start is appended");
ABSL_FLAG(std::string, token, "", "bearer token for reports");

namespace {

using namespace dandelioncrank;
using namespace std::chrono_literals;

constexpr auto retry_interval = 200ms;
constexpr auto lease_check_interval = 100ms;

/// Run time from the job id: "nightly-300ms" runs for 300 ms.
std::chrono::milliseconds task_run_time(const std::string& job)
{
    int value = absl::GetFlag(FLAGS_run_ms);
    auto dash = job.rfind('-');
    if (dash != std::string::npos && job.ends_with("ms"))
        std::from_chars(job.data() + dash + 1, job.data() + job.size() - 2,
                        value);
    return std::chrono::milliseconds(value);
}

/// One worker and its gang parts.
class simulated_worker : public QObject
{
  public:
    simulated_worker(int index, daemon_client& client, std::ofstream* journal)
        : name_(absl::GetFlag(FLAGS_name) + '-' + std::to_string(index)),
          rack_("rack-" +
                std::to_string(index / absl::GetFlag(FLAGS_per_rack))),
          incarnation_(QUuid::createUuid().toString(QUuid::WithoutBraces)),
          daemon_client_(client), journal_(journal), lease_from_(steady_now())
    {
        QObject::connect(&lease_timer_, &QTimer::timeout,
                         [this] { check_lease(); });
        lease_timer_.start(lease_check_interval);
        send_report();
    }

  private:
    struct part
    {
        part_state state_ = part_state::held;
        int tasks_ = 0;
        int accelerators_ = 0;
    };

    // The daemon holds a report until it has commands or wait_ms elapses
    // (long polling). A state change supersedes the pending report with a
    // new one.
    void send_report()
    {
        std::uint64_t number = ++last_report_;
        instant sent_at = steady_now();
        int wait_ms = absl::GetFlag(FLAGS_heartbeat_ms);
        auto timeout = std::chrono::milliseconds(wait_ms + 2000);
        daemon_client_.post("/v1/workers/report", make_report(wait_ms), timeout,
                            [this, number, sent_at](
                                const std::optional<QJsonObject>& response) {
                                handle_response(number, sent_at, response);
                            });
    }

    // The daemon counts the lease from the arrival of the report, so a lease
    // from the response, which it holds back, would outlast the daemon's.
    void check_lease()
    {
        auto lease = std::chrono::milliseconds(absl::GetFlag(FLAGS_lease_ms));
        if (steady_now() - lease_from_ >= lease)
            parts_.clear();
    }

    QJsonObject make_report(int wait_ms) const
    {
        QJsonArray parts;
        for (const auto& [gang, item] : parts_) {
            parts.append(
                QJsonObject{{"job", to_qt(gang.job_.str())},
                            {"attempt", static_cast<qint64>(gang.attempt_)},
                            {"state", to_qt(to_text(item.state_))},
                            {"tasks", item.tasks_},
                            {"accelerators", item.accelerators_}});
        }
        return {{"name", to_qt(name_)},
                {"rack", to_qt(rack_)},
                {"accelerators", absl::GetFlag(FLAGS_accelerators)},
                {"processors", absl::GetFlag(FLAGS_processors)},
                {"memory_mb", absl::GetFlag(FLAGS_memory_mb)},
                {"incarnation", incarnation_},
                {"epoch", static_cast<qint64>(epoch_)},
                {"applied", static_cast<qint64>(last_applied_command_)},
                {"parts", parts},
                {"wait_ms", wait_ms}};
    }

    void handle_response(std::uint64_t number, instant sent_at,
                         const std::optional<QJsonObject>& response)
    {
        check_lease();
        if (response) {
            lease_from_ = std::max(lease_from_, sent_at);
            for (const QJsonValue& value : (*response)["commands"].toArray())
                execute_command(value.toObject());
        }
        // Superseded by a newer report.
        if (number != last_report_)
            return;
        if (response)
            send_report();
        else
            QTimer::singleShot(retry_interval, this, [this, number] {
                if (number == last_report_)
                    send_report();
            });
    }

    void execute_command(const QJsonObject& command)
    {
        auto epoch = static_cast<std::uint64_t>(command["epoch"].toInteger());
        auto number = static_cast<std::uint64_t>(command["number"].toInteger());
        if (epoch > epoch_) {
            epoch_ = epoch;
            last_applied_command_ = 0;
        }
        if (epoch < epoch_ || number <= last_applied_command_)
            return;
        last_applied_command_ = number;
        gang_key gang{
            job_id(text_of(command["job"]).value_or(std::string())),
            static_cast<std::uint64_t>(command["attempt"].toInteger())};
        QString kind = command["kind"].toString();
        if (kind == "hold")
            hold(gang, command["tasks"].toInt(),
                 command["accelerators"].toInt());
        else if (kind == "start")
            start(gang);
        else if (kind == "checkpoint")
            checkpoint(gang);
        else if (kind == "stop")
            parts_.erase(gang);
    }

    void hold(const gang_key& gang, int tasks, int accelerators)
    {
        int used = 0;
        for (const auto& [key, item] : parts_)
            used += item.tasks_ * item.accelerators_;
        bool fits =
            used + tasks * accelerators <= absl::GetFlag(FLAGS_accelerators);
        parts_[gang] = {fits ? part_state::held : part_state::refused, tasks,
                        fits ? accelerators : 0};
    }

    void start(const gang_key& gang)
    {
        auto found = parts_.find(gang);
        if (found == parts_.end() || found->second.state_ != part_state::held)
            return;
        found->second.state_ = part_state::running;
        if (journal_ != nullptr) {
            *journal_ << "start " << gang.job_.str() << ' ' << gang.attempt_
                      << ' ' << name_ << ' ' << found->second.tasks_ << '\n';
            journal_->flush();
        }
        QTimer::singleShot(task_run_time(gang.job_.str()), this, [this, gang] {
            auto item = parts_.find(gang);
            if (item == parts_.end() ||
                item->second.state_ != part_state::running)
                return;
            item->second.state_ = part_state::finished;
            send_report();
        });
    }

    void checkpoint(const gang_key& gang)
    {
        auto found = parts_.find(gang);
        if (found != parts_.end() &&
            found->second.state_ == part_state::running)
            found->second.state_ = part_state::checkpointed;
    }

    std::string name_;
    std::string rack_;
    QString incarnation_;
    daemon_client& daemon_client_;
    std::ofstream* journal_;
    std::map<gang_key, part> parts_;
    std::uint64_t epoch_ = 0;
    std::uint64_t last_applied_command_ = 0;
    std::uint64_t last_report_ = 0;
    /// When the newest report with a response was sent.
    instant lease_from_;
    QTimer lease_timer_;
};

} // namespace

int main(int argc, char** argv)
{
    settings_reader reader("DANDELIONCRANK_STANDIN",
                           {"control", "name", "count", "per_rack",
                            "accelerators", "processors", "memory_mb", "run_ms",
                            "heartbeat_ms", "lease_ms", "journal", "token"});
    parsed_arguments parsed = reader.read(argc, argv);
    if (parsed.help_requested_ || !parsed.faults_.empty()) {
        std::cerr << parsed.faults_.to_text() << reader.help();
        return parsed.help_requested_ ? 0 : 2;
    }
    QCoreApplication application(argc, argv);
    std::vector<host_port> addresses =
        parse_addresses_or_exit(absl::GetFlag(FLAGS_control));
    std::unique_ptr<std::ofstream> journal;
    if (!absl::GetFlag(FLAGS_journal).empty())
        journal = std::make_unique<std::ofstream>(absl::GetFlag(FLAGS_journal),
                                                  std::ios::app);
    daemon_client client(addresses, absl::GetFlag(FLAGS_token));
    std::vector<std::unique_ptr<simulated_worker>> workers;
    for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i)
        workers.push_back(
            std::make_unique<simulated_worker>(i, client, journal.get()));
    stop_signal stop([] { QCoreApplication::quit(); });
    return application.exec();
}
