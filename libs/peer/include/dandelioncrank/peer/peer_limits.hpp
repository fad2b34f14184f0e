#pragma once

#include <cstddef>

namespace dandelioncrank {

/// Bounds of what other daemons, and senders that only claim to be one, can
/// make a peer_server hold.
struct peer_limits
{
    /// Bytes held for all senders that were verified together.
    std::size_t verified_bytes_ = 128 * 1024 * 1024;
    /// Bytes held for all other senders together.
    std::size_t unverified_bytes_ = 128 * 1024 * 1024;
    /// Maximum number of open connections.
    std::size_t connections_ = 512;
};

/// Limits that follow from the bytes that all client connections of a process
/// may buffer, which are an eighth of its memory.
[[nodiscard]] peer_limits peer_limits_of(std::size_t buffer_bytes);

} // namespace dandelioncrank
