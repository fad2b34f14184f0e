#include "job_api.hpp"

#include "json_conversion.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration forward_timeout = 15s;
constexpr duration max_poll_wait = 10s;
// A held report does not renew the worker's lease, so its response must leave
// time for further ones.
constexpr int min_polls_per_lease = 3;

/// Job id that follows the prefix of a path.
std::optional<job_id> id_after_prefix(const std::string& path,
                                      const std::string& prefix)
{
    if (!path.starts_with(prefix) || path.size() == prefix.size())
        return std::nullopt;
    return job_id(path.substr(prefix.size()));
}

} // namespace

job_api::job_api(const node_settings& settings, peer_directory& peers,
                 state_client& state, zone_service& zone)
    : settings_(settings), peers_(peers), state_(state), zone_(zone)
{
}

bool job_api::route(const std::string& method, const std::string& path,
                    const std::string& body, bool may_forward,
                    const reply& on_reply)
{
    bool is_handled = path.starts_with("/v1/jobs") ||
                      path.starts_with("/v1/teams") ||
                      path.starts_with("/v1/workers");
    if (!is_handled)
        return false;
    if (zone_.scheduler() != nullptr)
        serve(method, path, body, on_reply);
    else if (may_forward)
        forward(method, path, body, on_reply);
    else
        on_reply(make_error_response(503, "this host does not own the zone; "
                                          "nothing was done"));
    return true;
}

void job_api::forward(const std::string& method, const std::string& path,
                      const std::string& body, const reply& on_reply)
{
    host_name owner = zone_.owner();
    if (owner.empty() || owner == settings_.host_) {
        http_response response = make_error_response(
            503, "no host owns zone '" + settings_.zone_.str() +
                     "' yet; nothing was done");
        response.headers_.set("Retry-After", "1");
        on_reply(std::move(response));
        return;
    }
    peers_.call<http_response>(
        owner, api_request{method, path, body}, forward_timeout,
        [on_reply](std::optional<http_response> response) {
            if (response)
                on_reply(std::move(*response));
            else
                on_reply(make_error_response(
                    504, "the zone's owner did not answer; ask again with "
                         "the same id"));
        });
}

void job_api::serve(const std::string& method, const std::string& path,
                    const std::string& body, const reply& on_reply)
{
    std::string method_and_path = method + ' ' + path;
    auto id = id_after_prefix(path, "/v1/jobs/");
    if (method_and_path == "POST /v1/workers/report")
        report(body, on_reply);
    else if (method_and_path == "POST /v1/jobs")
        submit(body, on_reply);
    else if (method_and_path == "GET /v1/jobs")
        list_jobs(on_reply);
    else if (method_and_path == "GET /v1/teams")
        list_teams(on_reply);
    else if (method_and_path == "GET /v1/workers")
        list_workers(on_reply);
    else if (method == "GET" && id)
        show(*id, on_reply);
    else if (method == "DELETE" && id)
        cancel(*id, on_reply);
    else
        on_reply(make_error_response(404, "there is no such call"));
}

void job_api::submit(const std::string& body, const reply& on_reply)
{
    auto object = parse_object(body);
    if (!object) {
        on_reply(make_error_response(400, "the body is no JSON object"));
        return;
    }
    job_spec spec;
    try {
        spec = job_from_json(*object);
    } catch (const findings_error& error) {
        on_reply(make_json_response(
            422, {{"state", "not-run"}, {"findings", to_json(error.items())}}));
        return;
    }
    zone_.submit(spec, [on_reply](command_status commit_status,
                                  const job_record& record) {
        if (commit_status == command_status::rejected) {
            on_reply(make_json_response(
                503, {{"state", "not-run"},
                      {"reason", "no quorum: the job was not taken"}}));
            return;
        }
        if (commit_status == command_status::unknown) {
            on_reply(make_json_response(
                504, {{"state", "unknown"},
                      {"reason", "submit it again with the same id"}}));
            return;
        }
        int status = record.state_ == job_state::not_run ? 409 : 200;
        on_reply(make_json_response(status, to_json(record)));
    });
}

void job_api::show(const job_id& id, const reply& on_reply)
{
    auto view = zone_.scheduler()->job(id, steady_now());
    if (view)
        on_reply(make_json_response(200, to_json(*view)));
    else
        show_finished(id, on_reply);
}

// Finished jobs are kept in the replicated state only.
void job_api::show_finished(const job_id& id, const reply& on_reply)
{
    job_record probe;
    probe.spec_.id_ = id;
    // No owner has epoch 0, so this put changes nothing and returns the stored
    // record.
    put_job query{settings_.zone_, probe, 0, false};
    state_.execute(query, 5s, [on_reply](command_outcome outcome) {
        if (outcome.status_ != command_status::committed) {
            on_reply(make_error_response(503, "no quorum to ask"));
            return;
        }
        auto result = std::get<job_result>(outcome.reply_);
        if (result.record_.spec_.id_.empty())
            on_reply(make_error_response(404, "no such job is known"));
        else
            on_reply(make_json_response(200, to_json(result.record_)));
    });
}

void job_api::cancel(const job_id& id, const reply& on_reply)
{
    if (zone_.cancel(id))
        on_reply(make_json_response(200, {{"ok", true}}));
    else
        show_finished(id, on_reply);
}

void job_api::list_jobs(const reply& on_reply)
{
    QJsonArray items;
    for (const job_view& view : zone_.scheduler()->jobs(steady_now()))
        items.append(to_json(view));
    on_reply(make_json_response(200, {{"jobs", items}}));
}

void job_api::list_teams(const reply& on_reply)
{
    QJsonArray items;
    for (const team_view& view : zone_.scheduler()->teams(steady_now()))
        items.append(to_json(view));
    on_reply(make_json_response(200, {{"teams", items}}));
}

void job_api::list_workers(const reply& on_reply)
{
    QJsonArray items;
    const worker_pool& pool = zone_.scheduler()->pool();
    for (worker_index index = 0; index < pool.size(); ++index)
        items.append(to_json(pool.at(index)));
    on_reply(make_json_response(200, {{"workers", items}}));
}

void job_api::report(const std::string& body, const reply& on_reply)
{
    auto object = parse_object(body);
    if (!object) {
        on_reply(make_error_response(400, "the body is no JSON object"));
        return;
    }
    try {
        worker_report reported = report_from_json(*object);
        duration longest =
            std::min(max_poll_wait, settings_.lease_ / min_polls_per_lease);
        // Clamped before the conversion, which overflows far beyond.
        duration wait = std::chrono::milliseconds(
            std::clamp<qint64>(object->value("wait_ms").toInteger(0), 0,
                               longest / std::chrono::milliseconds(1)));
        zone_.report(
            reported, wait,
            [on_reply](const std::vector<worker_command>& commands) {
                QJsonArray items;
                for (const worker_command& command : commands)
                    items.append(to_json(command));
                on_reply(make_json_response(200, {{"commands", items}}));
            });
    } catch (const findings_error& error) {
        on_reply(
            make_json_response(422, {{"findings", to_json(error.items())}}));
    }
}

} // namespace dandelioncrank
