#pragma once

#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/http/message_parser.hpp"
#include "dandelioncrank/http/tcp_socket.hpp"

#include <QObject>
#include <QTimer>

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank {

/// No byte of the request was handed to the kernel; safe to retry elsewhere.
struct request_not_sent
{
    std::string reason_;
    /// Whether the request timeout expired, as opposed to a connection error.
    bool timed_out_ = false;
    /// Whether the endpoint's host has refused the connection.
    bool was_refused_ = false;
    /// Whether the endpoint has closed the connection, as opposed to a reset.
    bool was_closed_in_order_ = false;
};

/// The complete response arrived.
struct request_answered
{
    http_response response_;
};

/// At least one byte of the request was sent, but no complete response
/// arrived; whether the endpoint processed the request is unknown.
struct request_unanswered
{
    std::string reason_;
    /// Whether the request timeout expired, as opposed to a connection error.
    bool timed_out_ = false;
    /// Whether the endpoint has closed the connection, as opposed to a reset.
    bool was_closed_in_order_ = false;
};

using client_outcome =
    std::variant<request_not_sent, request_answered, request_unanswered>;

/// HTTP connection to one endpoint. Sends each request at most once and never
/// retries.
class client_connection : public QObject
{
  public:
    using outcome_handler = std::function<void(client_outcome)>;

    client_connection(const host_port& address, const http_limits& limits);

    /// Sends one request. The handler is invoked exactly once, never from
    /// within this call. Only one request may be in flight.
    void send(const http_request& request, duration timeout,
              outcome_handler on_outcome);

    /// Fails the request in flight and closes the connection.
    void abort(const std::string& reason);

    /// Whether the connection is idle and can carry another request.
    [[nodiscard]] bool is_reusable() const;

    [[nodiscard]] const host_port& address() const { return address_; }

  private:
    enum class failure
    {
        /// A connection error or an unusable answer.
        error,
        timed_out,
        closed_in_order
    };

    void read_input();
    void fail(const std::string& reason, failure kind = failure::error);
    void finish(client_outcome outcome);

    host_port address_;
    http_limits limits_;
    tcp_socket socket_;
    QTimer timer_;
    std::optional<message_parser> parser_;
    outcome_handler on_outcome_;
    std::uint64_t sent_bytes_at_start_ = 0;
    bool in_flight_ = false;
    bool reusable_ = false;
    bool head_request_ = false;
};

} // namespace dandelioncrank
