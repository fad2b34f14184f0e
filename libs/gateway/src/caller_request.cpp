#include "dandelioncrank/gateway/caller_request.hpp"

#include "dandelioncrank/core/wire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dandelioncrank {

namespace {

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view requests_prefix = "/requests/";
constexpr std::size_t max_id_length = 100;
constexpr std::size_t max_key_length = 200;
constexpr long max_deadline_ms = 3'600'000;

bool is_token(const std::string& text, std::size_t max_length)
{
    auto is_allowed = [](char c) {
        return c > ' ' && c < 127 && c != '"' && c != '\\' && c != '/';
    };
    return !text.empty() && text.size() <= max_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

/// "/NAME/rest?query" -> "NAME" and "/rest?query".
struct split_target
{
    std::string service_;
    std::string rest_;
};

split_target split(const std::string& target)
{
    std::string tail = target.substr(services_prefix.size());
    auto end = tail.find_first_of("/?");
    split_target result{tail.substr(0, end), "/"};
    if (end != std::string::npos)
        result.rest_ =
            tail[end] == '/' ? tail.substr(end) : "/" + tail.substr(end);
    return result;
}

// Method and first path segment distinguish the kinds of work without creating
// an entry for each resource.
std::string route_of(const std::string& method, const std::string& rest)
{
    auto end = rest.find_first_of("/?", 1);
    return method + ' ' + rest.substr(0, end);
}

std::optional<bool> parse_repeatable_header(const http_request& request)
{
    auto header = request.headers_.find("X-Repeatable");
    if (!header)
        return std::nullopt;
    return *header == "yes" || *header == "true";
}

bool is_safe_method(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::optional<duration> parse_deadline(const std::string& text)
{
    long value = 0;
    auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    bool whole = error == std::errc() && end == text.data() + text.size();
    if (!whole || value < 0 || value > max_deadline_ms)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

std::string quote(const std::string& text)
{
    std::string result = "\"";
    for (char c : text) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return result + '"';
}

} // namespace

void remove_hop_by_hop_headers(header_list& headers)
{
    for (const char* name :
         {"Connection", "Keep-Alive", "Proxy-Authenticate",
          "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
          "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"})
        headers.remove(name);
}

caller_request_result parse_caller_request(const http_request& request,
                                           const routing_table& table,
                                           const std::string& generated_id)
{
    request_id id(request.headers_.value_or("X-Request-Id", generated_id));
    auto refused = [&id](refusal_reason reason, const std::string& detail) {
        return request_refused{id, reason, detail};
    };
    if (!is_token(id.str(), max_id_length)) {
        id = request_id(generated_id);
        return refused(refusal_reason::bad_request,
                       "X-Request-Id is no plain word of up to 100 letters");
    }
    if (!request.target_.starts_with(services_prefix))
        return refused(refusal_reason::unknown_service,
                       "requests go to /services/NAME/...");
    if (table.stopping_)
        return refused(refusal_reason::stopping, "this host is stopping");
    if (!table.serving_)
        return refused(refusal_reason::stopping,
                       "this host has just started and does not know the "
                       "configuration yet");
    split_target target = split(request.target_);
    auto found = table.services_.find(target.service_);
    if (found == table.services_.end())
        return refused(refusal_reason::unknown_service,
                       "no text names service '" + target.service_ + "'");
    const service_rule& rule = found->second.rule_;
    auto zone = request.headers_.find("X-Zone");
    if (zone && *zone != table.zone_.str())
        return refused(refusal_reason::wrong_zone,
                       "this host serves zone '" + table.zone_.str() + "'");
    if (!found->second.missing_dependency_.empty())
        return refused(refusal_reason::dependency_down,
                       "it depends on '" + found->second.missing_dependency_ +
                           "', which no endpoint serves");

    caller_request result;
    result.id_ = id;
    result.service_ = rule.name_;
    result.team_ = rule.team_;
    result.route_ = route_of(request.method_, target.rest_);
    result.deadline_ = rule.deadline_;
    if (auto text = request.headers_.find("X-Deadline-Ms")) {
        auto deadline = parse_deadline(*text);
        if (!deadline)
            return refused(refusal_reason::bad_request,
                           "X-Deadline-Ms is no number up to 3600000");
        result.deadline_ = std::min(rule.deadline_, *deadline);
    }
    if (result.deadline_ <= duration::zero())
        return refused(refusal_reason::deadline_passed,
                       "the deadline has passed");
    result.repeatable_ = parse_repeatable_header(request).value_or(
        is_safe_method(request.method_) || rule.repeatable_);
    result.idempotency_key_ = request.headers_.value_or("Idempotency-Key", "");
    if (!result.idempotency_key_.empty() &&
        !is_token(result.idempotency_key_, max_key_length))
        return refused(refusal_reason::bad_request,
                       "Idempotency-Key is no plain word of up to 200 "
                       "letters");
    // Scopes the key to the service.
    if (!result.idempotency_key_.empty())
        result.idempotency_key_ =
            rule.name_.str() + '/' + result.idempotency_key_;
    result.digest_ = stable_hash(request.method_ + ' ' + request.target_ +
                                 '\n' + request.body_);
    result.forwarded_ = request;
    result.forwarded_.target_ = target.rest_;
    remove_hop_by_hop_headers(result.forwarded_.headers_);
    result.forwarded_.headers_.set("X-Request-Id", id.str());
    return result;
}

std::optional<request_id> parse_outcome_target(const std::string& target)
{
    if (!target.starts_with(requests_prefix))
        return std::nullopt;
    return request_id(target.substr(requests_prefix.size()));
}

void set_outcome_headers(http_response& response, const request_id& id,
                         request_outcome value)
{
    response.headers_.set("X-Request-Id", id.str());
    response.headers_.set("X-Fate", to_text(value));
}

http_response refusal_response(const request_id& id, refusal_reason reason,
                               const std::string& detail, duration retry_after)
{
    http_response response = json_response(
        status_of(reason),
        "{\"fate\":\"not-run\",\"reason\":" + quote(to_text(reason)) +
            ",\"detail\":" + quote(detail) +
            ",\"request_id\":" + quote(id.str()) + "}\n");
    set_outcome_headers(response, id, request_outcome::not_run);
    response.headers_.set("X-Reason", to_text(reason));
    if (retry_after > duration::zero()) {
        auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
        response.headers_.set("Retry-After", std::to_string(seconds.count()));
        auto exact = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
        response.headers_.set("X-Retry-After-Ms",
                              std::to_string(exact.count()));
    }
    return response;
}

} // namespace dandelioncrank
