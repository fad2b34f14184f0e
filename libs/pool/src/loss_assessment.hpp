#pragma once

#include "dandelioncrank/pool/loss_record.hpp"

#include <set>
#include <vector>

namespace dandelioncrank::pool {

/// A task that may have been under way when its worker was lost.
struct exposure
{
    exposed_run item_;
    /// First task of its gang, or the task itself: what is started together is
    /// suspected together.
    task_ref unit_;
    bool is_on_probation_ = false;
    /// Earlier losses in a row, whatever was suspected of them.
    std::uint32_t earlier_losses_ = 0;
};

/// Returns the units that may have caused the loss of a worker.
[[nodiscard]] std::set<task_ref>
find_suspects(const std::vector<exposure>& exposed,
              incarnation_end_cause cause);

} // namespace dandelioncrank::pool
