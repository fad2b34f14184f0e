#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstddef>

namespace dandelioncrank {

/// Bounds of one HTTP connection.
struct http_limits
{
    /// Start line and header lines together, in bytes.
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    /// From the first byte of a request to the end of its header lines.
    duration header_time_ = std::chrono::seconds(5);
    /// From the end of the header lines to the end of the body.
    duration body_time_ = std::chrono::seconds(30);
    /// Wait for the next request on an open connection.
    duration idle_time_ = std::chrono::seconds(60);
    /// Wait for the other side to take an answer.
    duration write_time_ = std::chrono::seconds(30);
    /// Open connections of one server.
    std::size_t connections_ = 10000;
};

} // namespace dandelioncrank
