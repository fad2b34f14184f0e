#pragma once

#include "dandelioncrank/http/client_connection.hpp"

#include <QJsonObject>
#include <QTimer>

#include <memory>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Sends JSON to the first of several daemons that answers.
class daemon_client
{
  public:
    using response_handler = std::function<void(std::optional<QJsonObject>)>;

    daemon_client(std::vector<host_port> daemons, std::string token);

    /// The handler gets nothing if the daemon asked did not answer with
    /// success; the next call goes to the next daemon then.
    void post(const std::string& path, const QJsonObject& body,
              duration timeout, response_handler on_response);

  private:
    std::vector<host_port> daemons_;
    std::string token_;
    std::size_t current_daemon_ = 0;
};

/// Addresses separated by commas; faults are printed and end the program.
[[nodiscard]] std::vector<host_port>
parse_addresses_or_exit(const std::string& text);

} // namespace dandelioncrank
