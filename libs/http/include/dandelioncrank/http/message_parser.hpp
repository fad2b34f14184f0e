#pragma once

#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/http/http_message.hpp"

#include <memory>
#include <optional>
#include <string>

namespace dandelioncrank {

enum class parse_state
{
    incomplete,
    complete,
    rejected
};

/// Why a message was rejected, with the HTTP status to return.
struct parse_error
{
    int status_ = 400;
    std::string reason_;
};

/// Strict incremental parser for one HTTP/1.1 message.
///
/// In addition to Boost.Beast's checks, it rejects repeated Content-Length
/// fields, folded header lines, requests with a missing or repeated Host, bare
/// line feeds, and responses delimited only by the close of the connection.
/// Chunk lines and trailers together are bounded as the header is, but for the
/// ordinary framing of each chunk.
class message_parser
{
  public:
    enum class kind
    {
        request,
        response,
        response_to_head
    };

    message_parser(kind message_kind, const http_limits& limits);
    ~message_parser();

    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;

    /// Consumes the bytes of this message from the front of the buffer; bytes
    /// of a following message are left in it.
    parse_state feed(std::string& buffer);

    [[nodiscard]] parse_state state() const;
    [[nodiscard]] bool head_complete() const;
    /// Whether the client waits for "100 Continue" before sending the body.
    [[nodiscard]] bool expects_continue() const;
    /// Bytes of the header and the body that are held.
    [[nodiscard]] std::size_t buffered_bytes() const;
    [[nodiscard]] std::size_t body_bytes() const;
    /// The Content-Length, where there is one.
    [[nodiscard]] std::optional<std::size_t> announced_body_bytes() const;
    [[nodiscard]] const parse_error& error() const;

    /// Moves the message out. Valid only in state complete.
    [[nodiscard]] http_request take_request();
    [[nodiscard]] http_response take_response();

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank
