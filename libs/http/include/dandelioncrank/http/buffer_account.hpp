#pragma once

#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/http/buffer_budget.hpp"

#include <cstddef>
#include <functional>

namespace dandelioncrank {

/// The part of a buffer budget that one connection holds.
class buffer_account
{
  public:
    /// The budget must outlive the account, or the account be closed before.
    explicit buffer_account(buffer_budget& budget);
    ~buffer_account();

    buffer_account(const buffer_account&) = delete;
    buffer_account& operator=(const buffer_account&) = delete;

    /// Sets the bytes that the connection buffers. May reclaim buffers, also
    /// those of this account.
    void set_buffered(std::size_t bytes);
    /// Reserves room for a body; the bytes replace an earlier reservation. If
    /// this returns false, on_granted_ is called once there is room, unless
    /// the account is not waiting because too many others are.
    bool reserve(std::size_t bytes, instant now);
    void release_reservation();
    /// Notes that the connection has received a part of its body.
    void record_progress(instant now) { last_progress_ = now; }
    /// Releases all and leaves the budget; later calls have no effect.
    void close();
    /// Accounts that are not reclaimable keep their buffers.
    void set_reclaimable(bool value) { is_reclaimable_ = value; }

    [[nodiscard]] bool is_waiting() const { return wanted_bytes_ > 0; }
    [[nodiscard]] std::size_t charged_bytes() const { return charged_bytes_; }
    /// Valid until the account is closed.
    [[nodiscard]] buffer_budget& budget() const { return *budget_; }

    std::function<void()> on_granted_;
    /// The connection must give up its buffers.
    std::function<void()> on_reclaim_;

  private:
    friend class buffer_budget;

    [[nodiscard]] std::size_t needed_bytes() const;

    buffer_budget* budget_;
    std::size_t buffered_bytes_ = 0;
    std::size_t reserved_bytes_ = 0;
    /// Size of the reservation that the account waits for.
    std::size_t wanted_bytes_ = 0;
    std::size_t charged_bytes_ = 0;
    instant last_progress_{};
    bool is_reclaimable_ = true;
};

} // namespace dandelioncrank
