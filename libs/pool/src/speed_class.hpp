#pragma once

#include <array>
#include <string>

namespace dandelioncrank::pool {

/// Coarse speed of a worker. Within a class, workers are packed as if they were
/// alike.
enum class speed_class
{
    /// So slow that work is better off elsewhere.
    very_slow,
    slow,
    normal,
    fast
};

constexpr std::size_t speed_class_count = 4;

/// Classifies a speed relative to a typical worker.
[[nodiscard]] speed_class classify_speed(double speed);

/// Classes in the order in which work of a priority takes them.
[[nodiscard]] const std::array<speed_class, speed_class_count>&
preferred_classes(int priority);

/// Position of a class in preferred_classes().
[[nodiscard]] int preference_of(int priority, speed_class value);

[[nodiscard]] std::string to_text(speed_class value);

} // namespace dandelioncrank::pool
