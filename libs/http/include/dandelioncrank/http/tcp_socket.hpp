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
/// Unlike QTcpSocket, it reports exactly how many bytes the kernel accepted,
/// and it keeps sending after the peer has shut down its sending direction.
/// Callbacks may destroy the owner only through QObject::deleteLater().
class tcp_socket : public QObject
{
  public:
    tcp_socket();
    ~tcp_socket() override;

    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    /// Takes ownership of a connected descriptor.
    void adopt(int descriptor);
    /// Starts connecting to an IPv4 address.
    void connect_to(const host_port& address);

    /// Queues bytes and immediately sends what the kernel accepts.
    void write(std::string bytes);
    /// Shuts down the sending direction once all queued bytes are sent.
    void shutdown_write();
    /// Pauses or resumes reading; unread bytes stay in the kernel buffer.
    void set_reading(bool enabled);
    /// Bounds the bytes that are appended to input() at a time.
    void set_read_size(std::size_t bytes) { read_size_ = bytes; }
    void close();

    [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
    [[nodiscard]] bool is_connected() const { return connected_; }
    [[nodiscard]] bool input_ended() const { return input_ended_; }
    /// Whether the peer's host has refused the connection.
    [[nodiscard]] bool was_refused() const { return refused_; }
    [[nodiscard]] std::size_t unsent_bytes() const
    {
        return output_.size() - output_sent_;
    }
    /// Memory held for input and output.
    [[nodiscard]] std::size_t buffered_bytes() const
    {
        return input_.capacity() + output_.capacity();
    }
    /// Frees what an empty input buffer still holds.
    void release_input();
    /// Total number of bytes accepted by the kernel.
    [[nodiscard]] std::uint64_t sent_bytes() const { return sent_bytes_; }
    /// True if the peer has closed the connection or sent unsolicited bytes.
    [[nodiscard]] bool is_stale() const;

    std::string& input() { return input_; }

    std::function<void()> on_connected_;
    /// New bytes were appended to input().
    std::function<void()> on_input_;
    /// The peer has shut down its sending direction; this side may still send.
    std::function<void()> on_input_end_;
    /// All queued bytes were sent.
    std::function<void()> on_drained_;
    /// The connection failed; the socket is already closed.
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
    bool refused_ = false;
    bool reading_ = true;
    bool input_ended_ = false;
    bool shutdown_requested_ = false;
    std::uint64_t sent_bytes_ = 0;
    std::size_t read_size_ = 64 * 1024;
    std::string input_;
    std::string output_;
    /// Bytes at the front of the output that were sent.
    std::size_t output_sent_ = 0;
    std::unique_ptr<QSocketNotifier> read_notifier_;
    std::unique_ptr<QSocketNotifier> write_notifier_;
};

} // namespace dandelioncrank
