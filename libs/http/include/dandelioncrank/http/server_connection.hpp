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
    void close_after_answer();

    [[nodiscard]] bool is_busy() const { return phase_ == phase::busy; }
    /// Number of requests handed to the handler so far.
    [[nodiscard]] std::uint64_t request_number() const { return number_; }

    /// The caller went away while its request was in flight.
    std::function<void()> on_disconnect_;
    std::function<void()> on_finished_;
    /// Decorates answers to requests that could not be read.
    std::function<void(http_response&)> on_refusal_;

  private:
    enum class phase
    {
        idle,
        head,
        body,
        busy,
        writing,
        draining,
        closed
    };

    void read_input();
    void handle_input_end();
    void handle_timeout();
    void handle_drained();
    void start_request();
    void refuse(const parse_refusal& refusal);
    void enter(phase next, duration limit);
    void next_request();
    void linger();
    void finish();

    http_limits limits_;
    request_handler on_request_;
    tcp_socket socket_;
    QTimer timer_;
    message_parser parser_;
    phase phase_ = phase::idle;
    bool close_wanted_ = false;
    bool keep_alive_ = true;
    bool answers_head_ = false;
    bool continue_sent_ = false;
    std::size_t drained_bytes_ = 0;
    std::uint64_t number_ = 0;
};

} // namespace dandelioncrank
