#include "peer_budgets.hpp"

#include "http2_session.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// Parts of the memory, by the eighth that client connections may buffer: half
// of it for the group, a sixteenth for senders that are not verified.
constexpr std::size_t verified_factor = 4;
constexpr std::size_t unverified_divisor = 2;
constexpr std::size_t max_unverified_bytes = 16 * 1024 * 1024;

} // namespace

peer_limits peer_limits_of(std::size_t buffer_bytes)
{
    peer_limits limits;
    limits.verified_bytes_ =
        std::min(limits.verified_bytes_, buffer_bytes * verified_factor);
    limits.unverified_bytes_ =
        std::min(max_unverified_bytes, buffer_bytes / unverified_divisor);
    return limits;
}

peer_budgets::peer_budgets(const peer_limits& limits)
    : verified_(limits.verified_bytes_), unverified_(limits.unverified_bytes_)
{
}

std::size_t peer_budgets::max_message_bytes() const
{
    return std::min(static_cast<std::size_t>(dandelioncrank::max_message_bytes),
                    verified_.max_reservation());
}

std::size_t peer_budgets::max_unverified_message_bytes() const
{
    return unverified_.max_reservation();
}

} // namespace dandelioncrank
