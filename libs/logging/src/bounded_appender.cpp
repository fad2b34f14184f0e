#include "bounded_appender.hpp"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace dandelioncrank {

bounded_appender::bounded_appender(int descriptor, double lines_per_second,
                                   double burst)
    : descriptor_(descriptor),
      budget_(lines_per_second, burst, std::chrono::steady_clock::now())
{
    int flags = ::fcntl(descriptor_, F_GETFL);
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!budget_.take(std::chrono::steady_clock::now()))
        return;
    std::uint64_t dropped = budget_.take_dropped();
    std::ostringstream text;
    if (dropped > 0)
        text << "log: " << dropped << " lines were dropped.\n";
    layout->formatAndAppend(text, event);
    if (write_line(text.str()))
        return;
    for (std::uint64_t i = 0; i <= dropped; ++i)
        budget_.note_dropped();
}

// A line that was taken in part is finished before the next one, so that
// lines stay whole.
bool bounded_appender::write_line(const std::string& line)
{
    if (!rest_.empty()) {
        ssize_t taken = ::write(descriptor_, rest_.data(), rest_.size());
        if (taken > 0)
            rest_.erase(0, static_cast<std::size_t>(taken));
        if (!rest_.empty())
            return false;
    }
    ssize_t taken = ::write(descriptor_, line.data(), line.size());
    if (taken <= 0)
        return false;
    rest_ = line.substr(static_cast<std::size_t>(taken));
    return true;
}

} // namespace dandelioncrank
