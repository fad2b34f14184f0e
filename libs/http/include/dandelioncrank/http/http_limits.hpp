#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstddef>

namespace dandelioncrank {

/// Limits of an HTTP server and its connections.
struct http_limits
{
    /// Maximum size of the start line and header fields together.
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 4 * 1024 * 1024;
    /// Timeout from the first byte of a request to the end of its header.
    duration header_time_ = std::chrono::seconds(5);
    /// Timeout from the end of the header to the end of the body.
    duration body_time_ = std::chrono::seconds(30);
    /// Keep-alive timeout: wait for the next request on a connection.
    duration idle_time_ = std::chrono::seconds(60);
    /// Timeout for the peer to receive a response.
    duration write_time_ = std::chrono::seconds(30);
    /// Maximum number of open connections per server.
    std::size_t connections_ = 10000;
    /// Size of the kernel's buffers of a connection, for each direction; the
    /// kernel doubles it for its own overhead. 0 leaves it to the kernel.
    std::size_t socket_buffer_bytes_ = 64 * 1024;
};

} // namespace dandelioncrank
