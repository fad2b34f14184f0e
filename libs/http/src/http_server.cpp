#include "dandelioncrank/http/http_server.hpp"

#include <QPointer>

#include <algorithm>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

namespace dandelioncrank {

namespace {

// Time for handshakes that have begun to complete.
constexpr duration handshake_time = std::chrono::milliseconds(200);
// The kernel doubles the size of a buffer that it is told.
constexpr std::size_t kernel_factor = 2;
constexpr auto stall_check_interval = std::chrono::milliseconds(500);
// One of so many idle connections is closed when there are too many.
constexpr std::size_t idle_share_divisor = 64;

// Unread input and unsent output are memory of the machine, too; the kernel's
// own limit is some megabytes for a connection.
void limit_socket_buffers(int descriptor, std::size_t bytes)
{
    if (bytes == 0)
        return;
    int size = static_cast<int>(bytes);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
}

} // namespace

void responder::operator()(http_response response)
{
    if (!send_)
        return;
    send_function send = std::move(send_);
    send_ = nullptr;
    on_disconnected_ = nullptr;
    send(std::move(response));
}

http_server::http_server(const host_port& address, const http_limits& limits,
                         handler on_request)
    : limits_(limits), on_request_(std::move(on_request)),
      listener_(std::make_unique<tcp_listener>(
          address, [this](int descriptor) { accept(descriptor); }))
{
}

http_server::~http_server()
{
    for (auto& item : connections_) {
        item.second->on_finished_ = nullptr;
        if (budget_ != nullptr)
            budget_->closed();
    }
}

void http_server::set_descriptor_budget(descriptor_budget& budget)
{
    budget_ = &budget;
    for (std::size_t i = 0; i < connections_.size(); ++i)
        budget_->opened();
}

void http_server::set_buffer_budget(buffer_budget& budget)
{
    buffers_ = &budget;
    budget.set_unread_bytes(kernel_factor * limits_.socket_buffer_bytes_);
    QObject::connect(&stall_timer_, &QTimer::timeout,
                     [this] { buffers_->reclaim_stalled(steady_now()); });
    stall_timer_.start(stall_check_interval);
}

bool http_server::is_full() const
{
    return connections_.size() >= limits_.connections_ ||
           (budget_ != nullptr && budget_->is_exhausted());
}

// Clients that only hold connections must not keep out new callers. Some are
// closed at a time, so that a flood does not cost a search for each connection.
void http_server::close_longest_idle()
{
    std::vector<server_connection*> idle;
    for (const auto& item : connections_) {
        if (item.first->is_idle())
            idle.push_back(item.first);
    }
    std::size_t count =
        std::min(idle.size(), 1 + idle.size() / idle_share_divisor);
    std::partial_sort(idle.begin(),
                      idle.begin() + static_cast<std::ptrdiff_t>(count),
                      idle.end(), [](const auto* left, const auto* right) {
                          return left->phase_since() < right->phase_since();
                      });
    idle.resize(count);
    for (server_connection* connection : idle)
        connection->close_if_idle();
    if (buffers_ != nullptr)
        buffers_->connections_closed_idle_ += count;
}

void http_server::accept(int descriptor)
{
    if (is_full())
        close_longest_idle();
    if (is_full()) {
        if (buffers_ != nullptr)
            ++buffers_->connections_refused_;
        ::close(descriptor);
        return;
    }
    limit_socket_buffers(descriptor, limits_.socket_buffer_bytes_);
    auto connection = std::make_unique<server_connection>(
        descriptor, limits_,
        [this](server_connection& source, http_request request) {
            handle(source, std::move(request));
        });
    server_connection* key = connection.get();
    connection->on_finished_ = [this, key] { remove(key); };
    connection->on_error_response_ = on_error_response_;
    if (buffers_ != nullptr)
        connection->set_buffer_budget(*buffers_);
    if (stopping_)
        connection->close_after_response();
    connections_.emplace(key, std::move(connection));
    if (budget_ != nullptr)
        budget_->opened();
}

void http_server::handle(server_connection& connection, http_request request)
{
    if (budget_ != nullptr && budget_->is_nearly_exhausted())
        connection.close_after_response();
    QPointer<server_connection> target(&connection);
    std::uint64_t number = connection.request_number();
    // Shared between the handler and the connection; either may be destroyed
    // first.
    auto reply =
        std::make_shared<responder>([target, number](http_response response) {
            bool is_current = target && target->request_number() == number;
            if (is_current)
                target->respond(std::move(response));
        });
    std::weak_ptr<responder> weak_reply = reply;
    connection.on_disconnected_ = [weak_reply] {
        auto locked_reply = weak_reply.lock();
        if (locked_reply && locked_reply->on_disconnected_)
            locked_reply->on_disconnected_();
    };
    on_request_(std::move(request), reply);
}

void http_server::remove(server_connection* connection)
{
    auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    // Deferred deletion: this runs in a callback of the connection.
    found->second.release()->deleteLater();
    connections_.erase(found);
    if (budget_ != nullptr)
        budget_->closed();
}

std::size_t http_server::requests_in_flight() const
{
    std::size_t count = 0;
    for (const auto& item : connections_)
        count += item.second->is_busy();
    return count;
}

// Closing a listener resets the connections that it has not accepted, whose
// clients may have sent a request already.
void http_server::stop_accepting()
{
    if (stopping_)
        return;
    stopping_ = true;
    listener_->ignore_new_connections();
    close_timer_.setSingleShot(true);
    QObject::connect(&close_timer_, &QTimer::timeout, [this] {
        listener_->accept_all();
        listener_.reset();
    });
    close_timer_.start(
        std::chrono::ceil<std::chrono::milliseconds>(handshake_time));
    for (const auto& item : connections_)
        item.first->close_after_response();
}

} // namespace dandelioncrank
