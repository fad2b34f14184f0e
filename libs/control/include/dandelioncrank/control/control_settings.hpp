#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/pool/pool_owner.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Validated settings of a daemon that discovers its group through seed
/// addresses.
struct control_settings
{
    host_name host_;
    zone_name zone_;
    /// Address at which the other daemons of the group reach this one.
    host_port internal_address_;
    /// Address on which this daemon listens for them, if it differs.
    host_port internal_listen_;
    /// Address for workers and operators; port 0 on entry hosts.
    host_port control_address_;
    /// Address for clients; port 0 on control hosts.
    host_port client_address_;
    host_port ready_address_;
    host_port metrics_address_;
    /// Control addresses of some control hosts.
    std::vector<host_port> seeds_;
    /// Zones of the deployment; empty if they are not known in advance.
    std::set<zone_name> zones_;
    std::string data_dir_;
    /// Number of control hosts, with their disks, that may fail at the same
    /// time.
    std::size_t tolerated_hosts_ = 1;
    /// Time within which a new control host must count towards fault tolerance.
    /// The vote of a lost host is reassigned within it.
    duration catch_up_time_ = std::chrono::seconds(4);
    /// Maximum number of file descriptors of the process.
    int descriptors_ = 1024;
    /// Whether this is the first start of the whole group.
    bool bootstrap_ = false;
    /// Time from the stop signal to the end of the process.
    duration stop_time_ = std::chrono::seconds(6);
    pool::owner_timing timing_;
    /// Limit of the memory for the replicated state; see state_weight.hpp.
    std::uint64_t weight_limit_ = pool::default_weight_limit;
    http_limits limits_;
    /// Bytes that all connections of clients, workers and operators may buffer
    /// together.
    std::size_t buffer_bytes_ = 48 * 1024 * 1024;
    log_level log_level_ = log_level::info;

    [[nodiscard]] bool is_entry() const { return client_address_.port_ != 0; }
    /// Number of descriptors that are kept for connections from other daemons;
    /// entry hosts accept none.
    [[nodiscard]] std::size_t peer_connections() const;
};

struct control_settings_result
{
    control_settings settings_;
    bool help_requested_ = false;
    std::string help_;
    findings faults_;
};

/// Reads the settings file, environment variables and flags, each overriding
/// the one before. Reports all faults, not only the first.
[[nodiscard]] control_settings_result
read_control_settings(const std::string& file, int argc,
                      const char* const* argv);

} // namespace dandelioncrank::control
