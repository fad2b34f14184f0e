#pragma once

#include "dandelioncrank/http/buffer_budget.hpp"
#include "dandelioncrank/peer/peer_limits.hpp"

#include <cstddef>
#include <cstdint>

namespace dandelioncrank {

/// What the connections of a peer_server may hold together. Senders that are
/// not verified have a budget of their own, so that a crowd of them takes
/// nothing from the group.
class peer_budgets
{
  public:
    explicit peer_budgets(const peer_limits& limits);

    /// Larger messages never get room and are refused.
    [[nodiscard]] std::size_t max_message_bytes() const;
    /// Larger messages wait until their sender is verified.
    [[nodiscard]] std::size_t max_unverified_message_bytes() const;

    buffer_budget verified_;
    buffer_budget unverified_;
    std::uint64_t messages_refused_ = 0;
};

} // namespace dandelioncrank
