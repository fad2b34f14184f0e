#pragma once

#include "dandelioncrank/http/buffer_account.hpp"
#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/http/message_parser.hpp"
#include "dandelioncrank/http/tcp_socket.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <optional>

namespace dandelioncrank {

/// Server side of one client connection. Handles one request at a time; the
/// next one is parsed only after the previous response has been written.
class server_connection : public QObject
{
  public:
    using request_handler =
        std::function<void(server_connection&, http_request)>;

    server_connection(int descriptor, const http_limits& limits,
                      request_handler on_request);

    /// Counts the buffers of this connection against the budget, which must
    /// outlive it.
    void set_buffer_budget(buffer_budget& budget);

    /// Sends the response to the request in flight. Call once per request.
    void respond(http_response response);

    /// Closes the connection after the response to the request in flight, or
    /// to the next request if the connection is idle.
    void close_after_response();

    /// Closes the connection if no request would be lost by it.
    void close_if_idle();
    /// Whether close_if_idle() would close it.
    [[nodiscard]] bool is_idle() const
    {
        return phase_ == phase::idle || phase_ == phase::head ||
               phase_ == phase::lingering;
    }
    /// Time of the last change of phase.
    [[nodiscard]] instant phase_since() const { return phase_since_; }

    [[nodiscard]] bool is_busy() const { return phase_ == phase::busy; }
    /// Number of requests passed to the handler so far.
    [[nodiscard]] std::uint64_t request_number() const
    {
        return request_number_;
    }

    /// Invoked if the client disconnects while its request is in flight.
    std::function<void()> on_disconnected_;
    std::function<void()> on_finished_;
    /// Customizes responses to requests that could not be parsed.
    std::function<void(http_response&)> on_error_response_;

  private:
    enum class phase
    {
        idle,
        head,
        body,
        busy,
        writing,
        lingering,
        closed
    };

    void read_input();
    void process_input();
    /// Whether the body may be read now.
    bool admit_body();
    void continue_body();
    void give_up_buffers();
    void refuse_for_memory();
    void update_account();
    void handle_input_end();
    void handle_timeout();
    void handle_drained();
    void start_request();
    void reject(parse_error error);
    void enter_phase(phase next, duration timeout);
    void read_next_request();
    void linger();
    void finish();

    http_limits limits_;
    request_handler on_request_;
    tcp_socket socket_;
    QTimer timer_;
    message_parser parser_;
    phase phase_ = phase::idle;
    bool close_requested_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    bool continue_sent_ = false;
    std::optional<buffer_account> account_;
    instant phase_since_{};
    /// Memory of the request in flight.
    std::size_t request_bytes_ = 0;
    bool body_admitted_ = false;
    std::size_t discarded_bytes_ = 0;
    std::uint64_t request_number_ = 0;
};

} // namespace dandelioncrank
