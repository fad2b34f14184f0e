#include "dandelioncrank/peer/peer_server.hpp"

#include "dandelioncrank/http/tcp_listener.hpp"
#include "dandelioncrank/http/tcp_socket.hpp"
#include "http2_session.hpp"

#include <QPointer>

#include <unistd.h>

namespace dandelioncrank {

namespace {

constexpr std::size_t max_connections = 512;

} // namespace

peer_server::peer_server(const host_port& address, message_handler on_message)
    : on_message_(std::move(on_message)),
      listener_(std::make_unique<tcp_listener>(
          address, [this](int descriptor) { accept(descriptor); }))
{
}

peer_server::~peer_server() = default;

int peer_server::port() const
{
    return listener_->port();
}

void peer_server::accept(int descriptor)
{
    if (connections_.size() >= max_connections) {
        ::close(descriptor);
        return;
    }
    std::uint64_t connection_id = ++next_connection_id_;
    connection& item = connections_[connection_id];
    item.socket_ = std::make_unique<tcp_socket>();
    item.session_ = std::make_unique<http2_session>(http2_session::side::server,
                                                    *item.socket_);
    item.session_->on_message_ = [this, connection_id](std::int32_t stream,
                                                       bool, QByteArray body) {
        ++received_messages_;
        received_bytes_ += static_cast<std::uint64_t>(body.size());
        QPointer<peer_server> self(this);
        on_message_(std::move(body), [self, connection_id,
                                      stream](std::optional<QByteArray> reply) {
            if (self)
                self->respond(connection_id, stream, reply);
        });
    };
    item.socket_->on_input_ = [this, connection_id] {
        auto found = connections_.find(connection_id);
        if (found != connections_.end() &&
            !found->second.session_->process_input())
            close_connection(connection_id);
    };
    item.socket_->on_input_end_ = [this, connection_id] {
        close_connection(connection_id);
    };
    item.socket_->on_error_ = [this, connection_id](const std::string&) {
        close_connection(connection_id);
    };
    item.socket_->adopt(descriptor);
    item.session_->flush();
}

void peer_server::close_connection(std::uint64_t connection_id)
{
    auto found = connections_.find(connection_id);
    if (found == connections_.end())
        return;
    found->second.socket_->close();
    // Deferred: the session or the socket is on the call stack.
    QMetaObject::invokeMethod(
        this, [this, connection_id] { connections_.erase(connection_id); },
        Qt::QueuedConnection);
}

void peer_server::respond(std::uint64_t connection_id, std::int32_t stream,
                          const std::optional<QByteArray>& body)
{
    auto found = connections_.find(connection_id);
    if (found == connections_.end())
        return;
    found->second.session_->submit_response(stream, body.has_value(),
                                            body.value_or(QByteArray()));
    found->second.session_->flush();
}

} // namespace dandelioncrank
