// What an owner learns from the state about workers that were out of contact
// with its predecessors.
#include "dandelioncrank/pool/pool_owner.hpp"

#include "fencing_tokens.hpp"
#include "loss_monitor.hpp"
#include "worker_session.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Clocks of hosts may differ by this factor.
constexpr double clock_drift = 1.02;

// Maximum number of workers named in the log of a new owner.
constexpr std::size_t max_logged_workers = 3;

} // namespace

void pool_owner::observe_contacts(instant now)
{
    if (observed_contact_revision_ == state_.contact_revision())
        return;
    observed_contact_revision_ = state_.contact_revision();
    std::map<worker_name, observed_loss> observed;
    for (const worker_name& name : state_.out_of_contact()) {
        const worker_record& record = state_.worker_at(name);
        observed_loss loss{record.info_.incarnation_, record.contact_losses_,
                           now};
        auto known = observed_losses_.find(name);
        if (known != observed_losses_.end() &&
            known->second.incarnation_ == loss.incarnation_ &&
            known->second.number_ == loss.number_)
            loss.observed_at_ = known->second.observed_at_;
        observed.emplace(name, loss);
    }
    observed_losses_ = std::move(observed);
}

// The time left was counted from the proposal, which was earlier.
std::optional<instant>
pool_owner::recorded_lease_end(const worker_name& worker) const
{
    const worker_record& record = state_.worker_at(worker);
    auto found = observed_losses_.find(worker);
    bool is_known = record.lease_left_ && found != observed_losses_.end() &&
                    found->second.incarnation_ == record.info_.incarnation_ &&
                    found->second.number_ == record.contact_losses_;
    if (!is_known)
        return std::nullopt;
    auto left =
        std::chrono::duration_cast<duration>(*record.lease_left_ * clock_drift);
    return found->second.observed_at_ + left;
}

void pool_owner::report_inherited_losses(instant now)
{
    std::size_t named = 0;
    for (const auto& [name, session] : sessions_) {
        auto end = recorded_lease_end(name);
        if (!end || state_.runs_on(name).empty())
            continue;
        if (++named > max_logged_workers)
            return;
        auto left = std::chrono::floor<std::chrono::milliseconds>(
            std::max(duration::zero(), *end - now));
        output_.events_.push_back(
            {name.str(), "worker " + name.str() + " was out of contact with " +
                             std::to_string(state_.runs_on(name).size()) +
                             " runs before this owner began; its leases end "
                             "within " +
                             std::to_string(left.count()) + " ms"});
    }
}

} // namespace dandelioncrank::pool
