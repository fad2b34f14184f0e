#pragma once

#include "dandelioncrank/http/client_connection.hpp"

#include <QJsonObject>
#include <QTimer>

#include <memory>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Sends JSON to the first of several daemons that answers.
class announcer
{
  public:
    using handler = std::function<void(std::optional<QJsonObject>)>;

    announcer(std::vector<host_port> daemons, std::string token);

    /// The handler gets nothing if the daemon asked did not answer with
    /// success; the next call goes to the next daemon then.
    void post(const std::string& path, const QJsonObject& body, duration limit,
              handler on_answer);

  private:
    std::vector<host_port> daemons_;
    std::string token_;
    std::size_t current_ = 0;
};

/// Addresses separated by commas; faults are printed and end the program.
[[nodiscard]] std::vector<host_port> parse_addresses(const std::string& text);

} // namespace dandelioncrank
