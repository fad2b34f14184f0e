#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/json.hpp"
#include "dandelioncrank/dissemination/gossip_message.hpp"
#include "dandelioncrank/http/http_message.hpp"
#include "dandelioncrank/scheduling/zone_scheduler.hpp"
#include "dandelioncrank/state/config_store.hpp"

#include <QJsonArray>

#include <optional>
#include <string>

namespace dandelioncrank {

/// Parses a body; returns nullopt if it is not a JSON object.
[[nodiscard]] std::optional<QJsonObject> parse_object(const std::string& body);

[[nodiscard]] std::string serialize_json(const QJsonObject& object);
[[nodiscard]] http_response make_json_response(int status,
                                               const QJsonObject& object);
[[nodiscard]] http_response make_error_response(int status,
                                                const std::string& reason);

[[nodiscard]] QJsonObject to_json(const job_record& record);
[[nodiscard]] QJsonObject to_json(const job_view& view);
[[nodiscard]] QJsonObject to_json(const team_view& view);
[[nodiscard]] QJsonObject to_json(const pool_worker& worker);
[[nodiscard]] QJsonObject to_json(const worker_command& command);
[[nodiscard]] QJsonObject to_json(const endpoint_info& info);
[[nodiscard]] QJsonObject to_json(const host_status& status);
[[nodiscard]] QJsonObject to_json(const submit_result& result);
[[nodiscard]] QJsonObject to_json(const config_history_item& item);
[[nodiscard]] QJsonArray to_json(const findings& items);

/// The *_from_json functions throw findings_error with one finding per invalid
/// field.
[[nodiscard]] job_spec job_from_json(const QJsonObject& object);
[[nodiscard]] worker_report report_from_json(const QJsonObject& object);
[[nodiscard]] endpoint_info endpoint_from_json(const QJsonObject& object);
/// Sequence number of an endpoint's announcement.
[[nodiscard]] std::uint64_t sequence_from_json(const QJsonObject& object,
                                               std::uint64_t default_value);

} // namespace dandelioncrank
