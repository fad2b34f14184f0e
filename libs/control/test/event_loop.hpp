#pragma once

#include "dandelioncrank/core/time.hpp"

#include <functional>

class QCoreApplication;

namespace dandelioncrank {

/// Upper bound of waits in tests, reached only if a test hangs.
inline constexpr duration test_timeout = std::chrono::seconds(60);

/// The only application object of a test program; logs errors only.
QCoreApplication& test_application();

/// Runs the event loop until the condition holds; returns false after
/// test_timeout.
bool run_until(const std::function<bool()>& condition);

} // namespace dandelioncrank
