#pragma once

#include "dandelioncrank/http/tcp_socket.hpp"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include <nghttp2/nghttp2.h>

namespace dandelioncrank {

/// Maximum size of the body of a message between daemons, in bytes.
inline constexpr qsizetype max_message_bytes = 64 * 1024 * 1024;
/// Larger messages to a server announce their size and wait to be admitted.
inline constexpr qsizetype small_message_bytes = 60 * 1024;

/// An HTTP/2 connection between two daemons over an open socket. Each message
/// is one stream: a POST with a body, answered with a body.
class http2_session
{
  public:
    enum class side
    {
        client,
        server
    };

    /// The socket must outlive the session.
    http2_session(side which, tcp_socket& socket);
    ~http2_session();

    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;

    /// Client: opens a stream. Returns its ID, or a negative error code.
    std::int32_t submit_request(const QByteArray& body);
    /// Server: responds on a stream.
    void submit_response(std::int32_t stream, bool is_ok,
                         const QByteArray& body);
    /// Server: receives the rest of a large message.
    void admit(std::int32_t stream);
    /// Server: resets a stream whose message is not received.
    void refuse(std::int32_t stream);
    /// Frees what is held, once it is not in use; nothing is received or sent
    /// any more.
    void end();
    /// Processes the bytes read by the socket. Returns false if they are not
    /// HTTP/2 or the session has ended, and the connection must be closed.
    bool process_input();
    /// Sends pending output.
    void flush();

    /// Server: memory held for open streams, besides admitted messages: what
    /// was received, and the part of responses that is not sent.
    [[nodiscard]] std::size_t held_bytes() const;
    /// Bytes of bodies that the peer's windows hold back.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Server: bytes received of an incomplete message.
    [[nodiscard]] std::size_t received_bytes(std::int32_t stream) const;

    /// Server: called for each complete request. Client: called for each
    /// complete response.
    std::function<void(std::int32_t stream, bool is_ok, QByteArray body)>
        on_message_;
    /// Client: called when a stream closed without a complete response.
    std::function<void(std::int32_t stream)> on_stream_failed_;
    /// Server: a message larger than small_message_bytes was announced. No more
    /// than the initial window is received of it before admit() is called.
    std::function<void(std::int32_t stream, std::size_t bytes)>
        on_large_message_;
    /// Server: a stream has ended, with or without a message.
    std::function<void(std::int32_t stream)> on_stream_closed_;

  private:
    struct stream_state
    {
        QByteArray receive_buffer_;
        QByteArray send_buffer_;
        qsizetype sent_bytes_ = 0;
        bool is_ok_ = true;
        bool is_delivered_ = false;
        /// Size that a request announces.
        qsizetype announced_bytes_ = 0;
        bool is_admitted_ = false;
        bool is_refused_ = false;
    };

    struct callbacks;

    void receive_data(std::int32_t stream, const char* bytes, qsizetype size);
    void receive_end(std::int32_t stream);
    void close_stream(std::int32_t stream);
    /// Frees an ended session that is not on the call stack.
    void release();

    side side_;
    tcp_socket& socket_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream_state> streams_;
    /// Bytes received of messages that are neither complete nor admitted.
    qsizetype incomplete_bytes_ = 0;
    qsizetype unsent_bytes_ = 0;
    bool is_flushing_ = false;
    bool is_receiving_ = false;
    bool has_ended_ = false;
};

} // namespace dandelioncrank
