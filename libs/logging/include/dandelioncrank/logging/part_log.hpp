#pragma once

#include <string>

namespace dandelioncrank {

/// Lowest level of the lines that are written.
enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Sends log lines to standard error, each with host and part before it.
/// Call once, before the first part_log is used.
void start_logging(const std::string& host, log_level lowest);

/// Log of one part of the program; the part is the lines' fixed prefix.
class part_log
{
  public:
    explicit part_log(std::string part);

    void debug(const std::string& sentence) const;
    void info(const std::string& sentence) const;
    void warning(const std::string& sentence) const;
    void error(const std::string& sentence) const;

  private:
    std::string part_;
};

} // namespace dandelioncrank
