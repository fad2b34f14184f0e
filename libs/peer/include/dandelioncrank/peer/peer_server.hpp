#pragma once

#include "dandelioncrank/settings/settings_reader.hpp"

#include <QByteArray>
#include <QObject>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace dandelioncrank {

class tcp_listener;
class tcp_socket;
class http2_session;

/// Receives messages from other daemons.
class peer_server : public QObject
{
  public:
    /// Responds to one message, immediately or later. An empty value tells the
    /// sender that the message was rejected.
    using responder = std::function<void(std::optional<QByteArray>)>;
    using message_handler = std::function<void(QByteArray body, responder)>;

    /// Throws std::system_error if the address cannot be bound.
    peer_server(const host_port& address, message_handler on_message);
    ~peer_server() override;

    [[nodiscard]] int port() const;
    [[nodiscard]] std::uint64_t received_bytes() const
    {
        return received_bytes_;
    }
    [[nodiscard]] std::uint64_t received_messages() const
    {
        return received_messages_;
    }

  private:
    struct connection
    {
        std::unique_ptr<tcp_socket> socket_;
        std::unique_ptr<http2_session> session_;
    };

    void accept(int descriptor);
    void close_connection(std::uint64_t connection_id);
    void respond(std::uint64_t connection_id, std::int32_t stream,
                 const std::optional<QByteArray>& body);

    message_handler on_message_;
    std::map<std::uint64_t, connection> connections_;
    std::uint64_t next_connection_id_ = 0;
    std::uint64_t received_bytes_ = 0;
    std::uint64_t received_messages_ = 0;
    std::unique_ptr<tcp_listener> listener_;
};

} // namespace dandelioncrank
