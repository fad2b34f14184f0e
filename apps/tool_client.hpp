#pragma once

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QString>

#include <optional>
#include <string>

namespace dandelioncrank {

/// HTTP response of one call; status 0 if the daemon is unreachable.
struct tool_response
{
    int status_ = 0;
    QJsonObject body_;
    QString error_;
};

/// Synchronous HTTP client of the command-line tool for one daemon. Every call
/// can be retried: a submit carries a request id that identifies retries.
class tool_client
{
  public:
    tool_client(std::string control_address, std::string operator_address,
                std::string token);

    [[nodiscard]] tool_response get(const QString& path);
    [[nodiscard]] tool_response post(const QString& path,
                                     const QJsonObject& body);
    [[nodiscard]] tool_response remove(const QString& path);
    /// Body of a page on the operator address, if the request succeeded.
    [[nodiscard]] std::optional<QByteArray>
    get_operator_page(const QString& path);

  private:
    [[nodiscard]] QNetworkRequest make_request(const std::string& address,
                                               const QString& path) const;
    [[nodiscard]] static tool_response await_response(QNetworkReply* reply);

    std::string control_address_;
    std::string operator_address_;
    std::string token_;
    QNetworkAccessManager network_;
};

} // namespace dandelioncrank
