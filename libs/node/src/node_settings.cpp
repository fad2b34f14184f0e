#include "dandelioncrank/node/node_settings.hpp"

#include "dandelioncrank/http/memory_share.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <algorithm>
#include <set>

ABSL_FLAG(std::string, host, "", "name of this entry host");
ABSL_FLAG(std::string, zone, "", "availability zone of this entry host");
ABSL_FLAG(std::string, roles, "gateway,scheduler",
          "comma-separated roles of this host: gateway, scheduler, voter");
ABSL_FLAG(std::string, caller_address, "127.0.0.1:7001", "IP:PORT for callers");
ABSL_FLAG(std::string, control_address, "127.0.0.1:7002",
          "IP:PORT for endpoints, workers and operators");
ABSL_FLAG(std::string, peer_address, "127.0.0.1:7003",
          "IP:PORT for other daemons");
ABSL_FLAG(std::string, operator_address, "127.0.0.1:7004",
          "IP:PORT for the state dump and metrics; do not expose it publicly");
ABSL_FLAG(std::string, hosts, "",
          "all daemons, NAME/ZONE/PEER_IP:PORT/CONTROL_IP:PORT[/voter], "
          "comma-separated; empty for a single daemon");
ABSL_FLAG(std::string, data_dir, "",
          "directory for durable state; required for voters");
ABSL_FLAG(bool, bootstrap, false,
          "set on the first start of the initial voters only");
ABSL_FLAG(int, loops, 2, "threads that serve callers, 1 to 64");
ABSL_FLAG(absl::Duration, lease, absl::Seconds(10),
          "time after which an unreachable worker has stopped its tasks");
ABSL_FLAG(absl::Duration, stop_time, absl::Seconds(30),
          "maximum wait for requests in flight on graceful shutdown");
ABSL_FLAG(int, header_kib, 16, "maximum size of a request's header, in KiB");
ABSL_FLAG(int, body_kib, 4096, "maximum size of a request's body, in KiB");
ABSL_FLAG(absl::Duration, header_time, absl::Seconds(5),
          "timeout for receiving a request's header");
ABSL_FLAG(absl::Duration, body_time, absl::Seconds(30),
          "timeout for receiving a request's body");
ABSL_FLAG(absl::Duration, idle_time, absl::Seconds(60),
          "timeout after which an idle caller connection is closed");
ABSL_FLAG(int, connections, 10000,
          "maximum open caller connections per thread");
ABSL_FLAG(int, memory_mib, 0,
          "memory of this process's machine, in MiB; an eighth of it is for "
          "buffers of connections. 0 for the memory that the system reports");
ABSL_FLAG(std::string, log_level, "info",
          "minimum level logged: debug, info, warning, error");
ABSL_FLAG(std::string, operator_token, "",
          "bearer token required of operators; empty for none");
ABSL_FLAG(std::string, worker_token, "",
          "bearer token required of workers and endpoints; empty for none");

namespace dandelioncrank {

namespace {

const char* const help_text =
    "dandelioncrankd: scheduler daemon, one per entry host\n"
    "\n"
    "usage: dandelioncrankd --host=NAME --zone=ZONE [settings]\n"
    "\n"
    "A setting is a flag or an environment variable (in brackets). A flag\n"
    "overrides a variable, and a variable overrides the default. SIGTERM\n"
    "starts a graceful shutdown: new requests are rejected, requests in\n"
    "flight are completed.\n"
    "\n"
    "A single daemon with all roles:\n"
    "  dandelioncrankd --host=h1 --zone=leon --roles=gateway,scheduler,voter"
    " \\\n"
    "    --data_dir=data --bootstrap\n"
    "\n"
    "settings:\n";

settings_reader make_reader()
{
    return {"DANDELIONCRANK",
            {"host",
             "zone",
             "roles",
             "caller_address",
             "control_address",
             "peer_address",
             "operator_address",
             "hosts",
             "data_dir",
             "bootstrap",
             "loops",
             "lease",
             "stop_time",
             "header_kib",
             "body_kib",
             "header_time",
             "body_time",
             "idle_time",
             "connections",
             "memory_mib",
             "log_level",
             "operator_token",
             "worker_token"}};
}

/// Converts flags to settings and collects errors.
class settings_checker
{
  public:
    explicit settings_checker(settings_result& result)
        : settings_(result.settings_), faults_(result.faults_)
    {
    }

    void check()
    {
        read_identity();
        read_roles();
        read_addresses();
        read_hosts();
        read_limits();
        check_data_dir();
    }

  private:
    void read_identity()
    {
        settings_.host_ = host_name(absl::GetFlag(FLAGS_host));
        settings_.zone_ = zone_name(absl::GetFlag(FLAGS_zone));
        if (settings_.host_.empty())
            faults_.add({"--host"}, "value is missing",
                        "specify the name of this entry host");
        if (settings_.host_.str().find('.') != std::string::npos)
            faults_.add({"--host"}, "value contains a dot",
                        "use letters, digits and '-'");
        if (settings_.zone_.empty())
            faults_.add({"--zone"}, "value is missing",
                        "specify the availability zone of this host");
        settings_.operator_token_ = absl::GetFlag(FLAGS_operator_token);
        settings_.worker_token_ = absl::GetFlag(FLAGS_worker_token);
    }

    void read_roles()
    {
        std::string roles = absl::GetFlag(FLAGS_roles);
        for (const auto& part : absl::StrSplit(roles, ',', absl::SkipEmpty())) {
            std::string role(part.data(), part.size());
            if (role == "gateway")
                settings_.is_gateway_ = true;
            else if (role == "scheduler")
                settings_.is_scheduler_ = true;
            else if (role == "voter")
                settings_.is_voter_ = true;
            else
                faults_.add({"--roles"}, "unknown role '" + role + "'",
                            "use gateway, scheduler and voter");
        }
        settings_.bootstrap_ = absl::GetFlag(FLAGS_bootstrap);
    }

    void read_addresses()
    {
        settings_.caller_address_ = parse_host_port(
            absl::GetFlag(FLAGS_caller_address), "--caller_address", faults_);
        settings_.control_address_ = parse_host_port(
            absl::GetFlag(FLAGS_control_address), "--control_address", faults_);
        settings_.peer_address_ = parse_host_port(
            absl::GetFlag(FLAGS_peer_address), "--peer_address", faults_);
        settings_.operator_address_ =
            parse_host_port(absl::GetFlag(FLAGS_operator_address),
                            "--operator_address", faults_);
    }

    void read_hosts()
    {
        std::string text = absl::GetFlag(FLAGS_hosts);
        std::set<host_name> names;
        for (const auto& part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
            read_host(std::string(part.data(), part.size()));
            if (!settings_.hosts_.empty() &&
                !names.insert(settings_.hosts_.back().name_).second)
                faults_.add({"--hosts"},
                            "host '" + settings_.hosts_.back().name_.str() +
                                "' is listed more than once",
                            "remove the duplicates");
        }
        if (settings_.hosts_.empty()) {
            settings_.hosts_.push_back(
                {settings_.host_, settings_.zone_, settings_.peer_address_,
                 settings_.control_address_, settings_.is_voter_});
            return;
        }
        check_own_entry();
    }

    void read_host(const std::string& text)
    {
        std::vector<std::string> fields = absl::StrSplit(text, '/');
        bool is_voter = fields.size() == 5 && fields[4] == "voter";
        if (fields.size() != 4 && !is_voter) {
            faults_.add({"--hosts"}, "invalid host entry '" + text + "'",
                        "write NAME/ZONE/IP:PORT/IP:PORT[/voter]");
            return;
        }
        peer_setting item;
        item.name_ = host_name(fields[0]);
        item.zone_ = zone_name(fields[1]);
        item.address_ = parse_host_port(fields[2], "--hosts", faults_);
        item.control_address_ = parse_host_port(fields[3], "--hosts", faults_);
        item.is_voter_ = is_voter;
        settings_.hosts_.push_back(item);
    }

    void check_own_entry()
    {
        auto own_entry =
            std::find_if(settings_.hosts_.begin(), settings_.hosts_.end(),
                         [this](const peer_setting& item) {
                             return item.name_ == settings_.host_;
                         });
        if (own_entry == settings_.hosts_.end()) {
            faults_.add({"--hosts"},
                        "this host, '" + settings_.host_.str() +
                            "', is not listed",
                        "list every daemon, including this one");
            return;
        }
        if (own_entry->zone_ != settings_.zone_)
            faults_.add({"--hosts"},
                        "this host is listed in zone '" +
                            own_entry->zone_.str() + "'",
                        "use the same zone in --hosts and --zone");
        if (own_entry->is_voter_ != settings_.is_voter_)
            faults_.add({"--hosts"},
                        "--hosts and --roles disagree on whether this "
                        "host is a voter",
                        "set the voter role in both or in neither");
    }

    void read_limits()
    {
        settings_.loops_ =
            in_range("--loops", absl::GetFlag(FLAGS_loops), 1, 64);
        settings_.lease_ = in_range("--lease", absl::GetFlag(FLAGS_lease),
                                    absl::Seconds(2), absl::Minutes(10));
        settings_.stop_time_ =
            in_range("--stop_time", absl::GetFlag(FLAGS_stop_time),
                     absl::Seconds(1), absl::Hours(1));
        http_limits& limits = settings_.limits_;
        limits.header_bytes_ = kib_to_bytes(
            "--header_kib", absl::GetFlag(FLAGS_header_kib), 1, 1024);
        limits.body_bytes_ = kib_to_bytes(
            "--body_kib", absl::GetFlag(FLAGS_body_kib), 1, 64 * 1024);
        limits.header_time_ =
            in_range("--header_time", absl::GetFlag(FLAGS_header_time),
                     absl::Milliseconds(10), absl::Minutes(10));
        limits.body_time_ =
            in_range("--body_time", absl::GetFlag(FLAGS_body_time),
                     absl::Milliseconds(10), absl::Hours(1));
        limits.idle_time_ =
            in_range("--idle_time", absl::GetFlag(FLAGS_idle_time),
                     absl::Milliseconds(10), absl::Hours(24));
        limits.connections_ = static_cast<std::size_t>(in_range(
            "--connections", absl::GetFlag(FLAGS_connections), 1, 1000000));
        settings_.buffer_bytes_ = buffer_bytes_of(static_cast<std::size_t>(
            in_range("--memory_mib", absl::GetFlag(FLAGS_memory_mib), 0,
                     1024 * 1024)));
        read_log_level();
    }

    void read_log_level()
    {
        std::string text = absl::GetFlag(FLAGS_log_level);
        if (text == "debug")
            settings_.log_level_ = log_level::debug;
        else if (text == "warning")
            settings_.log_level_ = log_level::warning;
        else if (text == "error")
            settings_.log_level_ = log_level::error;
        else if (text != "info")
            faults_.add({"--log_level"}, "unknown log level '" + text + "'",
                        "use debug, info, warning or error");
    }

    int in_range(const std::string& name, int value, int min_value,
                 int max_value)
    {
        if (value >= min_value && value <= max_value)
            return value;
        faults_.add({name}, std::to_string(value) + " is out of range",
                    "write " + std::to_string(min_value) + " to " +
                        std::to_string(max_value));
        return min_value;
    }

    duration in_range(const std::string& name, absl::Duration value,
                      absl::Duration min_value, absl::Duration max_value)
    {
        if (value < min_value || value > max_value) {
            faults_.add({name},
                        absl::FormatDuration(value) + " is out of range",
                        "write " + absl::FormatDuration(min_value) + " to " +
                            absl::FormatDuration(max_value));
            value = min_value;
        }
        return duration(absl::ToInt64Microseconds(value));
    }

    std::size_t kib_to_bytes(const std::string& name, int value, int min_value,
                             int max_value)
    {
        return static_cast<std::size_t>(
                   in_range(name, value, min_value, max_value)) *
               1024;
    }

    void check_data_dir()
    {
        settings_.data_dir_ = absl::GetFlag(FLAGS_data_dir);
        if (settings_.is_voter_ && settings_.data_dir_.empty())
            faults_.add({"--data_dir"}, "a voter requires a data directory",
                        "specify a directory on a local disk");
        if (settings_.bootstrap_ && !settings_.is_voter_)
            faults_.add({"--bootstrap"}, "only a voter can bootstrap",
                        "add voter to --roles or remove --bootstrap");
    }

    node_settings& settings_;
    findings& faults_;
};

} // namespace

settings_result read_node_settings(int argc, const char* const* argv)
{
    settings_result result;
    settings_reader reader = make_reader();
    parsed_arguments parsed = reader.read(argc, argv);
    result.faults_ = parsed.faults_;
    result.help_requested_ = parsed.help_requested_;
    result.help_ = help_text + reader.help();
    for (const std::string& argument : parsed.positional_)
        result.faults_.add({argument}, "unexpected argument",
                           "settings begin with --");
    if (!result.help_requested_)
        settings_checker(result).check();
    return result;
}

} // namespace dandelioncrank
