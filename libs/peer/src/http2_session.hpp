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
    /// Processes the bytes read by the socket. Returns false if they are not
    /// HTTP/2 and the connection must be closed.
    bool process_input();
    /// Sends pending output.
    void flush();

    /// Server: called for each complete request. Client: called for each
    /// complete response.
    std::function<void(std::int32_t stream, bool is_ok, QByteArray body)>
        on_message_;
    /// Client: called when a stream closed without a complete response.
    std::function<void(std::int32_t stream)> on_stream_failed_;

  private:
    struct stream_state
    {
        QByteArray receive_buffer_;
        QByteArray send_buffer_;
        qsizetype sent_bytes_ = 0;
        bool is_ok_ = true;
        bool is_delivered_ = false;
    };

    struct callbacks;

    side side_;
    tcp_socket& socket_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, stream_state> streams_;
    /// Bytes received of messages that are not complete.
    qsizetype incomplete_bytes_ = 0;
    bool is_flushing_ = false;
};

} // namespace dandelioncrank
