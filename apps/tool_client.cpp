#include "tool_client.hpp"

#include <QEventLoop>
#include <QJsonDocument>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <memory>

namespace dandelioncrank {

namespace {

constexpr int answer_time_ms = 20000;

} // namespace

tool_client::tool_client(std::string control_address,
                         std::string operator_address, std::string token)
    : control_address_(std::move(control_address)),
      operator_address_(std::move(operator_address)), token_(std::move(token))
{
    network_.setTransferTimeout(answer_time_ms);
}

QNetworkRequest tool_client::request(const std::string& address,
                                     const QString& path) const
{
    QNetworkRequest result(QUrl(
        QString("http://%1%2").arg(QString::fromStdString(address), path)));
    result.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    if (!token_.empty())
        result.setRawHeader("Authorization",
                            "Bearer " + QByteArray::fromStdString(token_));
    return result;
}

tool_answer tool_client::wait(QNetworkReply* reply)
{
    std::unique_ptr<QNetworkReply> owned(reply);
    QEventLoop loop;
    QObject::connect(reply, &QNetworkReply::finished, &loop, &QEventLoop::quit);
    if (!reply->isFinished())
        loop.exec();
    tool_answer answer;
    answer.status_ =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    answer.error_ = reply->errorString();
    answer.body_ = QJsonDocument::fromJson(reply->readAll()).object();
    return answer;
}

tool_answer tool_client::get(const QString& path)
{
    return wait(network_.get(request(control_address_, path)));
}

tool_answer tool_client::post(const QString& path, const QJsonObject& body)
{
    return wait(
        network_.post(request(control_address_, path),
                      QJsonDocument(body).toJson(QJsonDocument::Compact)));
}

tool_answer tool_client::remove(const QString& path)
{
    return wait(network_.deleteResource(request(control_address_, path)));
}

std::optional<QByteArray> tool_client::page(const QString& path)
{
    std::unique_ptr<QNetworkReply> reply(
        network_.get(request(operator_address_, path)));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop,
                     &QEventLoop::quit);
    loop.exec();
    if (reply->error() != QNetworkReply::NoError)
        return std::nullopt;
    return reply->readAll();
}

} // namespace dandelioncrank
