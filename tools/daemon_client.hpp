#pragma once

#include "dandelioncrank/http/client_connection.hpp"

#include <QJsonObject>
#include <QTimer>

#include <memory>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Posts JSON to one of several daemons; fails over to the next on an error.
class daemon_client
{
  public:
    using response_handler = std::function<void(std::optional<QJsonObject>)>;

    daemon_client(std::vector<host_port> daemons, std::string token);

    /// The handler gets nullopt unless the daemon responds with status 200;
    /// after such a failure the next call goes to the next daemon.
    void post(const std::string& path, const QJsonObject& body,
              duration timeout, response_handler on_response);

  private:
    std::vector<host_port> daemons_;
    std::string token_;
    std::size_t current_daemon_ = 0;
};

/// Parses comma-separated addresses. On an error, prints it and exits with
/// status 2.
[[nodiscard]] std::vector<host_port>
parse_addresses_or_exit(const std::string& text);

} // namespace dandelioncrank
