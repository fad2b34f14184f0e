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
    using number = std::uint64_t;

    struct open_call
    {
        client_call call_;
        instant came_at_;
        /// When it gets its last answer.
        instant deadline_;
        std::function<void(client_answer)> on_answer_;
        bool is_asked_ = false;
    };

    void add(open_call item) { calls_.emplace(next_++, std::move(item)); }

    /// Calls to ask now, in order; they count as asked once more.
    std::vector<number> take_waiting();

    /// An attempt has failed and its call waits again. Says nothing of a call
    /// that was asked again since, or answered.
    void put_back(number who, std::uint32_t attempt, bool may_be_done);

    /// The leader was replaced: what it was asked may be done, and waits.
    void put_back_asked();

    /// Takes out the calls that wait in vain: their time is over, or no leader
    /// is known and they have waited for one without ever being asked.
    std::vector<open_call> take_overdue(instant now, bool has_leader);

    /// Takes a call out to answer it; nothing if that was done.
    std::optional<open_call> take(number who);

    /// An open call, or null.
    [[nodiscard]] const open_call* find(number who) const;
    [[nodiscard]] bool has_waiting() const;

  private:
    std::map<number, open_call> calls_;
    number next_ = 1;
};

} // namespace dandelioncrank::control
