#include "call_queue.hpp"

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// How long a call waits for a leader to appear before it is refused: about
// a planned hand-over, not an election.
constexpr duration leader_wait = 300ms;

} // namespace

std::vector<call_queue::number> call_queue::take_waiting()
{
    std::vector<number> result;
    for (auto& [who, item] : calls_) {
        if (item.is_asked_)
            continue;
        item.is_asked_ = true;
        ++item.call_.attempt_;
        result.push_back(who);
    }
    return result;
}

void call_queue::put_back(number who, std::uint32_t attempt, bool may_be_done)
{
    auto found = calls_.find(who);
    if (found == calls_.end() || found->second.call_.attempt_ != attempt)
        return;
    found->second.is_asked_ = false;
    found->second.call_.is_repeat_ |= may_be_done;
}

void call_queue::put_back_asked()
{
    for (auto& [who, item] : calls_) {
        item.call_.is_repeat_ |= item.is_asked_;
        item.is_asked_ = false;
    }
}

std::vector<call_queue::open_call> call_queue::take_overdue(instant now,
                                                            bool has_leader)
{
    std::vector<open_call> result;
    for (auto it = calls_.begin(); it != calls_.end();) {
        const open_call& item = it->second;
        bool has_waited = now - item.came_at_ >= leader_wait;
        bool is_lost = !has_leader && has_waited && !item.call_.is_repeat_;
        if (item.is_asked_ || (now < item.deadline_ && !is_lost)) {
            ++it;
            continue;
        }
        result.push_back(std::move(it->second));
        it = calls_.erase(it);
    }
    return result;
}

std::optional<call_queue::open_call> call_queue::take(number who)
{
    auto found = calls_.find(who);
    if (found == calls_.end())
        return std::nullopt;
    open_call item = std::move(found->second);
    calls_.erase(found);
    return item;
}

const call_queue::open_call* call_queue::find(number who) const
{
    auto found = calls_.find(who);
    return found == calls_.end() ? nullptr : &found->second;
}

bool call_queue::has_waiting() const
{
    return std::any_of(calls_.begin(), calls_.end(),
                       [](const auto& item) { return !item.second.is_asked_; });
}

} // namespace dandelioncrank::control
