#include "connection_pool.hpp"

namespace dandelioncrank {

connection_pool::connection_pool(const http_limits& limits) : limits_(limits) {}

std::unique_ptr<client_connection>
connection_pool::acquire(const host_port& address, bool may_reuse)
{
    auto found = idle_.find(address);
    while (may_reuse && found != idle_.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (connection->is_reusable())
            return connection;
    }
    return std::make_unique<client_connection>(address, limits_);
}

void connection_pool::release_connection(
    std::unique_ptr<client_connection> connection, std::size_t max_idle)
{
    auto& idle_connections = idle_[connection->address()];
    if (connection->is_reusable() && idle_connections.size() < max_idle) {
        idle_connections.push_back(std::move(connection));
        return;
    }
    // Deletion is deferred, because the connection may be calling this
    // function.
    connection.release()->deleteLater();
}

void connection_pool::drop(const host_port& address)
{
    idle_.erase(address);
}

std::size_t connection_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& entry : idle_)
        count += entry.second.size();
    return count;
}

} // namespace dandelioncrank
