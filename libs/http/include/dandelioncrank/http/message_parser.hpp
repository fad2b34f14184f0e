#pragma once

#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/http/http_message.hpp"

#include <memory>
#include <string>

namespace dandelioncrank {

enum class parse_state
{
    incomplete,
    complete,
    rejected
};

/// Why input was refused, with the HTTP status that tells the sender.
struct parse_error
{
    int status_ = 400;
    std::string reason_;
};

/// Reads one HTTP/1.1 message from bytes, strictly.
///
/// On top of Boost.Beast's checks it refuses more than one Content-Length,
/// folded header lines, a missing or doubled Host, bare line feeds, and an
/// answer whose end only the close of the connection would show.
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

    /// Takes the bytes of this message from the front of the buffer; bytes
    /// of a following message stay in it.
    parse_state feed(std::string& buffer);

    [[nodiscard]] parse_state state() const;
    [[nodiscard]] bool head_complete() const;
    /// Whether the sender waits for "100 Continue" before the body.
    [[nodiscard]] bool expects_continue() const;
    [[nodiscard]] const parse_error& error() const;

    /// The message; only once it is complete.
    [[nodiscard]] http_request take_request();
    [[nodiscard]] http_response take_response();

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank
