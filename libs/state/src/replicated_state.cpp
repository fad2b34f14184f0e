#include "dandelioncrank/state/replicated_state.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// Finished jobs that are retained: two days at 19,000 jobs a day.
constexpr std::size_t max_final_jobs = 38000;

} // namespace

state_reply replicated_state::apply(const state_command& command)
{
    // The clocks of successive leaders differ, so time is kept monotonic.
    now_ = std::max(now_, command.at_);
    claims_.expire(now_);
    return std::visit([this](const auto& change) { return handle(change); },
                      command.change_);
}

state_reply replicated_state::handle(const submit_config& change)
{
    return config_.apply(change, now_);
}

state_reply replicated_state::handle(const put_job& change)
{
    const job_id& id = change.record_.spec_.id_;
    auto found = jobs_.find(id);
    if (change.is_new_ && found != jobs_.end())
        return job_result{false, found->second.record_};
    auto owner = zones_.find(change.zone_);
    bool outdated = !change.is_new_ && owner != zones_.end() &&
                    change.epoch_ < owner->second.epoch_;
    bool superseded = found != jobs_.end() &&
                      (is_final(found->second.record_.state_) ||
                       is_outdated(change.record_, found->second.record_));
    if (outdated || superseded) {
        job_result result;
        if (found != jobs_.end())
            result.record_ = found->second.record_;
        return result;
    }
    jobs_[id] = {change.zone_, change.record_};
    if (is_final(change.record_.state_)) {
        final_jobs_.push_back(id);
        evict_final_jobs();
    }
    return job_result{true, change.record_};
}

void replicated_state::evict_final_jobs()
{
    while (final_jobs_.size() > max_final_jobs) {
        jobs_.erase(final_jobs_.front());
        final_jobs_.pop_front();
    }
}

state_reply replicated_state::handle(const acquire_claim& change)
{
    return claims_.acquire(change, now_);
}

state_reply replicated_state::handle(const settle_claim& change)
{
    return claims_.settle(change);
}

state_reply replicated_state::handle(const acquire_zone& change)
{
    zone_owner& owner = zones_[change.zone_];
    bool same = owner.host_ == change.host_ && owner.nonce_ == change.nonce_;
    if (!same)
        owner = {owner.epoch_ + 1, change.host_, change.nonce_};
    return zone_result{owner.epoch_, owner.host_};
}

state_reply replicated_state::handle(const read_barrier&)
{
    return barrier_result{config_.revision()};
}

QByteArray replicated_state::snapshot() const
{
    return to_wire(*this);
}

void replicated_state::restore(const QByteArray& bytes)
{
    *this = from_wire<replicated_state>(bytes);
}

std::uint64_t replicated_state::hash() const
{
    QByteArray bytes = snapshot();
    return stable_hash(
        {bytes.constData(), static_cast<std::size_t>(bytes.size())});
}

} // namespace dandelioncrank
