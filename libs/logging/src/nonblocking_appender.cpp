#include "nonblocking_appender.hpp"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <sstream>

#include <fcntl.h>
#include <unistd.h>

namespace dandelioncrank {

nonblocking_appender::nonblocking_appender(int descriptor,
                                           double max_lines_per_second,
                                           double burst)
    : descriptor_(descriptor), rate_limiter_(max_lines_per_second, burst,
                                             std::chrono::steady_clock::now())
{
    int flags = ::fcntl(descriptor_, F_GETFL);
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

nonblocking_appender::~nonblocking_appender()
{
    destructorImpl();
}

void nonblocking_appender::append(
    const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!rate_limiter_.try_acquire(std::chrono::steady_clock::now()))
        return;
    std::uint64_t dropped = rate_limiter_.take_dropped_count();
    std::ostringstream text;
    if (dropped > 0)
        text << "log: " << dropped << " lines were dropped.\n";
    layout->formatAndAppend(text, event);
    if (write_line(text.str()))
        return;
    for (std::uint64_t i = 0; i <= dropped; ++i)
        rate_limiter_.count_dropped();
}

// Completes a partially written line before the next one, so that lines are
// not interleaved.
bool nonblocking_appender::write_line(const std::string& line)
{
    if (!unwritten_.empty()) {
        ssize_t written_bytes =
            ::write(descriptor_, unwritten_.data(), unwritten_.size());
        if (written_bytes > 0)
            unwritten_.erase(0, static_cast<std::size_t>(written_bytes));
        if (!unwritten_.empty())
            return false;
    }
    ssize_t written_bytes = ::write(descriptor_, line.data(), line.size());
    if (written_bytes <= 0)
        return false;
    unwritten_ = line.substr(static_cast<std::size_t>(written_bytes));
    return true;
}

} // namespace dandelioncrank
