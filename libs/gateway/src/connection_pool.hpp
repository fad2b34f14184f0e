#pragma once

#include "dandelioncrank/http/client_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace dandelioncrank {

/// Connections of one thread to endpoints, kept open for later requests.
class connection_pool
{
  public:
    explicit connection_pool(const http_limits& limits);

    /// A connection for one request. One that is kept open is used only if
    /// reuse is allowed: the endpoint may close it at the same moment.
    [[nodiscard]] std::unique_ptr<client_connection>
    acquire(const host_port& address, bool may_reuse);

    /// Keeps the connection if it can serve again and there is room.
    void release_connection(std::unique_ptr<client_connection> connection,
                            std::size_t max_idle);

    /// Drops connections to addresses that are not used any more.
    void drop(const host_port& address);

    [[nodiscard]] std::size_t idle() const;

  private:
    http_limits limits_;
    std::map<host_port, std::vector<std::unique_ptr<client_connection>>> idle_;
};

} // namespace dandelioncrank
