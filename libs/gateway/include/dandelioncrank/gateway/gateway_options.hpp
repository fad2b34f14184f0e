#pragma once

#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

namespace dandelioncrank {

struct gateway_options
{
    host_name host_;
    host_port address_;
    int loops_ = 2;
    /// Number of entry hosts that may open connections to one endpoint.
    int sharing_hosts_ = 1;
    http_limits limits_;
    /// Bytes that the callers' connections of one loop may buffer together.
    std::size_t buffer_bytes_ = 16 * 1024 * 1024;
    /// Makes request ids unique across restarts of the daemon.
    std::uint64_t incarnation_ = 0;
};

} // namespace dandelioncrank
