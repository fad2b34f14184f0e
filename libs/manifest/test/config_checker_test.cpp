#include "dandelioncrank/manifest/config_checker.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

const config_text budget{"budget.yaml", R"(budget: arreola
zones:
  - {name: leon, region: bajio, racks: 2, workers_per_rack: 6, accelerators: 8}
teams:
  - name: kitchens
    guarantees:
      - {zone: leon, blocks: 2, accelerators: 16, within: rack}
  - name: planners
)"};

const config_text town{"leon.yaml", R"(town: leon
services:
  - name: rota
    team: planners
    depends_on: [allergy]
    deadline: 5s
  - name: allergy
    team: kitchens
    repeatable: no
)"};

std::string findings_of(const std::vector<config_text>& texts)
{
    return check_texts(texts).findings_.to_text();
}

} // namespace

TEST_CASE("valid texts produce a configuration", "[config]")
{
    auto checked = check_texts({budget, town});
    INFO(checked.findings_.to_text());
    REQUIRE(checked.findings_.empty());
    const auto& services = checked.configuration_.services_;
    CHECK(services.at(service_name("rota")).deadline_ == 5s);
    CHECK(services.at(service_name("rota")).town_ == "leon");
    CHECK(text_subject(budget) == "budget");
    CHECK(text_subject(town) == "leon");
}

TEST_CASE("all errors are reported at once with their locations", "[config]")
{
    config_text bad{"bad.yaml", R"(town: celaya
services:
  - name: a
    team: nobody
    depends_on: [b, missing]
    queue_limit: -4
  - name: b
    team: planners
    depends_on: [a]
    colour: red
  - name: b
    team: planners
)"};
    std::string text = findings_of({budget, town, bad});
    INFO(text);
    CHECK(text.find("bad.yaml:3:5: team 'nobody' is unknown") != text.npos);
    CHECK(text.find("service 'missing' is unknown") != text.npos);
    CHECK(text.find("bad.yaml:6:18: queue_limit '-4'") != text.npos);
    CHECK(text.find("depend on each other: a -> b -> a") != text.npos);
    CHECK(text.find("bad.yaml:10:5: unknown field 'colour'") != text.npos);
    CHECK(text.find("service 'b' stands twice") != text.npos);
}

TEST_CASE("a service that depends on itself is a cycle", "[config]")
{
    config_text self{"s.yaml", "town: t\nservices:\n"
                               "  - {name: s, team: planners, "
                               "depends_on: [s]}\n"};
    CHECK(findings_of({budget, self}).find("s -> s") != std::string::npos);
}

TEST_CASE("guarantees that exceed capacity are rejected", "[config]")
{
    config_text oversized = budget;
    auto position = oversized.body_.find("blocks: 2");
    oversized.body_.replace(position, 9, "blocks: 7");
    std::string text = findings_of({oversized, town});
    CHECK(text.find("no room for a block of 16") != text.npos);
}

TEST_CASE("malformed text is a finding, not an exception", "[config]")
{
    CHECK_FALSE(findings_of({budget, {"x.yaml", "town: [\n"}}).empty());
    CHECK_FALSE(findings_of({budget, {"x.yaml", "- 1\n- 2\n"}}).empty());
    CHECK_FALSE(findings_of({budget, {"x.yaml", ""}}).empty());
    CHECK_FALSE(
        findings_of({budget, {"x.yaml", "town: x\ntown: y\n"}}).empty());
    CHECK_FALSE(findings_of({town}).empty());
    std::string deep(5000, '[');
    CHECK_FALSE(findings_of({budget, {"x.yaml", deep}}).empty());
}
