#include "tool_client.hpp"

#include "dandelioncrank/core/json.hpp"

#include <QEventLoop>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <memory>

namespace dandelioncrank {

namespace {

constexpr int response_timeout_ms = 20000;

} // namespace

tool_client::tool_client(std::string control_address,
                         std::string operator_address, std::string token)
    : control_address_(std::move(control_address)),
      operator_address_(std::move(operator_address)), token_(std::move(token))
{
    network_.setTransferTimeout(response_timeout_ms);
}

QNetworkRequest tool_client::make_request(const std::string& address,
                                          const QString& path) const
{
    QNetworkRequest result(
        QUrl(QString("http://%1%2").arg(to_qt(address), path)));
    result.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!token_.empty())
        result.setRawHeader("Authorization",
                            "Bearer " + QByteArray::fromStdString(token_));
    return result;
}

tool_response tool_client::await_response(QNetworkReply* reply)
{
    std::unique_ptr<QNetworkReply> reply_owner(reply);
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    if (!reply->isFinished())
        loop.exec();
    tool_response response;
    response.status_ =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    response.error_ = reply->errorString();
    auto parsed = parse_json_object(reply->readAll().toStdString());
    if (const auto* object = std::get_if<QJsonObject>(&parsed))
        response.body_ = *object;
    return response;
}

tool_response tool_client::get(const QString& path)
{
    return await_response(network_.get(make_request(control_address_, path)));
}

tool_response tool_client::post(const QString& path, const QJsonObject& body)
{
    return await_response(
        network_.post(make_request(control_address_, path),
                      QByteArray::fromStdString(to_compact_json(body))));
}

tool_response tool_client::remove(const QString& path)
{
    return await_response(
        network_.deleteResource(make_request(control_address_, path)));
}

std::optional<QByteArray> tool_client::get_operator_page(const QString& path)
{
    std::unique_ptr<QNetworkReply> reply(
        network_.get(make_request(operator_address_, path)));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop,
                     &QEventLoop::quit);
    loop.exec();
    if (reply->error() != QNetworkReply::NoError)
        return std::nullopt;
    return reply->readAll();
}

} // namespace dandelioncrank
