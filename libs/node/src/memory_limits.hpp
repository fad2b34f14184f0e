#pragma once

#include "dandelioncrank/node/node_settings.hpp"

#include <cstddef>

namespace dandelioncrank {

/// Bytes that the connections of one event loop may buffer: those of the
/// gateway have a part each, and the one of everything else.
[[nodiscard]] std::size_t buffers_of_loop(const node_settings& settings);

/// Number of outcomes that are kept for callers.
[[nodiscard]] std::size_t stored_outcomes_of(const node_settings& settings);

} // namespace dandelioncrank
