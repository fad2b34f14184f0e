#include "control_api.hpp"

#include "json_conversion.hpp"

#include <QTimer>

#include <array>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration submit_timeout = 8s;
constexpr auto recheck_delay = 20ms;
// Longer than the leader takes to find out that it has no quorum.
constexpr duration history_timeout = 4s;
constexpr std::string_view history_path = "/v1/config/history";

// Fields of the calls that change the configuration or the voters.
constexpr std::array text_fields = {"file",       "text", "author",
                                    "request_id", "old",  "new"};

/// Returns the name of a field whose value is not a text; empty if there is
/// none.
std::string find_invalid_text(const QJsonObject& body)
{
    for (const char* field : text_fields) {
        if (body.contains(field) && !text_of(body.value(field)))
            return field;
    }
    return {};
}

/// Returns the text of a field; empty if the field is absent.
std::string read_text(const QJsonObject& body, const char* field)
{
    return text_of(body.value(field)).value_or(std::string());
}

struct submitted_text
{
    std::string subject_;
    config_text text_;
};

std::optional<submitted_text> parse_submitted_text(const QJsonObject& body)
{
    submitted_text result;
    result.text_.name_ = read_text(body, "file");
    result.text_.body_ = read_text(body, "text");
    result.subject_ = text_subject(result.text_);
    if (result.subject_.empty())
        return std::nullopt;
    return result;
}

http_response make_no_quorum_response()
{
    return make_error_response(503, "no quorum: the newest changes are not "
                                    "known here; ask again");
}

http_response make_findings_response(const findings& faults)
{
    return make_json_response(
        422, {{"outcome", "invalid"}, {"findings", to_json(faults)}});
}

} // namespace

control_api::control_api(const node_settings& settings, peer_directory& peers,
                         disseminator& gossip, active_config& config,
                         state_client& state, zone_service& zone,
                         state_replica* voter, announce on_announce)
    : settings_(settings), peers_(peers), gossip_(gossip), config_(config),
      state_(state), voter_(voter), on_announce_(std::move(on_announce)),
      jobs_(settings, peers, state, zone)
{
}

bool control_api::is_allowed(const http_request& request,
                             const std::string& path) const
{
    bool uses_worker_token = path.starts_with("/v1/workers/report") ||
                             path.starts_with("/v1/endpoints/announce");
    const std::string& token =
        uses_worker_token ? settings_.worker_token_ : settings_.operator_token_;
    return token.empty() ||
           request.headers_.value_or("Authorization", "") == "Bearer " + token;
}

void control_api::handle(const http_request& request, const reply& on_reply)
{
    std::string path = request.target_.substr(0, request.target_.find('?'));
    if (!is_allowed(request, path)) {
        on_reply(make_error_response(401, "the token is missing or wrong"));
        return;
    }
    route(request.method_, path, request.body_, on_reply);
}

void control_api::handle_forwarded(const api_request& request,
                                   const reply& on_reply)
{
    if (request.method_ == "GET" && request.target_ == history_path) {
        show_own_history(on_reply);
        return;
    }
    if (!jobs_.route(request.method_, request.target_, request.body_, false,
                     on_reply))
        on_reply(make_error_response(404, "there is no such call"));
}

void control_api::route(const std::string& method, const std::string& path,
                        const std::string& body, const reply& on_reply)
{
    bool served = route_config(method, path, body, on_reply) ||
                  jobs_.route(method, path, body, true, on_reply);
    if (!served)
        on_reply(make_error_response(404, "there is no such call"));
}

bool control_api::route_config(const std::string& method,
                               const std::string& path, const std::string& body,
                               const reply& on_reply)
{
    std::string method_and_path = method + ' ' + path;
    if (method_and_path == "GET /v1/config")
        show_config(on_reply);
    else if (method == "GET" && path == history_path)
        show_history(on_reply);
    else if (method_and_path == "GET /v1/config/rollout")
        show_rollout(on_reply);
    else if (method_and_path == "GET /v1/endpoints")
        list_endpoints(on_reply);
    else if (method == "POST" &&
             (path == "/v1/config/check" || path == "/v1/config/submit" ||
              path == "/v1/endpoints/announce" ||
              path == "/v1/voters/replace")) {
        auto object = parse_object(body);
        std::string invalid_field =
            object ? find_invalid_text(*object) : std::string();
        if (!object)
            on_reply(make_error_response(400, "the body is no JSON object"));
        else if (!invalid_field.empty())
            on_reply(make_error_response(
                400, invalid_field + " is not a string of Unicode characters"));
        else if (path == "/v1/config/check")
            check_config(*object, on_reply);
        else if (path == "/v1/config/submit")
            submit_config_text(*object, on_reply);
        else if (path == "/v1/voters/replace")
            replace_voter(*object, on_reply);
        else
            announce_endpoint(*object, on_reply);
    } else
        return false;
    return true;
}

// --- Configuration

void control_api::check_config(const QJsonObject& body, const reply& on_reply)
{
    auto item = parse_submitted_text(body);
    std::string subject = item ? item->subject_ : "?";
    config_text text{read_text(body, "file"), read_text(body, "text")};
    findings faults =
        check_texts(config_.with_replaced(subject, text)).findings_;
    if (!faults.empty()) {
        on_reply(make_findings_response(faults));
        return;
    }
    on_reply(make_json_response(
        200, {{"outcome", "valid"}, {"subject", to_qt(subject)}}));
}

void control_api::submit_config_text(const QJsonObject& body,
                                     const reply& on_reply)
{
    auto item = parse_submitted_text(body);
    if (!item) {
        check_config(body, on_reply);
        return;
    }
    submit_config change;
    change.request_ = request_id(read_text(body, "request_id"));
    change.author_ = read_text(body, "author");
    change.change_.subject_ = item->subject_;
    change.change_.replaces_ =
        static_cast<std::uint64_t>(body.value("replaces").toInteger(0));
    change.change_.text_ = item->text_;
    if (change.request_.empty() || change.request_.str().size() > 200) {
        on_reply(make_error_response(400, "request_id is missing or too long"));
        return;
    }
    propose_text(change, steady_now() + submit_timeout, on_reply);
}

void control_api::propose_text(const submit_config& change, instant deadline,
                               const reply& on_reply)
{
    // A resent text that is already in force passes this check.
    findings faults = check_texts(config_.with_replaced(change.change_.subject_,
                                                        change.change_.text_))
                          .findings_;
    if (!faults.empty()) {
        on_reply(make_findings_response(faults));
        return;
    }
    submit_config checked = change;
    checked.checked_revision_ = config_.revision();
    duration left = time_left(steady_now(), deadline);
    state_.execute(
        checked, left,
        [this, change, deadline, on_reply](command_outcome outcome) {
            if (outcome.status_ == command_status::rejected) {
                on_reply(make_error_response(503,
                                             "no quorum: the change was not "
                                             "accepted; send it again"));
                return;
            }
            if (outcome.status_ == command_status::unknown) {
                on_reply(make_error_response(
                    504, "unknown whether the change was accepted; send it "
                         "again with the same request_id"));
                return;
            }
            auto result = std::get<submit_result>(outcome.reply_);
            if (result.outcome_ == submit_outcome::stale_check) {
                // The text was checked against an outdated revision; the newer
                // one is about to reach this daemon.
                QTimer::singleShot(recheck_delay, &state_,
                                   [this, change, deadline, on_reply] {
                                       propose_text(change, deadline, on_reply);
                                   });
                return;
            }
            int status =
                result.outcome_ == submit_outcome::conflict ? 409 : 200;
            on_reply(make_json_response(status, to_json(result)));
        });
}

void control_api::show_config(const reply& on_reply) const
{
    // Operators base their next change on this output, so a host whose
    // configuration may be outdated does not serve it.
    if (!gossip_.self().serving_) {
        on_reply(make_error_response(503, "this host has just started or is "
                                          "stopping; ask another one"));
        return;
    }
    QJsonObject texts;
    for (const auto& [subject, text] : config_.texts()) {
        texts[to_qt(subject)] =
            QJsonObject{{"version", static_cast<qint64>(text.version_)},
                        {"revision", static_cast<qint64>(text.revision_)},
                        {"author", to_qt(text.author_)},
                        {"file", to_qt(text.text_.name_)},
                        {"text", to_qt(text.text_.body_)}};
    }
    on_reply(make_json_response(
        200, {{"revision", static_cast<qint64>(config_.revision())},
              {"texts", texts}}));
}

// The leader answers: a follower may lack the newest changes even if they are
// in force there already, through gossip.
void control_api::show_history(const reply& on_reply)
{
    if (voter_ == nullptr) {
        on_reply(make_error_response(
            421, "ask a voter: this host keeps no history"));
        return;
    }
    host_name leader = voter_->leader();
    if (voter_->is_leader() || leader.empty()) {
        show_own_history(on_reply);
        return;
    }
    peers_.call<http_response>(
        leader, api_request{"GET", std::string(history_path), {}},
        history_timeout, [on_reply](std::optional<http_response> response) {
            on_reply(response ? std::move(*response)
                              : make_no_quorum_response());
        });
}

void control_api::show_own_history(const reply& on_reply) const
{
    if (voter_ == nullptr) {
        on_reply(make_no_quorum_response());
        return;
    }
    voter_->read(steady_now(), [this, on_reply](bool granted) {
        if (!granted) {
            on_reply(make_no_quorum_response());
            return;
        }
        QJsonArray items;
        for (const config_history_item& item :
             voter_->state().config().history())
            items.append(to_json(item));
        on_reply(make_json_response(200, {{"history", items}}));
    });
}

void control_api::show_rollout(const reply& on_reply) const
{
    QJsonArray hosts;
    hosts.append(to_json(gossip_.self()));
    for (const host_status& host : gossip_.live_hosts())
        hosts.append(to_json(host));
    std::uint64_t newest =
        std::max(config_.revision(), gossip_.newest_known_revision());
    QJsonArray silent;
    for (const host_name& name : peers_.other_hosts()) {
        bool live = false;
        for (const host_status& host : gossip_.live_hosts())
            live = live || host.name_ == name;
        if (!live)
            silent.append(to_qt(name.str()));
    }
    on_reply(make_json_response(200, {{"newest", static_cast<qint64>(newest)},
                                      {"hosts", hosts},
                                      {"silent", silent}}));
}

// --- Endpoints and voters

void control_api::announce_endpoint(const QJsonObject& body,
                                    const reply& on_reply)
{
    try {
        endpoint_info info = endpoint_from_json(body);
        // Announcements without a sequence number are ordered by the clock of
        // the daemon that receives them.
        auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        std::uint64_t sequence =
            sequence_from_json(body, static_cast<std::uint64_t>(now.count()));
        on_announce_(info, sequence);
        on_reply(make_json_response(200, {{"ok", true}}));
    } catch (const findings_error& error) {
        on_reply(make_findings_response(error.items()));
    }
}

void control_api::list_endpoints(const reply& on_reply) const
{
    QJsonArray items;
    for (const endpoint_entry& entry : gossip_.endpoints(steady_now()))
        items.append(to_json(entry.info_));
    on_reply(make_json_response(200, {{"endpoints", items}}));
}

void control_api::replace_voter(const QJsonObject& body, const reply& on_reply)
{
    if (voter_ == nullptr || !voter_->is_leader()) {
        std::string leader =
            voter_ == nullptr ? std::string() : voter_->leader().str();
        on_reply(make_json_response(
            421, {{"error", "ask the leader"}, {"leader", to_qt(leader)}}));
        return;
    }
    voter_name old(read_text(body, "old"));
    voter_name next(read_text(body, "new"));
    bool accepted =
        !next.empty() && voter_->replace_voter(old, next, {}, steady_now());
    if (accepted)
        on_reply(make_json_response(200, {{"ok", true}}));
    else
        on_reply(make_error_response(409,
                                     "another change of the voters is under "
                                     "way, or the old one is no voter"));
}

} // namespace dandelioncrank
