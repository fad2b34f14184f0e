// The weight of the state, and the room for further jobs.
#include "dandelioncrank/pool/pool_state.hpp"

#include "dandelioncrank/pool/state_weight.hpp"

namespace dandelioncrank::pool {

namespace {

// How long clients may ask for a final job, also if its room is needed.
constexpr duration min_retention_time = std::chrono::minutes(2);

// Percentage of the limit below which room for new jobs is reported again.
constexpr std::uint64_t room_report_percent = 90;

} // namespace

void pool_state::shrink(job_record& job)
{
    job.occurrences_.drop_records();
    job.spec_.payload_ = {};
    job.spec_.steps_ = {};
}

void pool_state::update_weight(job_record& job)
{
    weight_ -= job.weight_;
    job.weight_ = weight_of(job);
    weight_ += job.weight_;
}

bool pool_state::can_evict() const
{
    return !final_jobs_.jobs().empty() &&
           !active_.contains(final_jobs_.jobs().front());
}

void pool_state::evict_oldest()
{
    const job_id id = final_jobs_.jobs().front();
    weight_ -= job_at(id).weight_;
    unbound_jobs_ -= job_at(id).address_.empty() ? 1 : 0;
    job_index_.erase(id);
    jobs_.erase(id);
    final_jobs_.remove_oldest();
}

bool pool_state::make_room(std::uint64_t weight, std::uint64_t limit)
{
    if (limit == 0)
        return true;
    while (weight_ + weight > limit && can_evict() &&
           final_jobs_.is_oldest_kept_for(min_retention_time))
        evict_oldest();
    return weight_ + weight <= limit;
}

// Small jobs still find room where large ones do not.
void pool_state::report_room(const job_id& job, bool has_room,
                             std::uint64_t limit)
{
    bool is_change = has_room == is_refusing_;
    if (!is_change || (has_room && weight_ / room_report_percent > limit / 100))
        return;
    is_refusing_ = !has_room;
    std::string message =
        has_room ? "there is room for new jobs again"
                 : "new jobs are refused, as the state would outgrow its limit";
    add_notice(job.str(),
               message + ": weight " + std::to_string(weight_) + " bytes, " +
                   std::to_string(active_.size()) + " active jobs, " +
                   std::to_string(final_jobs_.jobs().size()) + " final ones",
               nullptr);
}

} // namespace dandelioncrank::pool
