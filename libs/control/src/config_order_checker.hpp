#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace dandelioncrank::control {

/// Finds calls that were decided by configurations in another order than the
/// one in which they came to this host.
class config_order_checker
{
  public:
    struct answered_call
    {
        std::string request_id_;
        instant received_at_;
        std::uint64_t config_version_ = 0;
    };

    /// Takes note of an answer. Returns an earlier answer that contradicts it:
    /// to a call that came before and was decided by a newer configuration, or
    /// came later and was decided by an older one.
    std::optional<answered_call> record(const answered_call& item, instant now);

  private:
    std::deque<answered_call> recent_;
};

} // namespace dandelioncrank::control
