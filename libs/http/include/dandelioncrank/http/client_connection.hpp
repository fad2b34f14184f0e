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

/// No byte of the request left this host.
struct request_not_sent
{
    std::string reason_;
};

/// The whole answer arrived.
struct request_answered
{
    http_response response_;
};

/// Bytes left, and no whole answer arrived.
struct request_unanswered
{
    std::string reason_;
    /// The time limit ended it, not the endpoint.
    bool timed_out_ = false;
};

using client_outcome =
    std::variant<request_not_sent, request_answered, request_unanswered>;

/// Connection to one endpoint; sends each request exactly once.
class client_connection : public QObject
{
  public:
    using outcome_handler = std::function<void(client_outcome)>;

    client_connection(const host_port& address, const http_limits& limits);

    /// Sends one request; the handler is called once, never from within
    /// this call. Only one request may be in flight.
    void send(const http_request& request, duration timeout,
              outcome_handler on_outcome);

    /// Gives the request in flight up, as its timeout would.
    void abort(const std::string& reason);

    /// Whether another request may be sent on the same connection now.
    [[nodiscard]] bool is_reusable() const;

    [[nodiscard]] const host_port& address() const { return address_; }

  private:
    void read_input();
    void fail(const std::string& reason, bool timed_out = false);
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
