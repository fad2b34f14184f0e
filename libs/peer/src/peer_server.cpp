#include "dandelioncrank/peer/peer_server.hpp"

#include "dandelioncrank/http/tcp_listener.hpp"
#include "peer_budgets.hpp"
#include "peer_connection.hpp"

#include <QPointer>

#include <unistd.h>

namespace dandelioncrank {

namespace {

constexpr auto check_interval = std::chrono::seconds(1);
// Longer than the interval of the messages between daemons that work together.
constexpr duration min_idle_time = std::chrono::seconds(2);

} // namespace

peer_server::peer_server(const host_port& address, message_handler on_message,
                         const peer_limits& limits)
    : on_message_(std::move(on_message)), limits_(limits),
      budgets_(std::make_unique<peer_budgets>(limits)),
      listener_(std::make_unique<tcp_listener>(
          address, [this](int descriptor) { accept(descriptor); }))
{
    QObject::connect(&check_timer_, &QTimer::timeout, this,
                     [this] { check_connections(); });
}

peer_server::~peer_server() = default;

int peer_server::port() const
{
    return listener_->port();
}

void peer_server::accept(int descriptor)
{
    if (connections_.size() >= limits_.connections_)
        close_least_useful();
    if (connections_.size() >= limits_.connections_) {
        ++connections_refused_;
        ::close(descriptor);
        return;
    }
    std::uint64_t connection_id = ++next_connection_id_;
    auto& item = connections_[connection_id];
    item = std::make_unique<peer_connection>(*budgets_);
    item->on_message_ = [this, connection_id](std::int32_t stream,
                                              QByteArray body) {
        ++received_messages_;
        received_bytes_ += static_cast<std::uint64_t>(body.size());
        QPointer<peer_server> self(this);
        on_message_(std::move(body), [self, connection_id,
                                      stream](std::optional<QByteArray> reply) {
            if (!self)
                return;
            auto found = self->connections_.find(connection_id);
            if (found != self->connections_.end())
                found->second->respond(stream, reply);
        });
    };
    item->on_closed_ = [this, connection_id] { remove(connection_id); };
    item->on_checks_needed_ = [this] { start_checks(); };
    start_checks();
    item->start(descriptor);
}

// A daemon sends its first message as soon as it is connected, so the oldest
// unverified connection is the least likely to be one of the group. A verified
// sender whose connection is closed while it is idle opens another one.
void peer_server::close_least_useful()
{
    peer_connection* candidate = nullptr;
    for (const auto& item : connections_) {
        peer_connection* connection = item.second.get();
        if (!connection->is_verified()) {
            candidate = connection;
            break;
        }
        if (candidate == nullptr ||
            connection->last_input_at() < candidate->last_input_at())
            candidate = connection;
    }
    bool is_idle = candidate != nullptr &&
                   (!candidate->is_verified() ||
                    steady_now() - candidate->last_input_at() >= min_idle_time);
    if (!is_idle)
        return;
    candidate->close();
    ++connections_closed_;
}

void peer_server::start_checks()
{
    if (!check_timer_.isActive())
        check_timer_.start(check_interval);
}

void peer_server::remove(std::uint64_t connection_id)
{
    auto found = connections_.find(connection_id);
    if (found == connections_.end())
        return;
    closed_.push_back(std::move(found->second));
    connections_.erase(found);
    // Deferred: the session or the socket is on the call stack.
    QMetaObject::invokeMethod(
        this, [this] { closed_.clear(); }, Qt::QueuedConnection);
}

void peer_server::check_connections()
{
    std::vector<peer_connection*> checked;
    for (const auto& item : connections_) {
        if (item.second->needs_checks())
            checked.push_back(item.second.get());
    }
    std::size_t before = connections_.size();
    for (peer_connection* connection : checked)
        connection->check_progress();
    connections_closed_ += before - connections_.size();
    if (checked.empty())
        check_timer_.stop();
}

peer_server_status peer_server::status() const
{
    peer_server_status result;
    result.connections_ = connections_.size();
    for (const auto& item : connections_)
        result.unverified_connections_ += item.second->is_verified() ? 0 : 1;
    result.held_bytes_ =
        budgets_->verified_.used_bytes() + budgets_->unverified_.used_bytes();
    result.connections_refused_ = connections_refused_;
    result.connections_closed_ = connections_closed_;
    result.messages_refused_ = budgets_->messages_refused_;
    return result;
}

} // namespace dandelioncrank
