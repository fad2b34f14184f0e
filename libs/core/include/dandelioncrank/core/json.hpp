#pragma once

#include <QJsonObject>
#include <QJsonValue>
#include <QString>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace dandelioncrank {

/// Conversions between UTF-8 and Qt's strings and JSON. They keep each text as
/// it is, with a byte order mark at its beginning, or say that it is not one.
/// The conversions of Qt drop such a mark and replace what is no text.

/// Converts UTF-8. Bytes that are not UTF-8 become U+FFFD.
[[nodiscard]] QString to_qt(std::string_view text);
/// Converts to UTF-8. Returns std::nullopt for a text with a lone surrogate.
[[nodiscard]] std::optional<std::string> from_qt(const QString& text);
/// Returns the text of a JSON string, std::nullopt for all other values and for
/// a string with a lone surrogate.
[[nodiscard]] std::optional<std::string> text_of(const QJsonValue& value);
[[nodiscard]] bool is_utf8(std::string_view bytes);

/// Why bytes are not a JSON object, and from which byte on; 0 is the first one.
struct json_error
{
    std::string cause_;
    std::size_t offset_ = 0;
};

[[nodiscard]] std::variant<QJsonObject, json_error>
parse_json_object(std::string_view bytes);
/// Serializes an object as compact JSON in UTF-8.
[[nodiscard]] std::string to_compact_json(const QJsonObject& object);

} // namespace dandelioncrank
