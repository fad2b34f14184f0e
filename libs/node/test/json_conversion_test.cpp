#include "json_conversion.hpp"

#include <catch2/catch.hpp>

#include <limits>

using namespace dandelioncrank;

namespace {

QJsonObject make_report()
{
    QJsonObject part{{"job", "j"},
                     {"attempt", 3},
                     {"state", "running"},
                     {"tasks", 1},
                     {"accelerators", 1}};
    return {{"name", "w0"},
            {"rack", "r0"},
            {"accelerators", 8},
            {"incarnation", "1"},
            {"epoch", 2},
            {"applied", 7},
            {"parts", QJsonArray{part}}};
}

QJsonObject make_endpoint()
{
    return {{"name", "e0"},
            {"service", "rota"},
            {"zone", "z"},
            {"address", "127.0.0.1:8000"}};
}

} // namespace

// A negative or fractional number counted as 0, and one near 2^63 as it stood,
// so that the numbers of the next commands were negative in their JSON.
TEST_CASE("numbers out of range in a worker's report are findings",
          "[json_conversion]")
{
    worker_report report = report_from_json(make_report());
    CHECK(report.epoch_ == 2);
    CHECK(report.applied_command_ == 7);
    CHECK(report.parts_.front().gang_.attempt_ == 3);
    for (const QJsonValue& odd :
         {QJsonValue(-1), QJsonValue(0.5), QJsonValue(1e300),
          QJsonValue(std::numeric_limits<qint64>::max()),
          QJsonValue(qint64(1) << 53), QJsonValue("7"), QJsonValue(true)}) {
        for (const char* field : {"epoch", "applied"}) {
            QJsonObject object = make_report();
            object[field] = odd;
            CHECK_THROWS_AS(report_from_json(object), findings_error);
        }
        QJsonObject object = make_report();
        QJsonArray parts = object["parts"].toArray();
        QJsonObject part = parts[0].toObject();
        part["attempt"] = odd;
        parts[0] = part;
        object["parts"] = parts;
        CHECK_THROWS_AS(report_from_json(object), findings_error);
    }
}

TEST_CASE("odd fields of an endpoint are findings", "[json_conversion]")
{
    CHECK(endpoint_from_json(make_endpoint()).slots_ == 8);
    for (const char* address :
         {"127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1",
          "127.0.0.1:80x", "", ":80"}) {
        QJsonObject object = make_endpoint();
        object["address"] = address;
        INFO(address);
        CHECK_THROWS_AS(endpoint_from_json(object), findings_error);
    }
    for (const char* field : {"name", "service", "zone"}) {
        QJsonObject object = make_endpoint();
        object[field] = "";
        CHECK_THROWS_AS(endpoint_from_json(object), findings_error);
    }
    for (const char* field : {"slots", "connections", "time_to_live_ms"}) {
        for (double odd : {-5.0, 0.5, 1e300, 9007199254740992.0}) {
            QJsonObject object = make_endpoint();
            object[field] = odd;
            CHECK_THROWS_AS(endpoint_from_json(object), findings_error);
        }
    }
}

// A negative sequence counted as the highest, so the endpoint's own
// announcements were stale until the odd one expired.
TEST_CASE("a sequence out of range is a finding", "[json_conversion]")
{
    QJsonObject object = make_endpoint();
    CHECK(sequence_from_json(object, 12) == 12);
    object["sequence"] = 5;
    CHECK(sequence_from_json(object, 12) == 5);
    for (const QJsonValue& odd :
         {QJsonValue(-1), QJsonValue(0.5), QJsonValue(qint64(1) << 53),
          QJsonValue("5")}) {
        object["sequence"] = odd;
        CHECK_THROWS_AS(sequence_from_json(object, 12), findings_error);
    }
}

// Guards against names that lose a byte order mark (review/14), or that become
// others since they are no Unicode texts.
TEST_CASE("a name stays as it is or is a finding", "[json_conversion]")
{
    auto endpoint_named = [](const std::string& name) {
        auto object = parse_object(
            R"({"name":")" + name +
            R"(","service":"s","zone":"z","address":"127.0.0.1:1"})");
        REQUIRE(object);
        return endpoint_from_json(*object).name_.str();
    };
    CHECK(endpoint_named("\xEF\xBB\xBF"
                         "e") == "\xEF\xBB\xBF"
                                 "e");
    CHECK(endpoint_named(R"(\ufeffe)") == "\xEF\xBB\xBF"
                                          "e");
    CHECK_THROWS_AS(endpoint_named(R"(e\ud800)"), findings_error);
    auto written = parse_object(serialize_json({{"name", to_qt("\xEF\xBB\xBF"
                                                               "e")}}));
    REQUIRE(written);
    CHECK(text_of(written->value("name")) == "\xEF\xBB\xBF"
                                             "e");
}
