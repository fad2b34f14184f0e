#include "nonblocking_appender.hpp"

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

TEST_CASE("lines beyond the burst are dropped and counted", "[logging]")
{
    log_rate_limiter::time_point now{};
    log_rate_limiter limiter(10, 3, now);
    int written = 0;
    for (int i = 0; i < 8; ++i)
        written += limiter.try_acquire(now);
    CHECK(written == 3);
    CHECK(limiter.take_dropped_count() == 5);
    CHECK(limiter.try_acquire(now + 100ms));
    CHECK(!limiter.try_acquire(now + 100ms));
}

TEST_CASE("a stalled reader does not block the writer", "[logging]")
{
    log4cplus::Initializer initializer;
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    log4cplus::SharedAppenderPtr appender(
        new nonblocking_appender(ends[1], 1e9, 1e9));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    auto logger = log4cplus::Logger::getInstance("test");
    logger.setAdditivity(false);
    logger.addAppender(appender);
    // Exceeds the capacity of the pipe; a blocking write would never return.
    for (int i = 0; i < 5000; ++i)
        logger.forcedLog(log4cplus::INFO_LOG_LEVEL, std::string(99, 'x'));
    std::string text;
    std::array<char, 65536> buffer{};
    auto drain = [&] {
        ssize_t received_bytes = ::read(ends[0], buffer.data(), buffer.size());
        if (received_bytes > 0)
            text.append(buffer.data(),
                        static_cast<std::size_t>(received_bytes));
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
