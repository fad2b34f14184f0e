#pragma once

#include "dandelioncrank/core/time.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <set>

namespace dandelioncrank {

class buffer_account;

/// Bounds the bytes that the connections of one event loop buffer together:
/// unread input, unsent output and the bodies of requests in flight.
///
/// Above the first threshold, large bodies wait to be read, as many as the
/// kernel may hold unread. Above the second one, the connections that hold most
/// give up their buffers. What lies between is left to small requests.
class buffer_budget
{
  public:
    explicit buffer_budget(std::size_t limit_bytes);

    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    [[nodiscard]] std::size_t limit_bytes() const { return limit_bytes_; }
    /// Bytes that are buffered or reserved. May be called from any thread.
    [[nodiscard]] std::size_t used_bytes() const { return used_bytes_; }
    [[nodiscard]] bool is_nearly_exhausted() const;
    /// Reservations beyond this size get room only if there are no others.
    [[nodiscard]] std::size_t max_reservation() const;

    /// Sets the bytes that the kernel may hold for a connection that is not
    /// read. As many bodies may wait as hold the limit of the budget there;
    /// without this, any number.
    void set_unread_bytes(std::size_t bytes_per_connection);
    /// Reclaims the reservations of connections that have received nothing for
    /// a while, if others wait for them.
    void reclaim_stalled(instant now);

    // Counters; they may be read from any thread.
    std::atomic<std::uint64_t> connections_refused_ = 0;
    std::atomic<std::uint64_t> connections_closed_idle_ = 0;
    std::atomic<std::uint64_t> connections_closed_for_memory_ = 0;
    std::atomic<std::uint64_t> requests_refused_for_memory_ = 0;
    std::atomic<std::uint64_t> requests_refused_for_size_ = 0;

  private:
    friend class buffer_account;

    [[nodiscard]] std::size_t share_of_limit(std::size_t percent) const;
    [[nodiscard]] bool has_room(const buffer_account& account,
                                std::size_t bytes) const;
    bool reserve(buffer_account& account, std::size_t bytes);
    void grant(buffer_account& account, std::size_t bytes);
    void charge(buffer_account& account);
    void grant_waiting();
    void reclaim();

    std::size_t limit_bytes_;
    std::size_t max_waiting_ = std::numeric_limits<std::size_t>::max();
    std::atomic<std::size_t> used_bytes_ = 0;
    std::size_t reservations_ = 0;
    std::set<buffer_account*> accounts_;
    /// In order of arrival.
    std::list<buffer_account*> waiting_;
    bool is_reclaiming_ = false;
    bool is_granting_ = false;
};

} // namespace dandelioncrank
