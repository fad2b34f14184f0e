#include "daemon_client.hpp"

#include "dandelioncrank/core/json.hpp"

#include <cstdlib>
#include <iostream>
#include <sstream>

namespace dandelioncrank {

daemon_client::daemon_client(std::vector<host_port> daemons, std::string token)
    : daemons_(std::move(daemons)), token_(std::move(token))
{
}

void daemon_client::post(const std::string& path, const QJsonObject& body,
                         duration timeout, response_handler on_response)
{
    const host_port& target = daemons_[current_daemon_ % daemons_.size()];
    http_request request;
    request.method_ = "POST";
    request.target_ = path;
    request.headers_.add("Host", target.to_text());
    request.headers_.add("Content-Type", "application/json");
    if (!token_.empty())
        request.headers_.add("Authorization", "Bearer " + token_);
    request.body_ = to_compact_json(body);
    auto* connection = new client_connection(target, http_limits{});
    connection->send(
        request, timeout,
        [this, connection, on_response](client_outcome outcome) {
            connection->deleteLater();
            const auto* answered = std::get_if<request_answered>(&outcome);
            bool succeeded =
                answered != nullptr && answered->response_.status_ == 200;
            if (!succeeded) {
                ++current_daemon_;
                on_response(std::nullopt);
                return;
            }
            auto parsed = parse_json_object(answered->response_.body_);
            const auto* object = std::get_if<QJsonObject>(&parsed);
            on_response(object != nullptr ? *object : QJsonObject());
        });
}

std::vector<host_port> parse_addresses_or_exit(const std::string& text)
{
    std::vector<host_port> addresses;
    findings errors;
    std::istringstream stream(text);
    std::string field;
    while (std::getline(stream, field, ','))
        addresses.push_back(parse_host_port(field, "address", errors));
    if (!errors.empty() || addresses.empty()) {
        std::cerr << errors.to_text();
        std::exit(2);
    }
    return addresses;
}

} // namespace dandelioncrank
