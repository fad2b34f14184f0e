#pragma once

#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

#include <QByteArray>
#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace dandelioncrank {

class tcp_socket;
class http2_session;

/// Sends messages to one other daemon over HTTP/2 streams. Connects on demand.
/// Messages that are unanswered when the connection breaks have failed; no
/// message is sent twice.
class peer_link : public QObject
{
  public:
    /// Empty if no response arrived; the message may or may not have been
    /// received.
    using response_handler = std::function<void(std::optional<QByteArray>)>;

    explicit peer_link(const host_port& address);
    ~peer_link() override;

    /// Sends one message. The handler is called exactly once, never from within
    /// this call.
    void send(const QByteArray& body, duration timeout,
              response_handler on_response);
    /// Sends a message whose response is ignored. The message is dropped while
    /// too many bytes are unsent. A connection on which no response arrives
    /// within the timeout is considered dead and replaced.
    void post(const QByteArray& body,
              duration timeout = std::chrono::seconds(5));

    [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }
    [[nodiscard]] std::uint64_t sent_messages() const { return sent_messages_; }

  private:
    struct pending_request
    {
        response_handler on_response_;
        instant deadline_;
    };

    bool ensure_connection();
    void close_connection();
    void expire_requests();
    void fail_later(response_handler on_response);

    host_port address_;
    std::unique_ptr<tcp_socket> socket_;
    std::unique_ptr<http2_session> session_;
    std::map<std::int32_t, pending_request> pending_;
    QTimer timer_;
    instant reconnect_at_{};
    std::uint64_t sent_bytes_ = 0;
    std::uint64_t sent_messages_ = 0;
    bool closing_ = false;
};

} // namespace dandelioncrank
