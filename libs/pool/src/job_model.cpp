#include "dandelioncrank/pool/job_model.hpp"

namespace dandelioncrank::pool {

resources& resources::operator+=(const resources& other)
{
    cpu_ += other.cpu_;
    memory_mb_ += other.memory_mb_;
    accelerators_ += other.accelerators_;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    cpu_ -= other.cpu_;
    memory_mb_ -= other.memory_mb_;
    accelerators_ -= other.accelerators_;
    return *this;
}

std::string to_text(const task_ref& value)
{
    return value.job_.str() + '.' + std::to_string(value.occurrence_) + '.' +
           std::to_string(value.step_) + '.' + std::to_string(value.index_);
}

std::string to_text(const run_ref& value)
{
    return to_text(value.task_) + " run " + std::to_string(value.run_);
}

std::string to_text(run_outcome value)
{
    switch (value) {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lapsed:
        return "lapsed";
    case run_outcome::broken:
        return "broken";
    case run_outcome::alone:
        return "alone";
    case run_outcome::refused:
        return "refused";
    case run_outcome::lost:
        break;
    }
    return "lost";
}

} // namespace dandelioncrank::pool
