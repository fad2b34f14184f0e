#include "dandelioncrank/scheduling/scheduling_types.hpp"

namespace dandelioncrank {

std::string to_text(job_state value)
{
    switch (value) {
    case job_state::queued:
        return "queued";
    case job_state::parked:
        return "parked";
    case job_state::acquiring:
        return "acquiring";
    case job_state::running:
        return "running";
    case job_state::stopping:
        return "stopping";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    case job_state::not_run:
        return "not-run";
    case job_state::unknown:
        break;
    }
    return "unknown";
}

bool is_final(job_state value)
{
    return value >= job_state::completed;
}

// An attempt is acquiring first and never again, so a start that has been
// recorded stays recorded.
bool is_outdated(const job_record& record, const job_record& stored)
{
    bool is_earlier_state = record.state_ == job_state::acquiring &&
                            stored.state_ != job_state::acquiring;
    return record.attempt_ < stored.attempt_ ||
           (record.attempt_ == stored.attempt_ && is_earlier_state);
}

std::string to_text(part_state value)
{
    switch (value) {
    case part_state::held:
        return "held";
    case part_state::running:
        return "running";
    case part_state::checkpointed:
        return "checkpointed";
    case part_state::finished:
        return "finished";
    case part_state::failed:
        return "failed";
    case part_state::refused:
        break;
    }
    return "refused";
}

std::optional<part_state> parse_part_state(const std::string& text)
{
    for (part_state state :
         {part_state::held, part_state::running, part_state::checkpointed,
          part_state::finished, part_state::failed, part_state::refused}) {
        if (to_text(state) == text)
            return state;
    }
    return std::nullopt;
}

std::string to_text(command_kind value)
{
    switch (value) {
    case command_kind::hold:
        return "hold";
    case command_kind::start:
        return "start";
    case command_kind::checkpoint:
        return "checkpoint";
    case command_kind::throttle:
        return "throttle";
    case command_kind::confirm:
        return "confirm";
    case command_kind::stop:
        break;
    }
    return "stop";
}

} // namespace dandelioncrank
