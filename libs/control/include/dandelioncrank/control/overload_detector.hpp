#pragma once

#include "dandelioncrank/core/time.hpp"

#include <string>

namespace dandelioncrank::control {

/// How much of its means a host uses at one moment.
struct load_sample
{
    /// How late the event loop ran its timer.
    duration loop_lag_{};
    /// Part of the buffers that is in use, 0 to 1.
    double buffers_used_ = 0;
    bool are_descriptors_exhausted_ = false;
};

/// Decides whether a host is overloaded. A short peak does not count, and the
/// state ends only when the load has fallen clearly.
class overload_detector
{
  public:
    void record(const load_sample& sample, instant now);

    [[nodiscard]] bool is_overloaded() const { return is_overloaded_; }
    /// What was nearly exhausted when the state last began.
    [[nodiscard]] const std::string& cause() const { return cause_; }

  private:
    bool is_overloaded_ = false;
    std::string cause_;
    /// Since when all samples speak for a change of state; not set if the last
    /// one does not.
    bool is_changing_ = false;
    instant changing_since_{};
};

} // namespace dandelioncrank::control
