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
void start_logging(const std::string& host, log_level lowest,
                   log_stream stream = log_stream::standard_error);

/// Log of one part of the program; the part is the lines' fixed prefix.
class part_log
{
  public:
    explicit part_log(std::string part);

    void debug(const std::string& sentence) const;
    void info(const std::string& sentence) const;
    void warning(const std::string& sentence) const;
    void error(const std::string& sentence) const;

    /// One decision or change of belief: the sentence, then key="value" for
    /// each field that has a value. Level info.
    using field = std::pair<std::string, std::string>;
    void event(const std::string& sentence,
               const std::vector<field>& fields) const;

  private:
    std::string part_;
};

} // namespace dandelioncrank
