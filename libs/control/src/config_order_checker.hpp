#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace dandelioncrank::control {

/// Detects calls that were decided by configurations in a different order than
/// the calls arrived at this host.
class config_order_checker
{
  public:
    struct answered_call
    {
        std::string request_id_;
        instant received_at_;
        std::uint64_t config_version_ = 0;
    };

    /// Records a response. Returns an earlier response that contradicts it: its
    /// call arrived before and was decided by a newer configuration, or arrived
    /// later and was decided by an older one.
    std::optional<answered_call> record(const answered_call& item, instant now);

  private:
    std::deque<answered_call> recent_;
};

} // namespace dandelioncrank::control
