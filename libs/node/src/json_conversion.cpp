#include "json_conversion.hpp"

namespace dandelioncrank {

namespace {

// The largest that every JSON reader represents exactly.
constexpr qint64 max_counter = (qint64(1) << 53) - 1;

/// Reads typed fields of a JSON object and collects errors as findings.
class field_reader
{
  public:
    field_reader(const QJsonObject& object, std::string object_kind)
        : object_(object), object_kind_(std::move(object_kind))
    {
    }

    std::string text(const char* key, const std::string& default_value = {},
                     bool required = false)
    {
        QJsonValue value = object_.value(key);
        if (value.isUndefined() && !required)
            return default_value;
        std::string result = text_of(value).value_or(std::string());
        if (result.empty() || result.size() > 200)
            add_error(key, "a text of up to 200 letters");
        return result;
    }

    std::string required_text(const char* key) { return text(key, {}, true); }

    int number(const char* key, int default_value, int min_value, int max_value)
    {
        QJsonValue value = object_.value(key);
        if (value.isUndefined())
            return default_value;
        double result = value.toDouble(-1e18);
        bool is_valid = value.isDouble() && result >= min_value &&
                        result <= max_value &&
                        result == static_cast<int>(result);
        if (!is_valid) {
            add_error(key, "a whole number from " + std::to_string(min_value) +
                               " to " + std::to_string(max_value));
            return default_value;
        }
        return static_cast<int>(result);
    }

    std::uint64_t counter(const char* key, std::uint64_t default_value = 0)
    {
        QJsonValue value = object_.value(key);
        if (value.isUndefined())
            return default_value;
        qint64 result = value.toInteger(-1);
        if (result < 0 || result > max_counter) {
            add_error(key, "a whole number from 0 to " +
                               std::to_string(max_counter));
            return default_value;
        }
        return static_cast<std::uint64_t>(result);
    }

    bool boolean(const char* key, bool default_value)
    {
        QJsonValue value = object_.value(key);
        if (value.isUndefined())
            return default_value;
        if (!value.isBool())
            add_error(key, "true or false");
        return value.toBool();
    }

    void add_error(const char* key, const std::string& expected)
    {
        faults_.add({object_kind_}, std::string(key) + " is missing or wrong",
                    "it is " + expected);
    }

    void finish()
    {
        if (!faults_.empty())
            throw findings_error(faults_);
    }

  private:
    const QJsonObject& object_;
    std::string object_kind_;
    findings faults_;
};

qint64 milliseconds(duration value)
{
    return value / std::chrono::milliseconds(1);
}

} // namespace

std::optional<QJsonObject> parse_object(const std::string& body)
{
    auto result = parse_json_object(body);
    if (std::holds_alternative<json_error>(result))
        return std::nullopt;
    return std::get<QJsonObject>(std::move(result));
}

std::string serialize_json(const QJsonObject& object)
{
    return to_compact_json(object) + '\n';
}

http_response make_json_response(int status, const QJsonObject& object)
{
    return json_response(status, serialize_json(object));
}

http_response make_error_response(int status, const std::string& reason)
{
    return make_json_response(status, {{"error", to_qt(reason)}});
}

QJsonObject to_json(const job_record& record)
{
    const job_spec& spec = record.spec_;
    return {{"id", to_qt(spec.id_.str())},
            {"team", to_qt(spec.team_.str())},
            {"state", to_qt(to_text(record.state_))},
            {"reason", to_qt(record.reason_)},
            {"attempt", static_cast<qint64>(record.attempt_)},
            {"guaranteed", record.guaranteed_},
            {"tasks", spec.tasks_},
            {"accelerators", spec.accelerators_},
            {"processors", spec.processors_},
            {"memory_mb", spec.memory_mb_},
            {"within", to_qt(to_text(spec.within_))},
            {"urgent", spec.urgent_},
            {"checkpoints", spec.checkpoints_},
            {"repeatable", spec.repeatable_},
            {"declared_ms", milliseconds(spec.declared_run_time_)}};
}

QJsonObject to_json(const job_view& view)
{
    QJsonObject object = to_json(view.record_);
    object["waited_ms"] = milliseconds(view.waited_);
    object["why"] = to_qt(view.pending_reason_);
    QJsonArray workers;
    for (const worker_name& name : view.workers_)
        workers.append(to_qt(name.str()));
    object["workers"] = workers;
    return object;
}

QJsonObject to_json(const team_view& view)
{
    return {{"team", to_qt(view.name_.str())},
            {"guaranteed", view.guaranteed_},
            {"used", view.used_},
            {"borrowed", view.borrowed_},
            {"reclaimable", view.reclaimable_},
            {"short", view.shortage_},
            {"waiting", static_cast<qint64>(view.waiting_)},
            {"reclaim_ms", milliseconds(view.reclaim_time_)}};
}

QJsonObject to_json(const pool_worker& worker)
{
    return {{"name", to_qt(worker.info_.name_.str())},
            {"rack", to_qt(worker.info_.rack_.str())},
            {"accelerators", worker.info_.accelerators_},
            {"free", worker.free()},
            {"guaranteed", worker.guaranteed_},
            {"reserved", worker.reserved_},
            {"occupied", worker.occupied_},
            {"alive", worker.alive_},
            {"suspect", worker.suspect_},
            {"draining", worker.draining_},
            {"quarantined", worker.quarantined_},
            {"gangs", static_cast<qint64>(worker.gangs_.size())}};
}

QJsonObject to_json(const worker_command& command)
{
    return {{"kind", to_qt(to_text(command.kind_))},
            {"epoch", static_cast<qint64>(command.epoch_)},
            {"number", static_cast<qint64>(command.number_)},
            {"job", to_qt(command.gang_.job_.str())},
            {"attempt", static_cast<qint64>(command.gang_.attempt_)},
            {"tasks", command.tasks_},
            {"accelerators", command.accelerators_},
            {"processors", command.processors_},
            {"memory_mb", command.memory_mb_}};
}

QJsonObject to_json(const endpoint_info& info)
{
    return {{"name", to_qt(info.name_.str())},
            {"service", to_qt(info.service_.str())},
            {"zone", to_qt(info.zone_.str())},
            {"address", to_qt(info.address_.to_text())},
            {"slots", info.slots_},
            {"connections", info.connections_},
            {"state", info.leaving_ ? "leaving" : "serving"}};
}

QJsonObject to_json(const host_status& status)
{
    return {{"host", to_qt(status.name_.str())},
            {"zone", to_qt(status.zone_.str())},
            {"revision", static_cast<qint64>(status.revision_)},
            {"gateway", status.is_gateway_},
            {"scheduler", status.is_scheduler_},
            {"voter", status.is_voter_},
            {"serving", status.serving_},
            {"leaving", status.leaving_},
            {"zone_epoch", static_cast<qint64>(status.zone_epoch_)}};
}

QJsonObject to_json(const submit_result& result)
{
    return {{"outcome", to_qt(to_text(result.outcome_))},
            {"revision", static_cast<qint64>(result.revision_)},
            {"subject", to_qt(result.subject_)},
            {"version", static_cast<qint64>(result.version_)},
            {"author", to_qt(result.author_)}};
}

QJsonObject to_json(const config_history_item& item)
{
    return {{"revision", static_cast<qint64>(item.revision_)},
            {"subject", to_qt(item.subject_)},
            {"version", static_cast<qint64>(item.version_)},
            {"author", to_qt(item.author_)},
            {"at", static_cast<qint64>(item.at_.time_since_epoch().count())}};
}

QJsonArray to_json(const findings& items)
{
    QJsonArray array;
    for (const finding& item : items.items()) {
        array.append(QJsonObject{{"file", to_qt(item.location_.file_)},
                                 {"line", item.location_.line_},
                                 {"column", item.location_.column_},
                                 {"cause", to_qt(item.cause_)},
                                 {"remedy", to_qt(item.remedy_)}});
    }
    return array;
}

job_spec job_from_json(const QJsonObject& object)
{
    field_reader reader(object, "job");
    job_spec spec;
    spec.id_ = job_id(reader.required_text("id"));
    spec.team_ = team_name(reader.required_text("team"));
    spec.tasks_ = reader.number("tasks", 1, 1, 4096);
    spec.accelerators_ = reader.number("accelerators", 0, 0, 1024);
    spec.processors_ = reader.number("processors", 1, 0, 100000);
    spec.memory_mb_ = reader.number("memory_mb", 0, 0, 1 << 30);
    auto within = parse_adjacency(reader.text("within", "any"));
    if (within)
        spec.within_ = *within;
    else
        reader.add_error("within", "worker, rack or any");
    spec.urgent_ = reader.boolean("urgent", false);
    spec.checkpoints_ = reader.boolean("checkpoints", false);
    spec.repeatable_ = reader.boolean("repeatable", true);
    spec.declared_run_time_ = std::chrono::milliseconds(
        reader.number("declared_ms", 0, 0, 2'000'000'000));
    reader.finish();
    return spec;
}

worker_report report_from_json(const QJsonObject& object)
{
    field_reader reader(object, "worker report");
    worker_report report;
    report.info_.name_ = worker_name(reader.required_text("name"));
    report.info_.rack_ = rack_name(reader.required_text("rack"));
    report.info_.accelerators_ = reader.number("accelerators", 0, 0, 64);
    report.info_.processors_ = reader.number("processors", 0, 0, 100000);
    report.info_.memory_mb_ = reader.number("memory_mb", 0, 0, 1 << 30);
    report.incarnation_ = reader.required_text("incarnation");
    report.epoch_ = reader.counter("epoch");
    report.applied_command_ = reader.counter("applied");
    report.draining_ = reader.boolean("draining", false);
    QJsonArray parts = object.value("parts").toArray();
    for (const QJsonValue& value : parts) {
        QJsonObject item = value.toObject();
        field_reader part_reader(item, "worker report: part");
        reported_part part;
        part.gang_.job_ = job_id(part_reader.required_text("job"));
        part.gang_.attempt_ = part_reader.counter("attempt");
        part.tasks_ = part_reader.number("tasks", 0, 0, 4096);
        part.accelerators_ = part_reader.number("accelerators", 0, 0, 1024);
        auto state = parse_part_state(part_reader.required_text("state"));
        if (state)
            part.state_ = *state;
        else
            part_reader.add_error("state", "a state of a part");
        part_reader.finish();
        report.parts_.push_back(part);
    }
    reader.finish();
    return report;
}

endpoint_info endpoint_from_json(const QJsonObject& object)
{
    field_reader reader(object, "endpoint");
    endpoint_info info;
    info.name_ = endpoint_name(reader.required_text("name"));
    info.service_ = service_name(reader.required_text("service"));
    info.zone_ = zone_name(reader.required_text("zone"));
    findings faults;
    info.address_ =
        parse_host_port(reader.required_text("address"), "address", faults);
    if (!faults.empty() || info.address_.port_ == 0)
        reader.add_error("address", "IP:PORT");
    info.slots_ = reader.number("slots", 8, 1, 10000);
    info.connections_ = reader.number("connections", 64, 1, 100000);
    std::string state = reader.text("state", "serving");
    info.leaving_ = state == "leaving";
    if (!info.leaving_ && state != "serving")
        reader.add_error("state", "serving or leaving");
    info.time_to_live_ = std::chrono::milliseconds(
        reader.number("time_to_live_ms", 5000, 100, 600000));
    reader.finish();
    return info;
}

std::uint64_t sequence_from_json(const QJsonObject& object,
                                 std::uint64_t default_value)
{
    field_reader reader(object, "endpoint");
    std::uint64_t sequence = reader.counter("sequence", default_value);
    reader.finish();
    return sequence;
}

} // namespace dandelioncrank
