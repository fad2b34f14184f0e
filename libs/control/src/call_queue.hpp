#pragma once

#include "dandelioncrank/control/client_call.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace dandelioncrank::control {

/// The open calls of an entry host. A call waits or is asked at a leader;
/// whatever waits is asked in the order in which it came, so that no call is
/// decided by an older configuration than one that came before it.
class call_queue
{
  public:
    /// Rises with each call that comes.
    using call_number = std::uint64_t;

    struct pending_call
    {
        client_call call_;
        instant received_at_;
        /// When it gets its last answer.
        instant deadline_;
        std::function<void(client_response)> on_response_;
        bool is_sent_ = false;
    };

    void add(pending_call item) { calls_.emplace(next_++, std::move(item)); }

    /// Calls to ask now, in order; they count as asked once more.
    std::vector<call_number> take_unsent();

    /// An attempt has failed and its call waits again. Says nothing of a call
    /// that was asked again since, or answered.
    void requeue(call_number number, std::uint32_t attempt,
                 bool may_have_executed);

    /// The leader was replaced: what it was asked may be done, and waits.
    void requeue_sent();

    /// Takes out the calls that wait in vain: their time is over, or no leader
    /// is known and they have waited for one without ever being asked.
    std::vector<pending_call> take_expired(instant now, bool has_leader);

    /// Takes a call out to answer it; nothing if that was done.
    std::optional<pending_call> take(call_number number);

    /// An open call, or null.
    [[nodiscard]] const pending_call* find(call_number number) const;
    [[nodiscard]] bool has_unsent() const;

  private:
    std::map<call_number, pending_call> calls_;
    call_number next_ = 1;
};

} // namespace dandelioncrank::control
