#pragma once

#include "dandelioncrank/http/client_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace dandelioncrank {

/// Connections of one thread to endpoints, kept open for later requests.
class endpoint_pool
{
  public:
    explicit endpoint_pool(const http_limits& limits);

    /// A connection for one request. One that is kept open is used only if
    /// reuse is allowed: the endpoint may close it at the same moment.
    [[nodiscard]] std::unique_ptr<client_connection>
    take(const host_port& address, bool may_reuse);

    /// Keeps the connection if it can serve again and there is room.
    void give_back(std::unique_ptr<client_connection> connection,
                   std::size_t most_idle);

    /// Drops connections to addresses that are not used any more.
    void forget(const host_port& address);

    [[nodiscard]] std::size_t idle() const;

  private:
    http_limits limits_;
    std::map<host_port, std::vector<std::unique_ptr<client_connection>>> idle_;
};

} // namespace dandelioncrank
