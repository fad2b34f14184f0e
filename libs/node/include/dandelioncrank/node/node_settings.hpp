#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

#include <string>
#include <vector>

namespace dandelioncrank {

/// Entry of one daemon in --hosts.
struct peer_setting
{
    host_name name_;
    zone_name zone_;
    host_port address_;
    host_port control_address_;
    bool is_voter_ = false;
};

/// Validated settings of one daemon.
struct node_settings
{
    host_name host_;
    zone_name zone_;
    bool is_gateway_ = false;
    bool is_scheduler_ = false;
    bool is_voter_ = false;
    host_port caller_address_;
    host_port control_address_;
    host_port peer_address_;
    host_port operator_address_;
    /// All daemons, including this one.
    std::vector<peer_setting> hosts_;
    std::string data_dir_;
    /// Set on the first start of the cluster, on its initial voters.
    bool bootstrap_ = false;
    int loops_ = 2;
    duration lease_ = std::chrono::seconds(10);
    duration stop_time_ = std::chrono::seconds(30);
    http_limits limits_;
    /// Bytes that all connections of callers, workers and operators may buffer
    /// together.
    std::size_t buffer_bytes_ = 48 * 1024 * 1024;
    log_level log_level_ = log_level::info;
    std::string operator_token_;
    std::string worker_token_;
};

struct settings_result
{
    node_settings settings_;
    bool help_requested_ = false;
    std::string help_;
    findings faults_;
};

/// Reads and validates flags and DANDELIONCRANK_ environment variables.
/// Reports all errors, not only the first.
[[nodiscard]] settings_result read_node_settings(int argc,
                                                 const char* const* argv);

} // namespace dandelioncrank
