#pragma once

#include "dandelioncrank/http/descriptor_budget.hpp"
#include "dandelioncrank/http/server_connection.hpp"
#include "dandelioncrank/http/tcp_listener.hpp"

#include <functional>
#include <map>
#include <memory>

namespace dandelioncrank {

/// Answers one request later. Safe to call after the caller has gone; only
/// the first call counts.
class responder
{
  public:
    using send = std::function<void(http_response)>;

    explicit responder(send action) : send_(std::move(action)) {}
    void operator()(http_response response);

    /// Called if the caller goes away first. Set it before returning from
    /// the handler.
    std::function<void()> on_disconnect_;

  private:
    send send_;
};

/// HTTP server in the event loop of its thread.
class http_server
{
  public:
    using handler =
        std::function<void(http_request, const std::shared_ptr<responder>&)>;

    /// Throws std::system_error if the address cannot be had.
    http_server(const host_port& address, const http_limits& limits,
                handler on_request);
    ~http_server();

    [[nodiscard]] int port() const { return listener_->port(); }
    [[nodiscard]] std::size_t connections() const
    {
        return connections_.size();
    }
    [[nodiscard]] std::size_t requests_in_flight() const;

    /// Takes no new connection and ends each open one after its next answer.
    void stop_accepting();

    /// Counts its connections there from now on, and keeps to the budget. It
    /// has to outlive this server.
    void share(descriptor_budget& budget);

    /// Decorates answers to requests that could not be read.
    std::function<void(http_response&)> on_refusal_;

  private:
    void accept(int descriptor);
    void handle(server_connection& connection, http_request request);
    void drop(server_connection* connection);

    http_limits limits_;
    descriptor_budget* budget_ = nullptr;
    handler on_request_;
    std::unique_ptr<tcp_listener> listener_;
    std::map<server_connection*, std::unique_ptr<server_connection>>
        connections_;
    bool stopping_ = false;
};

} // namespace dandelioncrank
