#pragma once

#include "dandelioncrank/settings/settings_reader.hpp"

#include <QObject>
#include <QSocketNotifier>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dandelioncrank {

/// Non-blocking TCP stream in the event loop of its thread.
///
/// It knows exactly how many bytes the kernel has taken, and it goes on
/// sending after the other side has finished: QTcpSocket does neither.
/// Callbacks may destroy the owner only through QObject::deleteLater().
class tcp_socket : public QObject
{
  public:
    tcp_socket();
    ~tcp_socket() override;

    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    /// Takes over a connected descriptor.
    void adopt(int descriptor);
    /// Starts to connect to an IP address.
    void connect_to(const host_port& address);

    /// Queues bytes and sends what the kernel takes at once.
    void write(const std::string& bytes);
    /// Ends this direction once all queued bytes are sent.
    void shutdown_write();
    /// Stops or continues reading; unread bytes wait in the kernel.
    void set_reading(bool enabled);
    void close();

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] bool is_connected() const { return connected_; }
    [[nodiscard]] bool input_ended() const { return input_ended_; }
    [[nodiscard]] std::size_t unsent_bytes() const { return output_.size(); }
    /// Bytes that the kernel has taken since the stream was opened.
    [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }
    /// True if the other side has closed or sent bytes nobody asked for.
    [[nodiscard]] bool is_stale() const;

    std::string& input() { return input_; }

    std::function<void()> on_connected_;
    /// New bytes are in input().
    std::function<void()> on_input_;
    /// The other side will send no more; this side may still send.
    std::function<void()> on_input_end_;
    std::function<void()> on_drained_;
    /// The stream broke; it is closed already.
    std::function<void(const std::string& reason)> on_error_;

  private:
    void create_notifiers();
    void handle_readable();
    void handle_writable();
    void finish_connecting();
    bool flush();
    void fail(const std::string& reason);

    int descriptor_ = -1;
    bool connected_ = false;
    bool reading_ = true;
    bool input_ended_ = false;
    bool shutdown_requested_ = false;
    std::uint64_t sent_bytes_ = 0;
    std::string input_;
    std::string output_;
    std::unique_ptr<QSocketNotifier> read_notifier_;
    std::unique_ptr<QSocketNotifier> write_notifier_;
};

} // namespace dandelioncrank
