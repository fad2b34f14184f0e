#include "config_order_checker.hpp"

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Age up to which responses are compared; exceeds the usual wait of a client.
constexpr duration comparison_window = 5s;
// Bounds the cost of one comparison.
constexpr std::size_t max_recent_calls = 256;

} // namespace

std::optional<config_order_checker::answered_call>
config_order_checker::record(const answered_call& item, instant now)
{
    while (!recent_.empty() &&
           (recent_.size() >= max_recent_calls ||
            now - recent_.front().received_at_ > comparison_window))
        recent_.pop_front();
    auto found = std::find_if(
        recent_.begin(), recent_.end(), [&item](const answered_call& other) {
            bool is_later = other.received_at_ > item.received_at_;
            bool is_earlier = other.received_at_ < item.received_at_;
            return (is_later && other.config_version_ < item.config_version_) ||
                   (is_earlier && other.config_version_ > item.config_version_);
        });
    std::optional<answered_call> contradiction;
    if (found != recent_.end())
        contradiction = *found;
    recent_.push_back(item);
    return contradiction;
}

} // namespace dandelioncrank::control
