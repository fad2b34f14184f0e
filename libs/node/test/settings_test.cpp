#include "dandelioncrank/node/node_settings.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;

namespace {

settings_result read(std::vector<const char*> arguments)
{
    arguments.insert(arguments.begin(), "dandelioncrankd");
    return read_node_settings(static_cast<int>(arguments.size()),
                              arguments.data());
}

} // namespace

TEST_CASE("every invalid daemon setting is reported", "[node_settings]")
{
    auto result = read({"--host=a.b", "--zone=", "--roles=gateway,king",
                        "--caller_address=nowhere", "--loops=0", "--hosts=x/y",
                        "--log_level=loud", "--lease=1ms"});
    std::string text = result.faults_.to_text();
    INFO(text);
    CHECK(result.faults_.items().size() == 8);
    for (const char* expected :
         {"--host: value contains a dot", "--zone: value is missing",
          "unknown role 'king'", "'nowhere' is not a valid address",
          "--loops: 0 is out of range", "invalid host entry 'x/y'",
          "unknown log level 'loud'", "--lease: 1ms is out of range"})
        CHECK(text.find(expected) != text.npos);
}

TEST_CASE("a voter requires a data directory and a listed host",
          "[node_settings]")
{
    auto result = read({"--host=a", "--zone=z", "--roles=voter",
                        "--caller_address=127.0.0.1:1", "--loops=2",
                        "--hosts=b/z/127.0.0.1:1/127.0.0.1:2",
                        "--log_level=info", "--lease=10s"});
    std::string text = result.faults_.to_text();
    INFO(text);
    CHECK(text.find("a voter requires a data directory") != text.npos);
    CHECK(text.find("is not listed") != text.npos);
}

TEST_CASE("the help text lists the environment variables", "[node_settings]")
{
    auto result = read({"--help"});
    CHECK(result.help_requested_);
    CHECK(result.help_.find("DANDELIONCRANK_DATA_DIR") != std::string::npos);
}

// Guards against a daemon on a small machine that buffers as on a large one.
TEST_CASE("the buffers follow from the memory", "[node_settings]")
{
    auto result = read({"--host=a", "--zone=z", "--memory_mib=120"});
    CHECK(result.settings_.buffer_bytes_ == 15 * 1024 * 1024);
    result = read({"--host=a", "--zone=z", "--memory_mib=-1"});
    CHECK(result.faults_.to_text().find("--memory_mib: -1 is out of range") !=
          std::string::npos);
}
