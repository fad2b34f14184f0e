#include "loss_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <map>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Workers that are lost within this time of each other are lost together.
constexpr duration mass_loss_window = 1s;
// Number of workers lost together that a common cause explains better than
// their tasks: at least this many, and at least this share of the pool.
constexpr std::size_t min_mass_loss = 4;
constexpr std::size_t mass_loss_percent = 5;
// Unexplained crashes within this time from which the worker is at fault.
constexpr duration crash_history_time = 60s;
constexpr std::size_t max_unexplained_crashes = 3;
// How long a worker at fault gets no new work.
constexpr duration distrust_time = 10s;

} // namespace

loss_verdict loss_monitor::judge(const lost_worker& lost,
                                 const std::vector<lost_worker>& out_of_contact,
                                 std::size_t pool_size, instant now)
{
    forget_old(now);
    bool is_mass = is_mass_loss(lost, out_of_contact, pool_size);
    recent_.push_back(lost);
    if (lost.is_leaving_)
        return {incarnation_end_cause::left, "it was leaving"};
    if (lost.is_silent_)
        return {incarnation_end_cause::disturbed, "it had fallen silent"};
    if (is_mass)
        return {incarnation_end_cause::disturbed,
                "many workers were lost together"};
    address_history& history = addresses_[lost.address_];
    history.crashes_.push_back({now, lost.jobs_});
    if (unexplained_crashes(history) < max_unexplained_crashes)
        return {incarnation_end_cause::crashed, "it crashed"};
    history.untrusted_until_ = now + distrust_time;
    return {incarnation_end_cause::disturbed,
            "it crashes under different work"};
}

std::size_t
loss_monitor::unexplained_crashes(const address_history& history) const
{
    return static_cast<std::size_t>(
        std::count_if(history.crashes_.begin(), history.crashes_.end(),
                      [this](const crash& item) {
                          return std::none_of(item.jobs_.begin(),
                                              item.jobs_.end(), is_blamed_);
                      }));
}

bool loss_monitor::is_untrusted(const std::string& address, instant now) const
{
    auto found = addresses_.find(address);
    return found != addresses_.end() && now < found->second.untrusted_until_;
}

// One gang that had members on most of the lost workers explains their loss.
bool loss_monitor::is_mass_loss(const lost_worker& lost,
                                const std::vector<lost_worker>& out_of_contact,
                                std::size_t pool_size) const
{
    std::size_t together = 1;
    std::map<step_key, std::size_t> with_gang;
    auto compare = [&](const lost_worker& other) {
        duration apart = lost.lost_at_ < other.lost_at_
                             ? other.lost_at_ - lost.lost_at_
                             : lost.lost_at_ - other.lost_at_;
        if (other.name_ == lost.name_ || apart > mass_loss_window)
            return;
        ++together;
        for (const step_key& gang : other.gangs_) {
            if (lost.gangs_.contains(gang))
                ++with_gang[gang];
        }
    };
    std::for_each(recent_.begin(), recent_.end(), compare);
    std::for_each(out_of_contact.begin(), out_of_contact.end(), compare);
    std::size_t limit =
        std::max(min_mass_loss, pool_size * mass_loss_percent / 100);
    if (together < limit)
        return false;
    return std::none_of(with_gang.begin(), with_gang.end(),
                        [together](const auto& item) {
                            return 2 * (item.second + 1) > together;
                        });
}

void loss_monitor::forget_old(instant now)
{
    while (!recent_.empty() &&
           now - recent_.front().lost_at_ > crash_history_time)
        recent_.pop_front();
    for (auto it = addresses_.begin(); it != addresses_.end();) {
        std::deque<crash>& crashes = it->second.crashes_;
        while (!crashes.empty() &&
               now - crashes.front().at_ > crash_history_time)
            crashes.pop_front();
        bool is_old = crashes.empty() && now >= it->second.untrusted_until_;
        it = is_old ? addresses_.erase(it) : std::next(it);
    }
}

} // namespace dandelioncrank::pool
