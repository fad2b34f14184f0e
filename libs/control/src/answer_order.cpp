#include "answer_order.hpp"

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// How long answers are compared with: beyond the usual wait of a client.
constexpr duration compared_time = 5s;
// Bounds the work of one comparison.
constexpr std::size_t max_compared = 256;

} // namespace

std::optional<answer_order::answered_call>
answer_order::note(const answered_call& item, instant now)
{
    while (!recent_.empty() && (recent_.size() >= max_compared ||
                                now - recent_.front().came_at_ > compared_time))
        recent_.pop_front();
    auto found = std::find_if(
        recent_.begin(), recent_.end(), [&item](const answered_call& other) {
            bool is_later = other.came_at_ > item.came_at_;
            bool is_earlier = other.came_at_ < item.came_at_;
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
