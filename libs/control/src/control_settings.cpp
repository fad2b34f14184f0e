#include "dandelioncrank/control/control_settings.hpp"

#include "dandelioncrank/http/memory_share.hpp"
#include "dandelioncrank/peer/peer_limits.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <algorithm>

ABSL_FLAG(std::string, host, "", "name of this host");
ABSL_FLAG(std::string, zone, "", "availability zone of this host");
ABSL_FLAG(std::string, internal_address, "",
          "IP:PORT for the other daemons of the group; the port is the same "
          "on every host");
ABSL_FLAG(
    std::string, internal_listen, "",
    "IP:PORT to listen on for them, if internal_address belongs to a proxy");
ABSL_FLAG(std::string, control_address, "",
          "IP:PORT for workers and operators; the port is the same on every "
          "control host");
ABSL_FLAG(std::string, client_address, "",
          "IP:PORT for clients; makes this an entry host");
ABSL_FLAG(std::string, ready_address, "", "IP:PORT for readiness probes");
ABSL_FLAG(std::string, metrics_address, "",
          "IP:PORT for metrics and the state dump; empty for none");
ABSL_FLAG(std::string, seeds, "",
          "control addresses of some control hosts, separated by commas");
ABSL_FLAG(std::string, zones, "",
          "availability zones of the deployment, separated by commas; only "
          "these and those of workers and hosts can be evacuated");
ABSL_FLAG(std::string, data_dir, "", "directory for durable state");
ABSL_FLAG(bool, bootstrap, false, "first start of the group");
ABSL_FLAG(int, tolerated_hosts, 1,
          "number of control hosts, with their disks, that may fail at the "
          "same time");
ABSL_FLAG(int, descriptors, 1024,
          "maximum number of file descriptors; connections stay below it");
ABSL_FLAG(
    absl::Duration, catch_up_time, absl::Seconds(4),
    "time within which a new control host must count towards fault tolerance");
ABSL_FLAG(absl::Duration, stop_time, absl::Seconds(6),
          "time from the stop signal to the end of the process");
ABSL_FLAG(absl::Duration, longest_lease, absl::Seconds(6),
          "longest lease that workers accept");
ABSL_FLAG(absl::Duration, announce_interval, absl::Milliseconds(1500),
          "interval between announcements of a worker");
ABSL_FLAG(int, body_kib, 1024, "maximum size of a request body, in KiB");
ABSL_FLAG(int, memory_mib, 0,
          "memory of this process's machine, in MiB; an eighth of it is for "
          "buffers of connections. 0 for the memory that the system reports");
ABSL_FLAG(int, state_mib, dandelioncrank::pool::default_weight_limit >> 20,
          "memory for the state and its copies, in MiB; new jobs are refused "
          "above it");
ABSL_FLAG(std::string, log_level, "info",
          "minimum log level: debug, info, warning, error");

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

const char* const help_text =
    "A daemon of a group; it finds the other daemons through seed addresses.\n"
    "\n"
    "Settings are read from the settings file (one --name=value per line),\n"
    "environment variables (in brackets) and flags; later ones override\n"
    "earlier ones. SIGTERM shuts down gracefully; SIGHUP re-reads the file\n"
    "and adds new seeds; other changes need a restart.\n"
    "\n"
    "settings:\n";

// Number of missed announcements after which a worker gets no new work.
constexpr int missed_announcements = 3;

settings_reader make_reader()
{
    return {"DANDELIONCRANK",
            {"host",
             "zone",
             "internal_address",
             "control_address",
             "internal_listen",
             "client_address",
             "ready_address",
             "metrics_address",
             "seeds",
             "zones",
             "data_dir",
             "bootstrap",
             "tolerated_hosts",
             "descriptors",
             "catch_up_time",
             "stop_time",
             "longest_lease",
             "announce_interval",
             "body_kib",
             "state_mib",
             "memory_mib",
             "log_level"}};
}

duration check_range(const std::string& name, absl::Duration value,
                     duration min, duration max, findings& faults)
{
    duration result(absl::ToInt64Microseconds(value));
    if (result >= min && result <= max)
        return result;
    faults.add({"--" + name}, absl::FormatDuration(value) + " is out of range",
               "use " + absl::FormatDuration(absl::FromChrono(min)) + " to " +
                   absl::FormatDuration(absl::FromChrono(max)));
    return min;
}

host_port parse_optional_address(const std::string& text,
                                 const std::string& name, findings& faults)
{
    if (text.empty())
        return {};
    return parse_host_port(text, "--" + name, faults);
}

void read_addresses(control_settings& settings, findings& faults)
{
    settings.internal_address_ = parse_host_port(
        absl::GetFlag(FLAGS_internal_address), "--internal_address", faults);
    settings.internal_listen_ = parse_optional_address(
        absl::GetFlag(FLAGS_internal_listen), "internal_listen", faults);
    settings.control_address_ = parse_optional_address(
        absl::GetFlag(FLAGS_control_address), "control_address", faults);
    settings.client_address_ = parse_optional_address(
        absl::GetFlag(FLAGS_client_address), "client_address", faults);
    settings.ready_address_ = parse_optional_address(
        absl::GetFlag(FLAGS_ready_address), "ready_address", faults);
    settings.metrics_address_ = parse_optional_address(
        absl::GetFlag(FLAGS_metrics_address), "metrics_address", faults);
    std::string seeds = absl::GetFlag(FLAGS_seeds);
    for (const auto& seed : absl::StrSplit(seeds, ',', absl::SkipEmpty()))
        settings.seeds_.push_back(parse_host_port(
            std::string(seed.data(), seed.size()), "--seeds", faults));
}

void validate(const control_settings& settings, findings& faults)
{
    if (settings.host_.empty())
        faults.add({"--host"}, "not set", "set the name of this host");
    if (settings.zone_.empty())
        faults.add({"--zone"}, "not set",
                   "set the availability zone of this host");
    if (settings.seeds_.empty())
        faults.add({"--seeds"}, "no seeds given",
                   "give the control address of at least one control host");
    bool is_control = settings.control_address_.port_ != 0;
    if (is_control == settings.is_entry())
        faults.add({"--control_address"},
                   "a host serves either clients or workers",
                   "set exactly one of --control_address and --client_address");
    if (is_control && settings.data_dir_.empty())
        faults.add({"--data_dir"}, "a control host needs a data directory",
                   "set a directory on a local disk");
}

std::set<zone_name> read_zones()
{
    std::set<zone_name> zones;
    for (const auto& zone : absl::StrSplit(absl::GetFlag(FLAGS_zones), ',',
                                           absl::SkipWhitespace())) {
        auto name = absl::StripAsciiWhitespace(zone);
        zones.emplace(std::string(name.data(), name.size()));
    }
    return zones;
}

log_level read_log_level(findings& faults)
{
    std::string text = absl::GetFlag(FLAGS_log_level);
    if (text == "debug")
        return log_level::debug;
    if (text == "warning")
        return log_level::warning;
    if (text == "error")
        return log_level::error;
    if (text != "info")
        faults.add({"--log_level"}, "'" + text + "' is not a log level",
                   "use debug, info, warning or error");
    return log_level::info;
}

// One descriptor in so many is for connections from other daemons. Clients'
// connections and these never add up to more than the descriptors.
constexpr std::size_t peer_descriptor_divisor = 8;

} // namespace

std::size_t control_settings::peer_connections() const
{
    if (is_entry())
        return 0;
    return std::min(peer_limits{}.connections_,
                    static_cast<std::size_t>(descriptors_) /
                        peer_descriptor_divisor);
}

control_settings_result read_control_settings(const std::string& file, int argc,
                                              const char* const* argv)
{
    control_settings_result result;
    settings_reader reader = make_reader();
    result.help_ = help_text + reader.help();
    findings& faults = result.faults_;
    if (!file.empty())
        reader.read_file(file, faults);
    parsed_arguments parsed = reader.read(argc, argv);
    faults.add_all(parsed.faults_);
    result.help_requested_ = parsed.help_requested_;
    for (const std::string& argument : parsed.positional_)
        faults.add({argument}, "unexpected argument", "settings begin with --");
    control_settings& settings = result.settings_;
    settings.host_ = host_name(absl::GetFlag(FLAGS_host));
    settings.zone_ = zone_name(absl::GetFlag(FLAGS_zone));
    settings.zones_ = read_zones();
    settings.data_dir_ = absl::GetFlag(FLAGS_data_dir);
    settings.bootstrap_ = absl::GetFlag(FLAGS_bootstrap);
    read_addresses(settings, faults);
    settings.catch_up_time_ = check_range(
        "catch_up_time", absl::GetFlag(FLAGS_catch_up_time), 1s, 1h, faults);
    settings.stop_time_ = check_range(
        "stop_time", absl::GetFlag(FLAGS_stop_time), 1s, 1h, faults);
    pool::owner_timing& timing = settings.timing_;
    timing.longest_lease_ = check_range(
        "longest_lease", absl::GetFlag(FLAGS_longest_lease), 2s, 1h, faults);
    timing.lease_ = pool::lease_within(timing.longest_lease_);
    timing.silence_timeout_ =
        missed_announcements *
        check_range("announce_interval", absl::GetFlag(FLAGS_announce_interval),
                    100ms, 1min, faults);
    int body_kib = absl::GetFlag(FLAGS_body_kib);
    if (body_kib < 1 || body_kib > 64 * 1024)
        faults.add({"--body_kib"},
                   std::to_string(body_kib) + " is out of range",
                   "use 1 to 65536");
    settings.limits_.body_bytes_ = static_cast<std::size_t>(body_kib) * 1024;
    int state_mib = absl::GetFlag(FLAGS_state_mib);
    if (state_mib < 1 || state_mib > 1024 * 1024)
        faults.add({"--state_mib"},
                   std::to_string(state_mib) + " is out of range",
                   "use 1 to 1048576");
    settings.weight_limit_ = static_cast<std::uint64_t>(state_mib) << 20;
    int memory_mib = absl::GetFlag(FLAGS_memory_mib);
    if (memory_mib < 0 || memory_mib > 1024 * 1024)
        faults.add({"--memory_mib"},
                   std::to_string(memory_mib) + " is out of range",
                   "use 0 to 1048576");
    settings.buffer_bytes_ =
        buffer_bytes_of(static_cast<std::size_t>(std::max(0, memory_mib)));
    settings.descriptors_ = absl::GetFlag(FLAGS_descriptors);
    if (settings.descriptors_ < 64)
        faults.add({"--descriptors"},
                   std::to_string(settings.descriptors_) + " is too low",
                   "use 64 or more");
    int tolerated_hosts = absl::GetFlag(FLAGS_tolerated_hosts);
    if (tolerated_hosts < 0 || tolerated_hosts > 3)
        faults.add({"--tolerated_hosts"},
                   std::to_string(tolerated_hosts) + " is out of range",
                   "use 0 to 3");
    settings.tolerated_hosts_ =
        static_cast<std::size_t>(std::clamp(tolerated_hosts, 0, 3));
    settings.log_level_ = read_log_level(faults);
    if (!result.help_requested_)
        validate(settings, faults);
    return result;
}

} // namespace dandelioncrank::control
