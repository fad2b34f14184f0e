#pragma once

#include "dandelioncrank/core/time.hpp"

#include <QByteArray>
#include <QCborStreamReader>
#include <QCborStreamWriter>

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace dandelioncrank {

/// Thrown when bytes do not decode to the expected type.
class wire_error : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

namespace detail {

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};
template <class T>
struct is_optional : std::false_type
{
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type
{
};
template <class T>
struct is_map : std::false_type
{
};
template <class K, class V>
struct is_map<std::map<K, V>> : std::true_type
{
};
template <class T>
struct is_set : std::false_type
{
};
template <class T>
struct is_set<std::set<T>> : std::true_type
{
};
template <class T>
struct is_variant : std::false_type
{
};
template <class... T>
struct is_variant<std::variant<T...>> : std::true_type
{
};

} // namespace detail

/// CBOR encoder. A struct is encoded as an array of its members, in the order
/// in which its fields() member function lists them.
class wire_writer
{
  public:
    wire_writer() : stream_(&bytes_) {}

    template <class... T>
    void operator()(const T&... values)
    {
        (write(values), ...);
    }

    /// Fields that were added to the end of a stored struct; see wire_reader.
    template <class... T>
    void appended(const T&... values)
    {
        (write(values), ...);
    }

    /// A field that was added to the end of a stored struct; see wire_reader.
    template <class T>
    void appended_with(const T& /*earlier*/, const T& value)
    {
        write(value);
    }

    template <class T>
    void write(const T& value)
    {
        if constexpr (std::same_as<T, bool>) {
            stream_.append(value);
        } else if constexpr (std::is_enum_v<T>) {
            stream_.append(static_cast<qint64>(value));
        } else if constexpr (std::unsigned_integral<T>) {
            stream_.append(static_cast<quint64>(value));
        } else if constexpr (std::signed_integral<T>) {
            stream_.append(static_cast<qint64>(value));
        } else if constexpr (std::floating_point<T>) {
            stream_.append(static_cast<double>(value));
        } else if constexpr (std::same_as<T, std::string>) {
            stream_.appendByteString(value.data(),
                                     static_cast<qsizetype>(value.size()));
        } else if constexpr (std::same_as<T, QByteArray>) {
            stream_.append(value);
        } else if constexpr (std::same_as<T, duration>) {
            stream_.append(static_cast<qint64>(value.count()));
        } else if constexpr (std::same_as<T, std::chrono::sys_seconds>) {
            stream_.append(
                static_cast<qint64>(value.time_since_epoch().count()));
        } else if constexpr (detail::is_vector<T>::value ||
                             detail::is_set<T>::value) {
            stream_.startArray(value.size());
            for (const auto& item : value)
                write(item);
            stream_.endArray();
        } else if constexpr (detail::is_map<T>::value) {
            stream_.startArray(value.size() * 2);
            for (const auto& [key, item] : value) {
                write(key);
                write(item);
            }
            stream_.endArray();
        } else if constexpr (detail::is_optional<T>::value) {
            stream_.startArray(value ? 1 : 0);
            if (value)
                write(*value);
            stream_.endArray();
        } else if constexpr (detail::is_variant<T>::value) {
            stream_.startArray(2);
            write(static_cast<std::uint64_t>(value.index()));
            std::visit([this](const auto& item) { this->write(item); }, value);
            stream_.endArray();
        } else {
            stream_.startArray();
            // fields() is shared with wire_reader and therefore not const.
            const_cast<T&>(value).fields(*this);
            stream_.endArray();
        }
    }

    [[nodiscard]] QByteArray take() { return std::move(bytes_); }

  private:
    QByteArray bytes_;
    QCborStreamWriter stream_;
};

/// Decoder for the output of wire_writer. Throws wire_error on any other input.
class wire_reader
{
  public:
    explicit wire_reader(const QByteArray& bytes);

    template <class... T>
    void operator()(T&... values)
    {
        (read(values), ...);
    }

    /// Fields that were added to the end of a stored struct. They keep their
    /// defaults in what an earlier build has stored.
    template <class... T>
    void appended(T&... values)
    {
        (read_if_present(values), ...);
    }

    /// A field that was added to the end of a stored struct, with its value in
    /// what an earlier build has stored.
    template <class T>
    void appended_with(const T& earlier, T& value)
    {
        if (has_next())
            read(value);
        else
            value = earlier;
    }

    template <class T>
    void read(T& value)
    {
        if constexpr (std::same_as<T, bool>) {
            value = read_bool();
        } else if constexpr (std::is_enum_v<T>) {
            value = static_cast<T>(read_integer());
        } else if constexpr (std::integral<T>) {
            value = static_cast<T>(read_integer());
        } else if constexpr (std::floating_point<T>) {
            value = static_cast<T>(read_double());
        } else if constexpr (std::same_as<T, std::string>) {
            value = read_bytes().toStdString();
        } else if constexpr (std::same_as<T, QByteArray>) {
            value = read_bytes();
        } else if constexpr (std::same_as<T, duration>) {
            value = duration(read_integer());
        } else if constexpr (std::same_as<T, std::chrono::sys_seconds>) {
            value =
                std::chrono::sys_seconds(std::chrono::seconds(read_integer()));
        } else if constexpr (detail::is_vector<T>::value) {
            enter_array();
            value.clear();
            while (has_next()) {
                typename T::value_type item{};
                read(item);
                value.push_back(std::move(item));
            }
            leave_array();
        } else if constexpr (detail::is_set<T>::value) {
            enter_array();
            value.clear();
            while (has_next()) {
                typename T::value_type item{};
                read(item);
                value.insert(std::move(item));
            }
            leave_array();
        } else if constexpr (detail::is_map<T>::value) {
            enter_array();
            value.clear();
            while (has_next()) {
                typename T::key_type key{};
                read(key);
                read(value[key]);
            }
            leave_array();
        } else if constexpr (detail::is_optional<T>::value) {
            enter_array();
            value.reset();
            if (has_next())
                read(value.emplace());
            leave_array();
        } else if constexpr (detail::is_variant<T>::value) {
            enter_array();
            auto index = static_cast<std::size_t>(read_integer());
            read_alternative(value, index);
            leave_array();
        } else {
            enter_array();
            value.fields(*this);
            leave_array();
        }
    }

    /// Throws wire_error if input remains after the decoded value.
    void finish();

  private:
    template <class T>
    void read_if_present(T& value)
    {
        if (has_next())
            read(value);
    }

    template <std::size_t Index = 0, class Variant>
    void read_alternative(Variant& value, std::size_t index)
    {
        if constexpr (Index < std::variant_size_v<Variant>) {
            if (index == Index)
                read(value.template emplace<Index>());
            else
                read_alternative<Index + 1>(value, index);
        } else {
            throw wire_error("unknown variant index");
        }
    }

    void enter_array();
    void leave_array();
    [[nodiscard]] bool has_next() const;
    [[nodiscard]] bool read_bool();
    [[nodiscard]] std::int64_t read_integer();
    [[nodiscard]] double read_double();
    [[nodiscard]] QByteArray read_bytes();

    int depth_ = 0;
    QCborStreamReader stream_;
};

/// Encodes a single value.
template <class T>
[[nodiscard]] QByteArray to_wire(const T& value)
{
    wire_writer writer;
    writer.write(value);
    return writer.take();
}

/// Decodes a single value. Throws wire_error if the input is malformed or has
/// trailing bytes.
template <class T>
[[nodiscard]] T from_wire(const QByteArray& bytes)
{
    T value{};
    wire_reader reader(bytes);
    reader.read(value);
    reader.finish();
    return value;
}

/// 64-bit XXH3 hash; the result is identical on every host.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes);

} // namespace dandelioncrank
