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

std::string to_text(client_outcome_kind value)
{
    switch (value) {
    case client_outcome_kind::done:
        return "done";
    case client_outcome_kind::unknown_route:
        return "unknown-route";
    case client_outcome_kind::unknown_key:
        return "unknown-key";
    case client_outcome_kind::unknown_job:
        return "unknown-job";
    case client_outcome_kind::invalid:
        return "invalid";
    case client_outcome_kind::unavailable:
        return "unavailable";
    case client_outcome_kind::unsure:
        return "unsure";
    case client_outcome_kind::not_leader:
        break;
    }
    return "not-leader";
}

client_answer settle_answer(const client_call& call, client_answer answer)
{
    bool changes =
        call.verb_ == client_verb::submit || call.verb_ == client_verb::cancel;
    bool is_refusal = answer.kind_ != client_outcome_kind::done &&
                      answer.kind_ != client_outcome_kind::unknown_job;
    if (call.is_repeat_ && changes && is_refusal)
        answer.kind_ = client_outcome_kind::unsure;
    return answer;
}

} // namespace dandelioncrank::control
