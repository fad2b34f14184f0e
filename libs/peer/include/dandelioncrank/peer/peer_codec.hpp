#pragma once

#include "dandelioncrank/core/wire.hpp"

#include <QByteArray>

#include <functional>
#include <optional>
#include <string>

namespace dandelioncrank {

/// A message between daemons, if it can be read and has the wanted version;
/// otherwise the fault is told.
template <class Message>
std::optional<Message>
decode_message(const QByteArray& bytes, std::uint32_t expected_version,
               const std::function<void(const std::string&)>& on_fault)
{
    try {
        auto message = from_wire<Message>(bytes);
        if (message.version_ == expected_version)
            return message;
        on_fault("its version is " + std::to_string(message.version_));
    } catch (const wire_error& error) {
        on_fault(error.what());
    }
    return std::nullopt;
}

/// The answer of another daemon; nothing if none came or it was bad.
template <class Response>
std::optional<Response> decode_response(const std::optional<QByteArray>& bytes)
{
    if (!bytes)
        return std::nullopt;
    try {
        return from_wire<Response>(*bytes);
    } catch (const wire_error&) {
        // The same as no answer: the call's limit and retry decide.
        return std::nullopt;
    }
}

} // namespace dandelioncrank
