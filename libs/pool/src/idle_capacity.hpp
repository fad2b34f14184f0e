#pragma once

#include "resource_table.hpp"

#include <vector>

namespace dandelioncrank::pool {

/// Returns the percentage of idle accelerators that no waiting unit can use;
/// 0 if none is idle or nothing waits. Racks and labels are not considered.
[[nodiscard]] double
percent_unusable(const resource_table& table,
                 const std::vector<const pending_unit*>& waiting);

} // namespace dandelioncrank::pool
