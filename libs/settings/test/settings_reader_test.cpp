#include "dandelioncrank/settings/settings_reader.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <catch2/catch.hpp>

#include <cstdlib>

ABSL_FLAG(int, test_count, 3, "an integer");
ABSL_FLAG(absl::Duration, test_wait, absl::Seconds(1), "a duration");
ABSL_FLAG(bool, test_quiet, false, "yes or no");

using namespace dandelioncrank;

namespace {

settings_reader make_reader()
{
    return {"DCTEST", {"test_count", "test_wait", "test_quiet"}};
}

} // namespace

TEST_CASE("a flag overrides its environment variable", "[settings]")
{
    ::setenv("DCTEST_TEST_COUNT", "5", 1);
    const char* none[] = {"program"};
    CHECK(make_reader().read(1, none).faults_.empty());
    CHECK(absl::GetFlag(FLAGS_test_count) == 5);
    const char* arguments[] = {"program", "--test_count=7", "--test_quiet",
                               "go"};
    auto parsed = make_reader().read(4, arguments);
    CHECK(parsed.faults_.empty());
    CHECK(absl::GetFlag(FLAGS_test_count) == 7);
    CHECK(absl::GetFlag(FLAGS_test_quiet));
    CHECK(parsed.positional_ == std::vector<std::string>{"go"});
    ::unsetenv("DCTEST_TEST_COUNT");
}

TEST_CASE("all invalid settings are reported in one pass", "[settings]")
{
    ::setenv("DCTEST_TEST_WAIT", "soon", 1);
    const char* arguments[] = {"program", "--test_count=many", "--no_such=1"};
    auto parsed = make_reader().read(3, arguments);
    ::unsetenv("DCTEST_TEST_WAIT");
    REQUIRE(parsed.faults_.items().size() == 3);
    CHECK(parsed.faults_.items()[0].location_.file_ == "DCTEST_TEST_WAIT");
}

TEST_CASE("an address without a valid port is rejected", "[settings]")
{
    findings faults;
    CHECK(parse_host_port("127.0.0.1:80", "--x", faults).port_ == 80);
    CHECK(faults.empty());
    CHECK(parse_host_port("127.0.0.1", "--x", faults).port_ == 0);
    CHECK(parse_host_port("127.0.0.1:70000", "--x", faults).port_ == 0);
    CHECK(faults.items().size() == 2);
}
