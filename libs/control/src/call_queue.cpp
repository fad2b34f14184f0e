#include "call_queue.hpp"

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Time that a call waits for a leader before it is refused: about the duration
// of a planned leadership transfer, not of an election.
constexpr duration leader_wait_timeout = 300ms;

} // namespace

std::vector<call_queue::call_number> call_queue::take_unsent()
{
    std::vector<call_number> result;
    for (auto& [number, item] : calls_) {
        if (item.is_sent_)
            continue;
        item.is_sent_ = true;
        ++item.call_.attempt_;
        result.push_back(number);
    }
    return result;
}

void call_queue::requeue(call_number number, std::uint32_t attempt,
                         bool may_have_executed)
{
    auto found = calls_.find(number);
    if (found == calls_.end() || found->second.call_.attempt_ != attempt)
        return;
    found->second.is_sent_ = false;
    found->second.call_.may_have_executed_ |= may_have_executed;
}

void call_queue::requeue_sent()
{
    for (auto& [number, item] : calls_) {
        item.call_.may_have_executed_ |= item.is_sent_;
        item.is_sent_ = false;
    }
}

std::vector<call_queue::pending_call> call_queue::take_expired(instant now,
                                                               bool has_leader)
{
    std::vector<pending_call> result;
    for (auto it = calls_.begin(); it != calls_.end();) {
        const pending_call& item = it->second;
        bool has_waited = now - item.received_at_ >= leader_wait_timeout;
        bool is_without_leader =
            !has_leader && has_waited && !item.call_.may_have_executed_;
        if (item.is_sent_ || (now < item.deadline_ && !is_without_leader)) {
            ++it;
            continue;
        }
        result.push_back(std::move(it->second));
        it = calls_.erase(it);
    }
    return result;
}

std::optional<call_queue::pending_call> call_queue::take(call_number number)
{
    auto found = calls_.find(number);
    if (found == calls_.end())
        return std::nullopt;
    pending_call item = std::move(found->second);
    calls_.erase(found);
    return item;
}

const call_queue::pending_call* call_queue::find(call_number number) const
{
    auto found = calls_.find(number);
    return found == calls_.end() ? nullptr : &found->second;
}

bool call_queue::has_unsent() const
{
    return std::any_of(calls_.begin(), calls_.end(),
                       [](const auto& item) { return !item.second.is_sent_; });
}

} // namespace dandelioncrank::control
