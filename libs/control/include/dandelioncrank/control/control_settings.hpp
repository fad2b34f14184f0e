#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/pool/pool_owner.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Checked settings of a daemon that finds its group by seed addresses.
struct control_settings
{
    host_name host_;
    zone_name zone_;
    /// Where the other daemons of the group reach this one.
    host_port internal_address_;
    /// Where this daemon listens for them, if that is another address.
    host_port internal_listen_;
    /// Where workers and operators call; port 0 on entry hosts.
    host_port control_address_;
    /// Where clients call; port 0 on control hosts.
    host_port client_address_;
    host_port ready_address_;
    host_port metrics_address_;
    /// Control addresses of some control hosts.
    std::vector<host_port> seeds_;
    std::string data_dir_;
    /// Control hosts that may be lost at once with their disks.
    std::size_t tolerated_hosts_ = 1;
    /// Time that a new control host has until it counts; a lost host's vote
    /// is another's before then.
    duration catch_up_time_ = std::chrono::seconds(4);
    /// Descriptors that the process may have.
    int descriptors_ = 1024;
    /// First start of the whole group.
    bool bootstrap_ = false;
    /// Time a process has between the order to stop and its end.
    duration stop_time_ = std::chrono::seconds(6);
    pool::owner_timing timing_;
    http_limits limits_;
    log_level log_level_ = log_level::info;

    [[nodiscard]] bool is_entry() const { return client_address_.port_ != 0; }
};

struct control_settings_result
{
    control_settings settings_;
    bool help_requested_ = false;
    std::string help_;
    findings faults_;
};

/// Reads the settings file, variables and flags, the later before the
/// earlier; every fault is reported, not only the first.
[[nodiscard]] control_settings_result
read_control_settings(const std::string& file, int argc,
                      const char* const* argv);

} // namespace dandelioncrank::control
