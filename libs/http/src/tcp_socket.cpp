#include "dandelioncrank/http/tcp_socket.hpp"

#include <QPointer>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dandelioncrank {

namespace {

constexpr std::size_t read_chunk_bytes = 64 * 1024;
// Capacity that an empty buffer keeps for the next message.
constexpr std::size_t kept_capacity_bytes = 4 * 1024;

void set_no_delay(int descriptor)
{
    int enable = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK;
}

} // namespace

tcp_socket::tcp_socket() = default;

tcp_socket::~tcp_socket()
{
    close();
}

void tcp_socket::adopt(int descriptor)
{
    descriptor_ = descriptor;
    connected_ = true;
    set_no_delay(descriptor);
    create_notifiers();
}

void tcp_socket::connect_to(const host_port& address)
{
    descriptor_ =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in peer_address{};
    peer_address.sin_family = AF_INET;
    peer_address.sin_port = htons(static_cast<std::uint16_t>(address.port_));
    bool address_valid =
        descriptor_ >= 0 && ::inet_pton(AF_INET, address.host_.c_str(),
                                        &peer_address.sin_addr) == 1;
    if (!address_valid) {
        QMetaObject::invokeMethod(
            this, [this] { fail("no usable address"); }, Qt::QueuedConnection);
        return;
    }
    set_no_delay(descriptor_);
    int result =
        ::connect(descriptor_, reinterpret_cast<sockaddr*>(&peer_address),
                  sizeof peer_address);
    if (result < 0 && errno != EINPROGRESS) {
        refused_ = errno == ECONNREFUSED;
        std::string reason = std::strerror(errno);
        QMetaObject::invokeMethod(
            this, [this, reason] { fail(reason); }, Qt::QueuedConnection);
        return;
    }
    create_notifiers();
    write_notifier_->setEnabled(true);
}

void tcp_socket::create_notifiers()
{
    read_notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    write_notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
    write_notifier_->setEnabled(false);
    read_notifier_->setEnabled(connected_ && reading_);
    QObject::connect(read_notifier_.get(), &QSocketNotifier::activated, this,
                     [this] { handle_readable(); });
    QObject::connect(write_notifier_.get(), &QSocketNotifier::activated, this,
                     [this] { handle_writable(); });
}

void tcp_socket::write(std::string bytes)
{
    if (!is_open())
        return;
    if (output_.empty())
        output_ = std::move(bytes);
    else
        output_ += bytes;
    if (connected_)
        flush();
}

void tcp_socket::release_input()
{
    if (input_.empty() && input_.capacity() > kept_capacity_bytes)
        input_.shrink_to_fit();
}

void tcp_socket::shutdown_write()
{
    shutdown_requested_ = true;
    if (is_open() && connected_ && unsent_bytes() == 0)
        ::shutdown(descriptor_, SHUT_WR);
}

void tcp_socket::set_reading(bool enabled)
{
    reading_ = enabled;
    if (read_notifier_)
        read_notifier_->setEnabled(enabled && connected_ && !input_ended_);
}

void tcp_socket::close()
{
    // This may run in a notifier's own signal, so deletion is deferred to the
    // event loop.
    for (auto* notifier : {&read_notifier_, &write_notifier_}) {
        if (!*notifier)
            continue;
        (*notifier)->setEnabled(false);
        notifier->release()->deleteLater();
    }
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
    connected_ = false;
    // The owner may live on for a while.
    std::string().swap(output_);
    output_sent_ = 0;
}

bool tcp_socket::is_stale() const
{
    if (!is_open() || input_ended_ || !input_.empty())
        return true;
    char byte = 0;
    auto received = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || !would_block(errno);
}

void tcp_socket::handle_readable()
{
    if (!is_open())
        return;
    std::array<char, read_chunk_bytes> chunk;
    auto received = ::recv(descriptor_, chunk.data(),
                           std::min(chunk.size(), read_size_), 0);
    if (received < 0) {
        if (!would_block(errno) && errno != EINTR)
            fail(std::strerror(errno));
        return;
    }
    if (received == 0) {
        input_ended_ = true;
        read_notifier_->setEnabled(false);
        if (on_input_end_)
            on_input_end_();
        return;
    }
    input_.append(chunk.data(), static_cast<std::size_t>(received));
    if (on_input_)
        on_input_();
}

void tcp_socket::handle_writable()
{
    if (!is_open())
        return;
    if (!connected_) {
        finish_connecting();
        return;
    }
    flush();
}

void tcp_socket::finish_connecting()
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        // A reset may come from the way.
        refused_ = error == ECONNREFUSED;
        fail(std::strerror(error));
        return;
    }
    connected_ = true;
    write_notifier_->setEnabled(false);
    read_notifier_->setEnabled(reading_);
    QPointer<tcp_socket> self(this);
    if (on_connected_)
        on_connected_();
    if (self && is_open() && unsent_bytes() > 0)
        flush();
}

bool tcp_socket::flush()
{
    while (unsent_bytes() > 0) {
        auto sent = ::send(descriptor_, output_.data() + output_sent_,
                           unsent_bytes(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && would_block(errno)) {
            write_notifier_->setEnabled(true);
            return false;
        }
        if (sent < 0) {
            fail(std::strerror(errno));
            return false;
        }
        sent_bytes_ += static_cast<std::uint64_t>(sent);
        output_sent_ += static_cast<std::size_t>(sent);
    }
    output_.clear();
    output_sent_ = 0;
    if (output_.capacity() > kept_capacity_bytes)
        output_.shrink_to_fit();
    write_notifier_->setEnabled(false);
    if (shutdown_requested_)
        ::shutdown(descriptor_, SHUT_WR);
    if (on_drained_)
        on_drained_();
    return true;
}

void tcp_socket::fail(const std::string& reason)
{
    close();
    if (on_error_)
        on_error_(reason);
}

} // namespace dandelioncrank
