#pragma once

#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/http/buffer_account.hpp"
#include "dandelioncrank/http/tcp_socket.hpp"
#include "http2_session.hpp"
#include "peer_budgets.hpp"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace dandelioncrank {

/// The server's side of a connection from another daemon.
///
/// The sender is verified once one of its messages was accepted. Until then,
/// what it sends is held in a small budget, and only for a while.
class peer_connection
{
  public:
    /// The budgets must outlive the connection.
    explicit peer_connection(peer_budgets& budgets);
    ~peer_connection();

    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    /// Takes ownership of a descriptor. May close the connection, so the
    /// callbacks must be set.
    void start(int descriptor);
    /// Responds to a message. A response with a body verifies the sender.
    void respond(std::int32_t stream, const std::optional<QByteArray>& body);
    /// Closes the socket and releases what is held. The object must live on
    /// until control returns to the event loop.
    void close();
    /// Called at regular intervals: ends what has made no progress for too many
    /// of them. Intervals are counted instead of time, so that nobody is
    /// blamed for a suspension of this host.
    void check_progress();

    [[nodiscard]] bool is_verified() const { return is_verified_; }
    [[nodiscard]] instant last_input_at() const { return last_input_at_; }
    /// Whether check_progress() has anything to do.
    [[nodiscard]] bool needs_checks() const
    {
        return !is_verified_ || !large_messages_.empty();
    }

    std::function<void(std::int32_t stream, QByteArray body)> on_message_;
    /// needs_checks() became true.
    std::function<void()> on_checks_needed_;
    /// The connection was closed, by either side.
    std::function<void()> on_closed_;

  private:
    /// A message that is received only once there is room for all of it.
    struct large_message
    {
        std::size_t bytes_ = 0;
        std::optional<buffer_account> account_;
        bool is_admitted_ = false;
        std::size_t received_bytes_ = 0;
        int checks_without_progress_ = 0;
    };

    void open_account();
    void read_input();
    void update_account();
    void verify();
    void announce(std::int32_t stream, std::size_t bytes);
    void request_room(std::int32_t stream, large_message& message);
    void admit(std::int32_t stream);
    void forget(std::int32_t stream);

    peer_budgets& budgets_;
    /// What is held besides large messages.
    std::optional<buffer_account> account_;
    std::map<std::int32_t, large_message> large_messages_;
    tcp_socket socket_;
    http2_session session_;
    instant last_input_at_ = steady_now();
    bool is_verified_ = false;
    bool is_closed_ = false;
    int checks_unverified_ = 0;
};

} // namespace dandelioncrank
