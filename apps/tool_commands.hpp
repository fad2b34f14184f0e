#pragma once

#include "tool_client.hpp"

#include <string>
#include <vector>

namespace dandelioncrank {

/// Exit codes; a stable interface for scripts.
enum class tool_exit_code
{
    success = 0,
    /// The daemon is unreachable or returned no usable response.
    failed = 1,
    usage_error = 2,
    /// Validation of the texts or the job reported findings.
    invalid = 3,
    /// A conflicting change was accepted first.
    conflict = 4,
    /// The daemon rejected the request; nothing changed.
    refused = 5,
    /// The outcome is unknown; retry with the same request id.
    unknown = 6,
    not_found = 7
};

struct tool_options
{
    bool json_ = false;
    std::string author_;
    std::string request_id_;
    long replaces_ = -1;
    std::string job_;
};

/// Runs the command given by the positional arguments and prints its result.
[[nodiscard]] tool_exit_code run_command(tool_client& client,
                                         const tool_options& options,
                                         const std::vector<std::string>& words);

/// Command list of the help text.
[[nodiscard]] std::string commands_help();

} // namespace dandelioncrank
