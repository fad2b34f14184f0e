#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace dandelioncrank::control {

/// Activities of a control host for which the time of its event loop is
/// recorded.
enum control_activity : std::size_t
{
    /// The loop waits for events or reads sockets; Qt does not report when the
    /// one ends and the other begins.
    idle,
    /// Calls posted to the loop.
    input_output,
    consensus,
    client_calls,
    worker_calls,
    announcements,
    hellos,
    /// Scheduling plans.
    planning,
    /// Sessions with workers: leases, outcomes and due calls.
    sessions,
    logging
};

/// Returns the names of all activities, in the order of their values.
[[nodiscard]] inline std::vector<std::string> control_activity_names()
{
    return {"idle",         "input_output",  "consensus", "client_calls",
            "worker_calls", "announcements", "hellos",    "planning",
            "sessions",     "logging"};
}

} // namespace dandelioncrank::control
