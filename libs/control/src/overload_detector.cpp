#include "dandelioncrank/control/overload_detector.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// A host with a tenth of a core is not scheduled for up to 100 ms at a time;
// beyond these, probes of the load balancer time out.
constexpr duration high_loop_lag = 1s;
constexpr duration low_loop_lag = 300ms;
constexpr double high_buffers_used = 0.8;
constexpr double low_buffers_used = 0.65;
// Time for which the samples must agree, before the state begins and ends.
constexpr duration time_to_begin = 2s;
constexpr duration time_to_end = 1s;

} // namespace

void overload_detector::record(const load_sample& sample, instant now)
{
    std::string cause;
    if (sample.are_descriptors_exhausted_)
        cause = "descriptors";
    else if (sample.buffers_used_ >= high_buffers_used)
        cause = "memory";
    else if (sample.loop_lag_ >= high_loop_lag)
        cause = "processor";
    bool is_low = !sample.are_descriptors_exhausted_ &&
                  sample.buffers_used_ <= low_buffers_used &&
                  sample.loop_lag_ <= low_loop_lag;
    bool is_for_change = is_overloaded_ ? is_low : !cause.empty();
    if (!is_for_change) {
        is_changing_ = false;
        return;
    }
    if (!is_changing_) {
        is_changing_ = true;
        // A late sample speaks for the time before it, too.
        changing_since_ = is_overloaded_ ? now : now - sample.loop_lag_;
    }
    duration needed = is_overloaded_ ? time_to_end : time_to_begin;
    if (now - changing_since_ < needed)
        return;
    is_overloaded_ = !is_overloaded_;
    is_changing_ = false;
    if (is_overloaded_)
        cause_ = cause;
}

} // namespace dandelioncrank::control
