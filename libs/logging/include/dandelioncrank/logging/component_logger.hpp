#pragma once

#include <string>
#include <utility>
#include <vector>

namespace dandelioncrank {

/// Lowest level of the lines that are written.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

enum class log_stream
{
    standard_output,
    standard_error
};

/// Sends log lines to a standard stream, each with host and part before it.
/// Call once, before the first part_log is used.
void start_logging(const std::string& host, log_level min_level,
                   log_stream stream = log_stream::standard_error);

/// Log of one part of the program; the part is the lines' fixed prefix.
class component_logger
{
  public:
    explicit component_logger(std::string component);

    void debug(const std::string& message) const;
    void info(const std::string& message) const;
    void warning(const std::string& message) const;
    void error(const std::string& message) const;

    /// One decision or change of belief: the sentence, then key="value" for
    /// each field that has a value. Level info.
    using field = std::pair<std::string, std::string>;
    void event(const std::string& message,
               const std::vector<field>& fields) const;

  private:
    std::string component_;
};

} // namespace dandelioncrank
