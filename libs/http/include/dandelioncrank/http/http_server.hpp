#pragma once

#include "dandelioncrank/http/buffer_budget.hpp"
#include "dandelioncrank/http/descriptor_budget.hpp"
#include "dandelioncrank/http/server_connection.hpp"
#include "dandelioncrank/http/tcp_listener.hpp"

#include <QTimer>

#include <functional>
#include <map>
#include <memory>

namespace dandelioncrank {

/// Sends the response to one request asynchronously. Calls after the client
/// has disconnected and calls after the first one are ignored.
class responder
{
  public:
    using send_function = std::function<void(http_response)>;

    explicit responder(send_function send) : send_(std::move(send)) {}
    void operator()(http_response response);

    /// Invoked if the client disconnects before the response. Set it before
    /// returning from the request handler.
    std::function<void()> on_disconnected_;

  private:
    send_function send_;
};

/// HTTP server that runs in the event loop of its thread.
class http_server
{
  public:
    using handler =
        std::function<void(http_request, const std::shared_ptr<responder>&)>;

    /// Throws std::system_error if the address cannot be bound.
    http_server(const host_port& address, const http_limits& limits,
                handler on_request);
    ~http_server();

    [[nodiscard]] int port() const { return listener_->port(); }
    [[nodiscard]] std::size_t connections() const
    {
        return connections_.size();
    }
    [[nodiscard]] std::size_t requests_in_flight() const;

    /// Stops listening and closes each connection after its next response.
    /// Connections that clients have begun to open are still served.
    void stop_accepting();

    /// Counts this server's connections, including open ones, against the
    /// budget and enforces its thresholds. The budget must outlive the server.
    void set_descriptor_budget(descriptor_budget& budget);

    /// Counts the buffers of this server's connections against the budget,
    /// which must outlive the server. Set it before the first connection.
    void set_buffer_budget(buffer_budget& budget);

    /// Customizes responses to requests that could not be parsed.
    std::function<void(http_response&)> on_error_response_;

  private:
    void accept(int descriptor);
    [[nodiscard]] bool is_full() const;
    void close_longest_idle();
    void handle(server_connection& connection, http_request request);
    void remove(server_connection* connection);

    http_limits limits_;
    descriptor_budget* budget_ = nullptr;
    buffer_budget* buffers_ = nullptr;
    handler on_request_;
    std::unique_ptr<tcp_listener> listener_;
    std::map<server_connection*, std::unique_ptr<server_connection>>
        connections_;
    bool stopping_ = false;
    /// Ends listening, a while after stop_accepting().
    QTimer close_timer_;
    /// Checks for stalled senders.
    QTimer stall_timer_;
};

} // namespace dandelioncrank
