#pragma once

#include "dandelioncrank/logging/line_budget.hpp"

#include <log4cplus/appender.h>

#include <string>

namespace dandelioncrank {

/// Writes log lines to a descriptor without ever waiting for its reader. What
/// does not fit the budget or the descriptor is dropped; the next line that
/// is written says how many were.
class bounded_appender : public log4cplus::Appender
{
  public:
    bounded_appender(int descriptor, double lines_per_second, double burst);
    ~bounded_appender() override;

    void close() override {}

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

  private:
    [[nodiscard]] bool write_line(const std::string& line);

    int descriptor_;
    line_budget budget_;
    /// Rest of a line that the descriptor took in part.
    std::string rest_;
};

} // namespace dandelioncrank
