#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelioncrank::test {

/// Runs a cluster with random faults from one seed, with disks that block the
/// replica and with disks that do not. Returns the first violation of an
/// invariant, or nothing.
[[nodiscard]] std::optional<std::string> find_violation(std::uint64_t seed,
                                                        consensus_fault fault);

} // namespace dandelioncrank::test
