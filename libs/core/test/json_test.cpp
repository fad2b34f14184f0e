// Texts pass through JSON and Qt's strings as they are, or are refused.
#include "dandelioncrank/core/json.hpp"
#include "unicode_texts.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;

namespace {

std::optional<std::string> text_in(const std::string& body)
{
    auto parsed = parse_json_object(body);
    const auto* object = std::get_if<QJsonObject>(&parsed);
    return object != nullptr ? text_of(object->value("t")) : std::nullopt;
}

std::string error_in(const std::string& body)
{
    auto parsed = parse_json_object(body);
    const auto* error = std::get_if<json_error>(&parsed);
    return error != nullptr
               ? error->cause_ + " at " + std::to_string(error->offset_)
               : std::string();
}

} // namespace

// Guards against texts that lose their first character (review/14): a byte
// order mark at the beginning, escaped or not, and any other text.
TEST_CASE("each Unicode text is read and written as it is", "[json]")
{
    unicode_texts texts(1);
    for (int i = 0; i < 4000; ++i) {
        std::u32string text = texts.next();
        std::string expected = to_utf8(text);
        CAPTURE(i, to_json_string(text, json_spelling::escaped));
        for (auto spelling : {json_spelling::raw, json_spelling::escaped})
            REQUIRE(text_in("{\"t\":" + to_json_string(text, spelling) + '}') ==
                    expected);
        REQUIRE(from_qt(to_qt(expected)) == expected);
        QJsonObject written{{"t", to_qt(expected)}};
        REQUIRE(text_in(to_compact_json(written)) == expected);
    }
}

TEST_CASE("a byte order mark before a document is passed over", "[json]")
{
    CHECK(text_in("\xEF\xBB\xBF{\"t\":\"a\"}") == "a");
    // A second one is no part of a document either.
    CHECK(error_in("\xEF\xBB\xBF\xEF\xBB\xBF{\"t\":\"a\"}") ==
          "illegal value at 4");
    CHECK(error_in("{\xEF\xBB\xBF\"t\":\"a\"}") == "unterminated object at 2");
}

// Guards against texts that are accepted and changed: a lone surrogate became
// "?", and an unknown escape sequence the character in it.
TEST_CASE("what is no Unicode text is refused", "[json]")
{
    CHECK_FALSE(text_in(R"({"t":"\ud800"})"));
    CHECK_FALSE(text_in(R"({"t":"a\udfffb"})"));
    CHECK_FALSE(text_in(R"({"t":"\udc00\ud800"})"));
    CHECK_FALSE(text_in(R"({"t":5})"));
    CHECK_FALSE(from_qt(QString(QChar(0xd800))));
    for (const char* bytes : {"\x80", "\xC3", "\xC0\x80", "\xED\xA0\x80",
                              "\xF4\x90\x80\x80", "\xFF", "\\\x80"}) {
        CAPTURE(bytes);
        CHECK(error_in("{\"t\":\"" + std::string(bytes) + "\"}") ==
              "the bytes are not UTF-8 at 0");
    }
    CHECK(error_in(R"({"t":"a\x41"})") == "invalid escape sequence at 7");
    CHECK(error_in("{\"t\":\"\\\xEF\xBB\xBF\"}") ==
          "invalid escape sequence at 6");
    CHECK(error_in("[]") == "it is no object at 0");
}

// The mark in front is escaped before the text is parsed.
TEST_CASE("an error is shown at its place in the bytes", "[json]")
{
    CHECK(error_in("{\"t\":\"\xEF\xBB\xBF\",}")
              .ends_with(error_in("{\"t\":\"abc\",}")));
}
