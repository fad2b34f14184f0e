#pragma once

#include "dandelioncrank/core/time.hpp"

#include <functional>

class QCoreApplication;

namespace dandelioncrank {

/// Bound of waits in tests, which only a hang reaches.
inline constexpr duration test_timeout = std::chrono::seconds(60);

/// The one application of a test program; it logs errors only.
QCoreApplication& test_application();

/// Runs the event loop until the condition holds; false after hang_time.
bool run_until(const std::function<bool()>& condition);

} // namespace dandelioncrank
