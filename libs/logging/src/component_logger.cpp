#include "dandelioncrank/logging/component_logger.hpp"

#include "nonblocking_appender.hpp"

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

// Allow about ten lines for each change of a busy pool.
constexpr double max_lines_per_second = 1000;
constexpr double max_burst_lines = 4000;

log4cplus::LogLevel to_log4cplus_level(log_level level)
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

void write(const std::string& component, log4cplus::LogLevel level,
           const std::string& message)
{
    auto logger = log4cplus::Logger::getInstance(component);
    if (logger.isEnabledFor(level))
        logger.forcedLog(level, message);
}

} // namespace

void start_logging(const std::string& host, log_level min_level,
                   log_stream stream)
{
    // The initializer must outlive every thread that logs.
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr console;
    if (stream == log_stream::standard_output)
        console = new nonblocking_appender(STDOUT_FILENO, max_lines_per_second,
                                           max_burst_lines);
    else
        console = new log4cplus::ConsoleAppender(true, true);
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + host + " %c: %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(console);
    root.setLogLevel(to_log4cplus_level(min_level));
}

component_logger::component_logger(std::string component)
    : component_(std::move(component))
{
}

void component_logger::debug(const std::string& message) const
{
    write(component_, log4cplus::DEBUG_LOG_LEVEL, message);
}

void component_logger::info(const std::string& message) const
{
    write(component_, log4cplus::INFO_LOG_LEVEL, message);
}

void component_logger::warning(const std::string& message) const
{
    write(component_, log4cplus::WARN_LOG_LEVEL, message);
}

void component_logger::error(const std::string& message) const
{
    write(component_, log4cplus::ERROR_LOG_LEVEL, message);
}

void component_logger::event(const std::string& message,
                             const std::vector<field>& fields) const
{
    std::string line = message;
    for (const auto& [key, value] : fields) {
        if (value.empty())
            continue;
        line += ' ' + key + "=\"";
        // Quotes and control characters in a value would make the line
        // ambiguous to parse.
        for (char character : value) {
            if (character == '"')
                line += '\'';
            else if (static_cast<unsigned char>(character) < ' ')
                line += ' ';
            else
                line += character;
        }
        line += '"';
    }
    write(component_, log4cplus::INFO_LOG_LEVEL, line);
}

} // namespace dandelioncrank
