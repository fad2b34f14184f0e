#pragma once

#include "dandelioncrank/logging/log_rate_limiter.hpp"

#include <log4cplus/appender.h>

#include <string>

namespace dandelioncrank {

/// Writes log lines to a non-blocking file descriptor. Lines that exceed the
/// rate limit or that the descriptor does not accept are dropped; the next
/// line written is preceded by the number of dropped lines.
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
    /// Remainder of a partially written line.
    std::string unwritten_;
};

} // namespace dandelioncrank
