#pragma once

#include <cstddef>

namespace dandelioncrank {

/// Bytes that the connections of a process may buffer together, by the size of
/// its memory in MiB. With 0, the memory that the system reports counts.
[[nodiscard]] std::size_t buffer_bytes_of(std::size_t memory_mib);

/// A part of the buffers, in percent. At least one body of the given size is
/// served from it.
[[nodiscard]] std::size_t part_of_buffers(std::size_t buffer_bytes,
                                          std::size_t percent,
                                          std::size_t body_bytes);

} // namespace dandelioncrank
