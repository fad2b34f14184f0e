#include "dandelioncrank/http/http_server.hpp"

#include <QPointer>

#include <unistd.h>

namespace dandelioncrank {

void responder::operator()(http_response response)
{
    if (!send_)
        return;
    send action = std::move(send_);
    send_ = nullptr;
    on_disconnect_ = nullptr;
    action(std::move(response));
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

void http_server::share(descriptor_budget& budget)
{
    budget_ = &budget;
    for (std::size_t i = 0; i < connections_.size(); ++i)
        budget_->opened();
}

void http_server::accept(int descriptor)
{
    bool is_full = connections_.size() >= limits_.connections_ ||
                   (budget_ != nullptr && budget_->is_spent());
    if (stopping_ || is_full) {
        ::close(descriptor);
        return;
    }
    auto connection = std::make_unique<server_connection>(
        descriptor, limits_,
        [this](server_connection& source, http_request request) {
            handle(source, std::move(request));
        });
    server_connection* key = connection.get();
    connection->on_finished_ = [this, key] { drop(key); };
    connection->on_refusal_ = on_refusal_;
    connections_.emplace(key, std::move(connection));
    if (budget_ != nullptr)
        budget_->opened();
}

void http_server::handle(server_connection& connection, http_request request)
{
    if (budget_ != nullptr && budget_->is_scarce())
        connection.close_after_answer();
    QPointer<server_connection> target(&connection);
    std::uint64_t number = connection.request_number();
    // Shared because both the handler and the connection hold it, and
    // either may be gone first.
    auto reply =
        std::make_shared<responder>([target, number](http_response response) {
            bool current = target && target->request_number() == number;
            if (current)
                target->respond(std::move(response));
        });
    std::weak_ptr<responder> weak = reply;
    connection.on_disconnect_ = [weak] {
        auto live = weak.lock();
        if (live && live->on_disconnect_)
            live->on_disconnect_();
    };
    on_request_(std::move(request), reply);
}

void http_server::drop(server_connection* connection)
{
    auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    // The connection is on the call stack now.
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

void http_server::stop_accepting()
{
    stopping_ = true;
    listener_.reset();
    std::vector<QPointer<server_connection>> open;
    for (const auto& item : connections_)
        open.emplace_back(item.first);
    for (const auto& connection : open) {
        if (connection)
            connection->close_after_answer();
    }
}

} // namespace dandelioncrank
