#pragma once

#include "dandelioncrank/peer/peer_limits.hpp"
#include "dandelioncrank/settings/settings_reader.hpp"

#include <QByteArray>
#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dandelioncrank {

class peer_budgets;
class peer_connection;
class tcp_listener;

/// What a peer_server holds, and what it has refused.
struct peer_server_status
{
    std::size_t connections_ = 0;
    std::size_t unverified_connections_ = 0;
    /// Bytes held for messages that are not complete.
    std::size_t held_bytes_ = 0;
    std::uint64_t connections_refused_ = 0;
    /// Closed by this side.
    std::uint64_t connections_closed_ = 0;
    /// Too large, or without progress.
    std::uint64_t messages_refused_ = 0;
};

/// Receives messages from other daemons.
class peer_server : public QObject
{
  public:
    /// Responds to one message, immediately or later. An empty value tells the
    /// sender that the message was rejected.
    using responder = std::function<void(std::optional<QByteArray>)>;
    using message_handler = std::function<void(QByteArray body, responder)>;

    /// Throws std::system_error if the address cannot be bound.
    peer_server(const host_port& address, message_handler on_message,
                const peer_limits& limits = {});
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

    [[nodiscard]] peer_server_status status() const;

  private:
    void accept(int descriptor);
    void remove(std::uint64_t connection_id);
    void close_least_useful();
    void start_checks();
    void check_connections();

    message_handler on_message_;
    peer_limits limits_;
    std::unique_ptr<peer_budgets> budgets_;
    std::map<std::uint64_t, std::unique_ptr<peer_connection>> connections_;
    /// Closed connections, which may still be on the call stack.
    std::vector<std::unique_ptr<peer_connection>> closed_;
    std::uint64_t next_connection_id_ = 0;
    std::uint64_t received_bytes_ = 0;
    std::uint64_t received_messages_ = 0;
    std::uint64_t connections_refused_ = 0;
    std::uint64_t connections_closed_ = 0;
    QTimer check_timer_;
    std::unique_ptr<tcp_listener> listener_;
};

} // namespace dandelioncrank
