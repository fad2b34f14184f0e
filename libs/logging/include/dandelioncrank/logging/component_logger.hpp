#pragma once

#include <string>
#include <utility>
#include <vector>

namespace dandelioncrank {

/// Severities in ascending order.
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

/// Writes log lines to a standard stream, each prefixed with time, level, host
/// and component. Call once, before a component_logger is used.
void start_logging(const std::string& host, log_level min_level,
                   log_stream stream = log_stream::standard_error);

/// Logger of one component; the component name prefixes each line.
class component_logger
{
  public:
    explicit component_logger(std::string component);

    void debug(const std::string& message) const;
    void info(const std::string& message) const;
    void warning(const std::string& message) const;
    void error(const std::string& message) const;

    /// Logs a structured event at level info: the message, then key="value"
    /// for each field with a non-empty value.
    using field = std::pair<std::string, std::string>;
    void event(const std::string& message,
               const std::vector<field>& fields) const;

  private:
    std::string component_;
};

} // namespace dandelioncrank
