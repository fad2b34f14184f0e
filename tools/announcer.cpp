#include "announcer.hpp"

#include <QJsonDocument>

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace dandelioncrank {

announcer::announcer(std::vector<host_port> daemons, std::string token)
    : daemons_(std::move(daemons)), token_(std::move(token))
{
}

void announcer::post(const std::string& path, const QJsonObject& body,
                     duration limit, handler on_answer)
{
    const host_port& target = daemons_[current_ % daemons_.size()];
    http_request request;
    request.method_ = "POST";
    request.target_ = path;
    request.headers_.add("Host", target.to_text());
    request.headers_.add("Content-Type", "application/json");
    if (!token_.empty())
        request.headers_.add("Authorization", "Bearer " + token_);
    request.body_ =
        QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
    auto* connection = new client_connection(target, http_limits{});
    connection->send(
        request, limit, [this, connection, on_answer](client_outcome outcome) {
            connection->deleteLater();
            const auto* answered = std::get_if<request_answered>(&outcome);
            bool good =
                answered != nullptr && answered->response_.status_ == 200;
            if (!good) {
                ++current_;
                on_answer(std::nullopt);
                return;
            }
            on_answer(QJsonDocument::fromJson(
                          QByteArray::fromStdString(answered->response_.body_))
                          .object());
        });
}

std::vector<host_port> parse_addresses(const std::string& text)
{
    std::vector<host_port> addresses;
    findings faults;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
        addresses.push_back(parse_host_port(part, "address", faults));
    if (!faults.empty() || addresses.empty()) {
        std::cerr << faults.to_text();
        std::exit(2);
    }
    return addresses;
}

} // namespace dandelioncrank
