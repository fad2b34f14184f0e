#include "document_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <set>

namespace dandelioncrank {

namespace {

constexpr std::size_t max_name_length = 64;

bool is_valid_name(const std::string& text)
{
    auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Accepts an integer with unit, such as "250ms", "5s", "2m" or "1h".
std::optional<duration> parse_duration(const std::string& text)
{
    auto digits = text.find_first_not_of("0123456789");
    if (digits == std::string::npos || digits == 0 || digits > 9)
        return std::nullopt;
    auto count = parse_integer(std::string_view(text).substr(0, digits));
    std::string unit = text.substr(digits);
    if (!count)
        return std::nullopt;
    if (unit == "ms")
        return std::chrono::milliseconds(*count);
    if (unit == "s")
        return std::chrono::seconds(*count);
    if (unit == "m")
        return std::chrono::minutes(*count);
    if (unit == "h")
        return std::chrono::hours(*count);
    return std::nullopt;
}

std::string scalar_text(const YAML::Node& node)
{
    return node.IsScalar() ? node.Scalar() : std::string();
}

} // namespace

document_reader::document_reader(std::string file, findings& collected)
    : file_(std::move(file)), findings_(collected)
{
}

source_location document_reader::location_of(const YAML::Node& node) const
{
    YAML::Mark mark = node.Mark();
    return {file_, mark.line + 1, mark.column + 1};
}

void document_reader::report(const YAML::Node& node, std::string cause,
                             std::string remedy)
{
    findings_.add(location_of(node), std::move(cause), std::move(remedy));
}

bool document_reader::check_map(const YAML::Node& node,
                                std::initializer_list<std::string_view> keys)
{
    if (!node.IsMap()) {
        report(node, "expected fields (key: value)", "write one a line");
        return false;
    }
    std::set<std::string> seen;
    for (const auto& item : node) {
        std::string key = scalar_text(item.first);
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            std::string known;
            for (std::string_view name : keys)
                known += (known.empty() ? "" : ", ") + std::string(name);
            report(item.first, "unknown field '" + key + "'",
                   "known here: " + known);
        }
        if (!seen.insert(key).second)
            report(item.first, "field '" + key + "' stands twice",
                   "keep one of them");
    }
    return true;
}

std::string document_reader::read_name(const YAML::Node& node)
{
    std::string text = scalar_text(node);
    if (is_valid_name(text))
        return text;
    report(node, "'" + text + "' is no name",
           "use up to 64 letters, digits, '-', '_' or '.'");
    return {};
}

std::string document_reader::read_name(const YAML::Node& map,
                                       const std::string& key)
{
    const YAML::Node node = map[key];
    if (node)
        return read_name(node);
    report(map, "field '" + key + "' is missing", "add it");
    return {};
}

int document_reader::read_number(const YAML::Node& map, const std::string& key,
                                 number_range range, int default_value)
{
    const YAML::Node node = map[key];
    if (!node)
        return default_value;
    auto value = parse_integer(scalar_text(node));
    if (value && *value >= range.min_ && *value <= range.max_)
        return static_cast<int>(*value);
    report(node, key + " '" + scalar_text(node) + "' is out of range",
           "write a whole number from " + std::to_string(range.min_) + " to " +
               std::to_string(range.max_));
    return default_value;
}

int document_reader::read_required_number(const YAML::Node& map,
                                          const std::string& key,
                                          number_range range)
{
    if (!map[key])
        report(map, "field '" + key + "' is missing", "add it");
    return read_number(map, key, range, range.min_);
}

bool document_reader::read_bool(const YAML::Node& map, const std::string& key,
                                bool default_value)
{
    const YAML::Node node = map[key];
    if (!node)
        return default_value;
    std::string text = scalar_text(node);
    if (text == "true" || text == "yes")
        return true;
    if (text != "false" && text != "no")
        report(node, key + " '" + text + "' is neither yes nor no",
               "write yes or no");
    return false;
}

duration document_reader::read_duration(const YAML::Node& map,
                                        const std::string& key,
                                        duration_range range,
                                        duration default_value)
{
    const YAML::Node node = map[key];
    if (!node)
        return default_value;
    auto value = parse_duration(scalar_text(node));
    if (value && *value >= range.min_ && *value <= range.max_)
        return *value;
    auto format_ms = [](duration time) {
        return std::to_string(time / std::chrono::milliseconds(1)) + "ms";
    };
    report(node, key + " '" + scalar_text(node) + "' is out of range",
           "write a time such as 250ms, 5s or 2m, from " +
               format_ms(range.min_) + " to " + format_ms(range.max_));
    return default_value;
}

std::vector<YAML::Node> document_reader::read_list(const YAML::Node& map,
                                                   const std::string& key)
{
    std::vector<YAML::Node> items;
    const YAML::Node node = map[key];
    if (!node)
        return items;
    if (!node.IsSequence()) {
        report(node, "field '" + key + "' is no list",
               "write one '- ' line for each item");
        return items;
    }
    for (const auto& item : node)
        items.push_back(item);
    return items;
}

} // namespace dandelioncrank
