#pragma once

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>

namespace dandelioncrank {

[[nodiscard]] inline std::string to_utf8(const std::u32string& text)
{
    std::string result;
    for (char32_t c : text) {
        auto add = [&result](char32_t byte) {
            result += static_cast<char>(byte);
        };
        if (c < 0x80) {
            add(c);
        } else if (c < 0x800) {
            add(0xC0 | c >> 6);
            add(0x80 | (c & 0x3F));
        } else if (c < 0x10000) {
            add(0xE0 | c >> 12);
            add(0x80 | (c >> 6 & 0x3F));
            add(0x80 | (c & 0x3F));
        } else {
            add(0xF0 | c >> 18);
            add(0x80 | (c >> 12 & 0x3F));
            add(0x80 | (c >> 6 & 0x3F));
            add(0x80 | (c & 0x3F));
        }
    }
    return result;
}

enum class json_spelling
{
    /// Escapes only what JSON requires.
    raw,
    escaped
};

/// Writes a JSON string without the code under test.
[[nodiscard]] inline std::string to_json_string(const std::u32string& text,
                                                json_spelling spelling)
{
    std::string result = "\"";
    auto escape = [&result](unsigned unit) {
        std::array<char, 12> digits{};
        std::snprintf(digits.data(), digits.size(), "\\u%04x", unit);
        result += digits.data();
    };
    for (char32_t c : text) {
        bool is_required = c < 0x20 || c == '"' || c == '\\';
        if (spelling == json_spelling::raw && !is_required) {
            result += to_utf8(std::u32string(1, c));
        } else if (c < 0x10000) {
            escape(static_cast<unsigned>(c));
        } else {
            escape(static_cast<unsigned>(0xD800 + ((c - 0x10000) >> 10)));
            escape(static_cast<unsigned>(0xDC00 + ((c - 0x10000) & 0x3FF)));
        }
    }
    return result + '"';
}

/// Random Unicode texts, with the characters that conversions treat in a
/// special way more often than others.
class unicode_texts
{
  public:
    explicit unicode_texts(std::uint32_t seed) : random_(seed) {}

    [[nodiscard]] std::u32string next()
    {
        std::u32string text;
        for (std::uint32_t left = random_() % 8; left > 0; --left)
            text += next_character();
        return text;
    }

  private:
    [[nodiscard]] char32_t next_character()
    {
        static constexpr std::array<char32_t, 20> special = {
            0xFEFF, 0xFEFF, 0xFEFF, 0,      1,        0x1F,   '"',
            '\\',   '/',    'u',    0x7F,   0x80,     0x7FF,  0x800,
            0xD7FF, 0xE000, 0xFFFE, 0xFFFF, 0x10FFFF, 0x1F600};
        std::uint32_t kind = random_() % 4;
        if (kind < 2)
            return special[random_() % special.size()];
        if (kind == 2)
            return 'a' + random_() % 26;
        char32_t any = random_() % 0x110000;
        return any >= 0xD800 && any < 0xE000 ? U'\uFFFD' : any;
    }

    std::mt19937 random_;
};

} // namespace dandelioncrank
