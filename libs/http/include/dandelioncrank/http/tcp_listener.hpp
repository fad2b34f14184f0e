#pragma once

#include "dandelioncrank/settings/settings_reader.hpp"

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace dandelioncrank {

/// Listening TCP socket. Several listeners may share one address through
/// SO_REUSEPORT; the kernel distributes connections among them.
class tcp_listener
{
  public:
    using accept_handler = std::function<void(int descriptor)>;

    /// Port 0 selects an ephemeral port. Throws std::system_error.
    tcp_listener(const host_port& address, accept_handler on_accept);
    ~tcp_listener();

    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    [[nodiscard]] int port() const;

    /// Lets the kernel complete no connections other than those whose handshake
    /// has begun. Attempts are ignored, and refused once the listener is gone.
    void ignore_new_connections();
    /// Accepts every connection that is complete.
    void accept_all();

  private:
    void handle_readable();
    bool accept_next();

    int descriptor_ = -1;
    accept_handler on_accept_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace dandelioncrank
