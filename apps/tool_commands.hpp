#pragma once

#include "tool_client.hpp"

#include <string>
#include <vector>

namespace dandelioncrank {

/// Exit codes that scripts can rely on.
enum class tool_exit_code
{
    success = 0,
    /// The daemon could not be reached or gave no useful answer.
    failed = 1,
    usage_error = 2,
    /// The texts or the job have findings.
    invalid = 3,
    /// Another change came first.
    conflict = 4,
    /// The daemon refused; nothing was done.
    refused = 5,
    /// It is not known whether it was done; ask again with the same id.
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

/// Runs one command given as words; prints its result.
[[nodiscard]] tool_exit_code run_command(tool_client& client,
                                         const tool_options& options,
                                         const std::vector<std::string>& words);

/// The commands and what they do.
[[nodiscard]] std::string commands_help();

} // namespace dandelioncrank
