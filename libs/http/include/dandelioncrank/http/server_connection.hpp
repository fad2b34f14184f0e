#pragma once

#include "dandelioncrank/http/http_limits.hpp"
#include "dandelioncrank/http/message_parser.hpp"
#include "dandelioncrank/http/tcp_socket.hpp"

#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>

namespace dandelioncrank {

/// Serves one caller's connection: one request in flight at a time, the
/// next one read only after the answer to the one before was written.
class server_connection : public QObject
{
  public:
    using request_handler =
        std::function<void(server_connection&, http_request)>;

    server_connection(int descriptor, const http_limits& limits,
                      request_handler on_request);

    /// Answers the request in flight. Call once for each request.
    void respond(http_response response);

    /// Ends the connection after the answer to the request in flight, or to
    /// the next one if there is none.
    void close_after_response();

    [[nodiscard]] bool is_busy() const { return phase_ == phase::busy; }
    /// Number of requests handed to the handler so far.
    [[nodiscard]] std::uint64_t request_number() const
    {
        return request_number_;
    }

    /// The caller went away while its request was in flight.
    std::function<void()> on_disconnected_;
    std::function<void()> on_finished_;
    /// Decorates answers to requests that could not be read.
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
    void handle_input_end();
    void handle_timeout();
    void handle_drained();
    void start_request();
    void reject(const parse_error& error);
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
    std::size_t discarded_bytes_ = 0;
    std::uint64_t request_number_ = 0;
};

} // namespace dandelioncrank
