#include "dandelioncrank/core/json.hpp"

#include <QJsonDocument>
#include <QStringDecoder>

#include <algorithm>
#include <vector>

namespace dandelioncrank {

namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view escaped_byte_order_mark = "\\ufeff";
constexpr std::string_view escapable_characters = "\"\\/bfnrtu";

/// A document in which each byte order mark is an escape sequence.
struct escaped_document
{
    std::string text_;
    /// Offsets of these sequences in the text.
    std::vector<std::size_t> marks_;

    /// Returns the offset in the document that was escaped.
    [[nodiscard]] std::size_t original_offset(std::size_t offset) const
    {
        constexpr std::size_t escaped_size = escaped_byte_order_mark.size();
        auto passed = std::count_if(marks_.begin(), marks_.end(),
                                    [offset](std::size_t mark) {
                                        return mark + escaped_size <= offset;
                                    });
        return offset - static_cast<std::size_t>(passed) *
                            (escaped_size - byte_order_mark.size());
    }
};

// Qt's parser accepts an unknown escape sequence as the character after the
// backslash, and its strings drop a byte order mark that is not escaped.
std::variant<escaped_document, json_error>
escape_byte_order_marks(std::string_view bytes)
{
    escaped_document result;
    std::size_t copied = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        if (bytes[at] == '\\') {
            ++at;
            if (at < bytes.size() &&
                escapable_characters.find(bytes[at]) == std::string_view::npos)
                return json_error{"invalid escape sequence", at - 1};
        } else if (bytes.substr(at, byte_order_mark.size()) ==
                   byte_order_mark) {
            result.text_ += bytes.substr(copied, at - copied);
            result.marks_.push_back(result.text_.size());
            result.text_ += escaped_byte_order_mark;
            copied = at + byte_order_mark.size();
            at = copied - 1;
        }
    }
    result.text_ += bytes.substr(copied);
    return result;
}

} // namespace

QString to_qt(std::string_view text)
{
    QStringDecoder decoder(QStringDecoder::Utf8,
                           QStringConverter::Flag::ConvertInitialBom);
    return decoder(
        QByteArrayView(text.data(), static_cast<qsizetype>(text.size())));
}

std::optional<std::string> from_qt(const QString& text)
{
    if (!text.isValidUtf16())
        return std::nullopt;
    return text.toStdString();
}

std::optional<std::string> text_of(const QJsonValue& value)
{
    if (!value.isString())
        return std::nullopt;
    return from_qt(value.toString());
}

bool is_utf8(std::string_view bytes)
{
    return QByteArrayView(bytes.data(), static_cast<qsizetype>(bytes.size()))
        .isValidUtf8();
}

std::variant<QJsonObject, json_error> parse_json_object(std::string_view bytes)
{
    if (!is_utf8(bytes))
        return json_error{"the bytes are not UTF-8"};
    // A mark before the document is not part of it (RFC 8259, 8.1).
    std::size_t skipped =
        bytes.substr(0, byte_order_mark.size()) == byte_order_mark
            ? byte_order_mark.size()
            : 0;
    auto escaped = escape_byte_order_marks(bytes.substr(skipped));
    if (const auto* error = std::get_if<json_error>(&escaped))
        return json_error{error->cause_, skipped + error->offset_};
    const auto& valid = std::get<escaped_document>(escaped);
    QJsonParseError error;
    QJsonDocument document = QJsonDocument::fromJson(
        QByteArray::fromRawData(valid.text_.data(),
                                static_cast<qsizetype>(valid.text_.size())),
        &error);
    if (error.error != QJsonParseError::NoError)
        return json_error{
            error.errorString().toStdString(),
            skipped +
                valid.original_offset(static_cast<std::size_t>(error.offset))};
    if (!document.isObject())
        return json_error{"it is no object"};
    return document.object();
}

std::string to_compact_json(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace dandelioncrank
