#include "endpoint_pool.hpp"

namespace dandelioncrank {

endpoint_pool::endpoint_pool(const http_limits& limits) : limits_(limits) {}

std::unique_ptr<client_connection> endpoint_pool::take(const host_port& address,
                                                       bool may_reuse)
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

void endpoint_pool::give_back(std::unique_ptr<client_connection> connection,
                              std::size_t most_idle)
{
    auto& kept = idle_[connection->address()];
    if (connection->is_reusable() && kept.size() < most_idle) {
        kept.push_back(std::move(connection));
        return;
    }
    // The connection may be the caller of this function.
    connection.release()->deleteLater();
}

void endpoint_pool::forget(const host_port& address)
{
    idle_.erase(address);
}

std::size_t endpoint_pool::idle() const
{
    std::size_t count = 0;
    for (const auto& entry : idle_)
        count += entry.second.size();
    return count;
}

} // namespace dandelioncrank
