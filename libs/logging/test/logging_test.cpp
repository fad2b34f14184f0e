#include "bounded_appender.hpp"

#include <catch2/catch.hpp>

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <memory>
#include <string>

#include <unistd.h>

using namespace dandelioncrank;
using namespace std::chrono_literals;

TEST_CASE("a burst is written and what comes beyond it is counted", "[logging]")
{
    line_budget::time_point now{};
    line_budget budget(10, 3, now);
    int written = 0;
    for (int i = 0; i < 8; ++i)
        written += budget.take(now);
    CHECK(written == 3);
    CHECK(budget.take_dropped() == 5);
    CHECK(budget.take(now + 100ms));
    CHECK(!budget.take(now + 100ms));
}

TEST_CASE("a reader that stands still does not hold up the writer", "[logging]")
{
    log4cplus::Initializer initializer;
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    log4cplus::SharedAppenderPtr appender(
        new bounded_appender(ends[1], 1e9, 1e9));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    auto logger = log4cplus::Logger::getInstance("test");
    logger.setAdditivity(false);
    logger.addAppender(appender);
    // Far more than a pipe holds; a blocking write would never come back.
    for (int i = 0; i < 5000; ++i)
        logger.forcedLog(log4cplus::INFO_LOG_LEVEL, std::string(99, 'x'));
    std::string text;
    std::array<char, 65536> buffer{};
    auto drain = [&] {
        ssize_t taken = ::read(ends[0], buffer.data(), buffer.size());
        if (taken > 0)
            text.append(buffer.data(), static_cast<std::size_t>(taken));
    };
    drain();
    logger.forcedLog(log4cplus::INFO_LOG_LEVEL, std::string("after"));
    logger.forcedLog(log4cplus::INFO_LOG_LEVEL, std::string("last"));
    drain();
    CHECK(text.find("lines were dropped.\n") != std::string::npos);
    CHECK(text.find("\nlast\n") != std::string::npos);
    logger.removeAllAppenders();
    ::close(ends[0]);
    ::close(ends[1]);
}
