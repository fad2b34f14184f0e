#include "dandelioncrank/logging/part_log.hpp"

#include "bounded_appender.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

#include <unistd.h>

namespace dandelioncrank {

namespace {

// Lines a second that a daemon writes at most, and how many may come at once:
// some ten for each change of a busy pool.
constexpr double lines_per_second = 1000;
constexpr double burst_lines = 4000;

log4cplus::LogLevel to_library_level(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

void write(const std::string& part, log4cplus::LogLevel level,
           const std::string& sentence)
{
    auto logger = log4cplus::Logger::getInstance(part);
    if (logger.isEnabledFor(level))
        logger.forcedLog(level, sentence);
}

} // namespace

void start_logging(const std::string& host, log_level lowest, log_stream stream)
{
    // The initializer must outlive every thread that logs.
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr console;
    if (stream == log_stream::standard_output)
        console =
            new bounded_appender(STDOUT_FILENO, lines_per_second, burst_lines);
    else
        console = new log4cplus::ConsoleAppender(true, true);
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + host + " %c: %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(console);
    root.setLogLevel(to_library_level(lowest));
}

part_log::part_log(std::string part) : part_(std::move(part)) {}

void part_log::debug(const std::string& sentence) const
{
    write(part_, log4cplus::DEBUG_LOG_LEVEL, sentence);
}

void part_log::info(const std::string& sentence) const
{
    write(part_, log4cplus::INFO_LOG_LEVEL, sentence);
}

void part_log::warning(const std::string& sentence) const
{
    write(part_, log4cplus::WARN_LOG_LEVEL, sentence);
}

void part_log::error(const std::string& sentence) const
{
    write(part_, log4cplus::ERROR_LOG_LEVEL, sentence);
}

void part_log::event(const std::string& sentence,
                     const std::vector<field>& fields) const
{
    std::string line = sentence;
    for (const auto& [key, value] : fields) {
        if (value.empty())
            continue;
        line += ' ' + key + "=\"";
        // A quote or a line end within a value would break the line apart.
        for (char letter : value) {
            if (letter == '"')
                line += '\'';
            else if (static_cast<unsigned char>(letter) < ' ')
                line += ' ';
            else
                line += letter;
        }
        line += '"';
    }
    write(part_, log4cplus::INFO_LOG_LEVEL, line);
}

} // namespace dandelioncrank
