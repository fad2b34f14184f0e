#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace dandelioncrank::control {

/// The pending calls of an entry host. A call is either unsent or sent to a
/// leader. Unsent calls are sent in order of arrival, so that no call is
/// decided by an older configuration than one that arrived before it.
class call_queue
{
  public:
    /// Increases with each call, in order of arrival.
    using call_number = std::uint64_t;

    struct pending_call
    {
        client_call call_;
        instant received_at_;
        /// Time by which the final response is due.
        instant deadline_;
        std::function<void(client_response)> on_response_;
        bool is_sent_ = false;
    };

    void add(pending_call item) { calls_.emplace(next_++, std::move(item)); }

    /// Marks all unsent calls as sent, counts the attempt and returns them in
    /// order.
    std::vector<call_number> take_unsent();

    /// Marks a call as unsent after a failed attempt. Does nothing if the call
    /// was sent again or answered since.
    void requeue(call_number number, std::uint32_t attempt,
                 bool may_have_executed);

    /// Marks all sent calls as unsent after a change of leader. The former
    /// leader may have executed them.
    void requeue_sent();

    /// Removes unsent calls whose deadline has passed, and, while no leader is
    /// known, those that have waited too long and were not executed.
    std::vector<pending_call> take_expired(instant now, bool has_leader);

    /// Removes a call to respond to it; empty if it is no longer pending.
    std::optional<pending_call> take(call_number number);

    /// Returns a pending call, or null.
    [[nodiscard]] const pending_call* find(call_number number) const;
    [[nodiscard]] bool has_unsent() const;

  private:
    std::map<call_number, pending_call> calls_;
    call_number next_ = 1;
};

} // namespace dandelioncrank::control
