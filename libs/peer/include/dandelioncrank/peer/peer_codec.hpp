#pragma once

#include "dandelioncrank/core/wire.hpp"

#include <QByteArray>

#include <functional>
#include <optional>
#include <string>

namespace dandelioncrank {

/// Decodes a message between daemons. Reports a malformed message, or a version
/// other than the expected one, to on_fault.
template <class Message>
std::optional<Message>
decode_message(const QByteArray& bytes, std::uint32_t expected_version,
               const std::function<void(const std::string&)>& on_fault)
{
    try {
        auto message = from_wire<Message>(bytes);
        if (message.version_ == expected_version)
            return message;
        on_fault("unsupported version " + std::to_string(message.version_));
    } catch (const wire_error& error) {
        on_fault(error.what());
    }
    return std::nullopt;
}

/// Decodes the response of another daemon; empty if none arrived or it was
/// malformed.
template <class Response>
std::optional<Response> decode_response(const std::optional<QByteArray>& bytes)
{
    if (!bytes)
        return std::nullopt;
    try {
        return from_wire<Response>(*bytes);
    } catch (const wire_error&) {
        // Treated as a missing response: the call's timeout and retry decide.
        return std::nullopt;
    }
}

} // namespace dandelioncrank
