#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelioncrank::test {

/// One random run of a cluster; what went wrong, or nothing.
[[nodiscard]] std::optional<std::string> find_violation(std::uint64_t seed,
                                                        consensus_fault fault);

} // namespace dandelioncrank::test
