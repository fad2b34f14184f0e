#include "dandelioncrank/http/buffer_budget.hpp"

#include "dandelioncrank/http/buffer_account.hpp"

#include <algorithm>
#include <vector>

namespace dandelioncrank {

namespace {

// Percentages of the limit. Reservations for large bodies end at the first;
// from the second on, buffers are reclaimed until the third is reached.
constexpr std::size_t reservable_percent = 60;
constexpr std::size_t reclaim_percent = 85;
constexpr std::size_t reclaimed_percent = 70;
constexpr std::size_t hundred_percent = 100;
// A sender that has sent nothing for this long loses its reservation if others
// wait.
constexpr duration stall_time = std::chrono::seconds(1);

} // namespace

buffer_budget::buffer_budget(std::size_t limit_bytes)
    : limit_bytes_(limit_bytes)
{
}

std::size_t buffer_budget::share_of_limit(std::size_t percent) const
{
    return limit_bytes_ / hundred_percent * percent;
}

bool buffer_budget::is_nearly_exhausted() const
{
    return used_bytes_ >= share_of_limit(reclaim_percent);
}

void buffer_budget::set_unread_bytes(std::size_t bytes_per_connection)
{
    if (bytes_per_connection > 0)
        max_waiting_ =
            std::max<std::size_t>(1, limit_bytes_ / bytes_per_connection);
}

std::size_t buffer_budget::max_reservation() const
{
    return share_of_limit(reservable_percent);
}

// A body within the limits is served when no other one is held, whatever the
// limit of the buffers is.
bool buffer_budget::has_room(const buffer_account& account,
                             std::size_t bytes) const
{
    std::size_t own = account.reserved_bytes_ > 0 ? 1 : 0;
    std::size_t others = used_bytes_ - account.charged_bytes_;
    return reservations_ == own || others + bytes <= max_reservation();
}

bool buffer_budget::reserve(buffer_account& account, std::size_t bytes)
{
    if (waiting_.empty() && has_room(account, bytes)) {
        grant(account, bytes);
        return true;
    }
    bool is_waiting = account.wanted_bytes_ > 0;
    if (!is_waiting && waiting_.size() >= max_waiting_)
        return false;
    if (!is_waiting)
        waiting_.push_back(&account);
    account.wanted_bytes_ = bytes;
    return false;
}

void buffer_budget::grant(buffer_account& account, std::size_t bytes)
{
    if (account.reserved_bytes_ == 0)
        ++reservations_;
    account.reserved_bytes_ = bytes;
    charge(account);
}

void buffer_budget::charge(buffer_account& account)
{
    std::size_t needed = account.needed_bytes();
    bool is_less = needed < account.charged_bytes_;
    used_bytes_ += needed - account.charged_bytes_;
    account.charged_bytes_ = needed;
    if (is_less)
        grant_waiting();
    else if (is_nearly_exhausted())
        reclaim();
}

void buffer_budget::grant_waiting()
{
    if (is_granting_ || is_reclaiming_)
        return;
    is_granting_ = true;
    while (!waiting_.empty()) {
        buffer_account& first = *waiting_.front();
        std::size_t bytes = first.wanted_bytes_;
        if (!has_room(first, bytes))
            break;
        waiting_.pop_front();
        first.wanted_bytes_ = 0;
        grant(first, bytes);
        if (first.on_granted_)
            first.on_granted_();
    }
    is_granting_ = false;
}

// Reclaims in batches, so that a flood of small buffers does not cost a search
// each.
void buffer_budget::reclaim()
{
    if (is_reclaiming_)
        return;
    is_reclaiming_ = true;
    std::vector<buffer_account*> holders;
    for (buffer_account* account : accounts_) {
        if (account->is_reclaimable_ && account->charged_bytes_ > 0)
            holders.push_back(account);
    }
    // Among equals, the one without progress for the longest time is first.
    std::sort(holders.begin(), holders.end(),
              [](const buffer_account* left, const buffer_account* right) {
                  if (left->charged_bytes_ != right->charged_bytes_)
                      return left->charged_bytes_ > right->charged_bytes_;
                  return left->last_progress_ < right->last_progress_;
              });
    for (buffer_account* account : holders) {
        if (used_bytes_ <= share_of_limit(reclaimed_percent))
            break;
        if (account->on_reclaim_)
            account->on_reclaim_();
    }
    is_reclaiming_ = false;
    grant_waiting();
}

void buffer_budget::reclaim_stalled(instant now)
{
    if (waiting_.empty() || is_reclaiming_)
        return;
    is_reclaiming_ = true;
    std::vector<buffer_account*> stalled;
    for (buffer_account* account : accounts_) {
        bool is_stalled = account->is_reclaimable_ &&
                          account->reserved_bytes_ > 0 &&
                          now - account->last_progress_ >= stall_time;
        if (is_stalled)
            stalled.push_back(account);
    }
    for (buffer_account* account : stalled) {
        if (account->on_reclaim_)
            account->on_reclaim_();
    }
    is_reclaiming_ = false;
    grant_waiting();
}

} // namespace dandelioncrank
