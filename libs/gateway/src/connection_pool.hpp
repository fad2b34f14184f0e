#pragma once

#include "dandelioncrank/http/client_connection.hpp"

#include <map>
#include <memory>
#include <vector>

namespace dandelioncrank {

/// Pool of one thread's persistent connections to endpoints.
class connection_pool
{
  public:
    explicit connection_pool(const http_limits& limits);

    /// Returns a connection for one request. An idle connection is returned
    /// only if reuse is allowed, because the endpoint may close it at the same
    /// time.
    [[nodiscard]] std::unique_ptr<client_connection>
    acquire(const host_port& address, bool may_reuse);

    /// Keeps the connection if it is reusable and fewer than max_idle are idle.
    void release_connection(std::unique_ptr<client_connection> connection,
                            std::size_t max_idle);

    /// Closes the idle connections to an address.
    void drop(const host_port& address);

    [[nodiscard]] std::size_t idle() const;

  private:
    http_limits limits_;
    std::map<host_port, std::vector<std::unique_ptr<client_connection>>> idle_;
};

} // namespace dandelioncrank
