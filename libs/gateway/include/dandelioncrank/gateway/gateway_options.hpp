#pragma once

#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

namespace dandelioncrank {

struct gateway_options
{
    host_name host_;
    host_port address_;
    int loops_ = 2;
    /// Entry hosts that may open connections to one endpoint.
    int sharing_hosts_ = 1;
    http_limits limits_;
    /// Distinguishes this start of the daemon in request ids.
    std::uint64_t incarnation_ = 0;
};

} // namespace dandelioncrank
