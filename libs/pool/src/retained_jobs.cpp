#include "dandelioncrank/pool/retained_jobs.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Largest difference between two commands that counts in full: more may be a
// step of a wall clock.
constexpr std::int64_t max_clock_advance_ms = 10'000;
// Interval between marks, and their number; together they cover four minutes.
constexpr std::int64_t mark_interval_ms = 1'000;
constexpr std::size_t max_marks = 240;

} // namespace

void retained_jobs::add(const job_id& id)
{
    jobs_.push_back(id);
    ++added_;
}

void retained_jobs::remove_oldest()
{
    jobs_.pop_front();
}

void retained_jobs::advance(std::int64_t wall_ms)
{
    if (wall_ms_ != 0)
        clock_ms_ += std::clamp<std::int64_t>(wall_ms - wall_ms_, 0,
                                              max_clock_advance_ms);
    wall_ms_ = wall_ms;
    bool is_due = marks_.empty() ||
                  clock_ms_ - marks_.back().clock_ms_ >= mark_interval_ms;
    if (!is_due || (!marks_.empty() && marks_.back().added_ == added_))
        return;
    marks_.push_back({clock_ms_, added_});
    if (marks_.size() > max_marks)
        marks_.erase(marks_.begin());
}

bool retained_jobs::is_oldest_kept_for(duration time) const
{
    if (jobs_.empty())
        return false;
    auto limit = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    std::uint64_t oldest = added_ - jobs_.size();
    return std::any_of(marks_.begin(), marks_.end(), [&](const mark& item) {
        return oldest < item.added_ && clock_ms_ - item.clock_ms_ >= limit;
    });
}

void retained_jobs::assign(const std::vector<job_id>& jobs)
{
    jobs_.assign(jobs.begin(), jobs.end());
    added_ = std::max<std::uint64_t>(added_, jobs_.size());
}

} // namespace dandelioncrank::pool
