#include "dandelioncrank/control/client_call.hpp"

namespace dandelioncrank::control {

std::string to_text(client_verb value)
{
    switch (value) {
    case client_verb::submit:
        return "submit";
    case client_verb::show:
        return "show";
    case client_verb::cancel:
        return "cancel";
    case client_verb::count_waiting:
        break;
    }
    return "count";
}

std::string to_text(client_call_outcome value)
{
    switch (value) {
    case client_call_outcome::done:
        return "done";
    case client_call_outcome::unknown_route:
        return "unknown-route";
    case client_call_outcome::unknown_key:
        return "unknown-key";
    case client_call_outcome::unknown_job:
        return "unknown-job";
    case client_call_outcome::invalid:
        return "invalid";
    case client_call_outcome::unavailable:
        return "unavailable";
    case client_call_outcome::unsure:
        return "unsure";
    case client_call_outcome::not_leader:
        break;
    }
    return "not-leader";
}

client_response client_visible_response(const client_call& call,
                                        client_response response)
{
    bool is_write =
        call.verb_ == client_verb::submit || call.verb_ == client_verb::cancel;
    bool is_refusal = response.outcome_ != client_call_outcome::done &&
                      response.outcome_ != client_call_outcome::unknown_job;
    if (call.may_have_executed_ && is_write && is_refusal)
        response.outcome_ = client_call_outcome::unsure;
    return response;
}

} // namespace dandelioncrank::control
