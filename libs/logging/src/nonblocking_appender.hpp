#pragma once

#include "dandelioncrank/logging/log_rate_limiter.hpp"

#include <log4cplus/appender.h>

#include <string>

namespace dandelioncrank {

/// Writes log lines to a descriptor without ever waiting for its reader. What
/// does not fit the budget or the descriptor is dropped; the next line that
/// is written says how many were.
class nonblocking_appender : public log4cplus::Appender
{
  public:
    nonblocking_appender(int descriptor, double max_lines_per_second,
                         double burst);
    ~nonblocking_appender() override;

    void close() override {}

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

  private:
    [[nodiscard]] bool write_line(const std::string& line);

    int descriptor_;
    log_rate_limiter rate_limiter_;
    /// Rest of a line that the descriptor took in part.
    std::string unwritten_;
};

} // namespace dandelioncrank
