#include "memory_limits.hpp"

#include "dandelioncrank/http/memory_share.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

constexpr std::size_t max_stored_outcomes = 100000;
// Memory of one, with an id of the longest kind. Outcomes take as much as the
// buffers at most, since any caller can fill them.
constexpr std::size_t stored_outcome_bytes = 480;
constexpr std::size_t whole_percent = 100;

} // namespace

std::size_t buffers_of_loop(const node_settings& settings)
{
    std::size_t loops = 1;
    if (settings.is_gateway_)
        loops += static_cast<std::size_t>(settings.loops_);
    return part_of_buffers(settings.buffer_bytes_ / loops, whole_percent,
                           settings.limits_.body_bytes_);
}

std::size_t stored_outcomes_of(const node_settings& settings)
{
    return std::min(max_stored_outcomes,
                    settings.buffer_bytes_ / stored_outcome_bytes);
}

} // namespace dandelioncrank
