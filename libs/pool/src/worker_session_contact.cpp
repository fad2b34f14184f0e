// Whether a worker is in contact, and which leases it may hold.
#include "worker_session.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

// Workers' clocks may be 2 % slow; the margin covers the network round trip.
constexpr double clock_drift = 1.02;
constexpr duration lease_margin = 150ms;
// Number of consecutive lost calls from which a worker is out of contact for
// its owner's successors.
constexpr int recorded_lost_calls = 2;
// How long the listings of a worker may leave rows out, some pages of outcomes,
// or be refused.
constexpr duration max_incomplete_time = 2s;

} // namespace

// --- Leases

std::int64_t pool_owner::worker_session::clock_at(instant now) const
{
    auto passed =
        std::chrono::floor<std::chrono::milliseconds>(now - clock_read_at_);
    return *clock_ms_ + passed.count();
}

duration pool_owner::worker_session::longest_lease_time() const
{
    return std::chrono::duration_cast<duration>(timing_.longest_lease_ *
                                                clock_drift) +
           lease_margin;
}

std::int64_t pool_owner::worker_session::lease_until(instant now,
                                                     duration lease) const
{
    auto lease_ms = std::chrono::floor<std::chrono::milliseconds>(lease);
    return clock_at(now) + lease_ms.count();
}

instant pool_owner::worker_session::latest_lease_end(instant now,
                                                     duration lease)
{
    return now + std::chrono::duration_cast<duration>(lease * clock_drift) +
           lease_margin;
}

instant pool_owner::worker_session::lease_end() const
{
    instant result = settled_lease_end_;
    for (const auto& item : calls_)
        result = std::max(result, item.second.lease_end_);
    return result;
}

void pool_owner::worker_session::settle_lease(const open_call& call,
                                              const call_result& result)
{
    const auto* answer = std::get_if<call_answer>(&result);
    if (answer != nullptr && answer->verdict_ == call_verdict::done)
        is_lease_uncertain_ = false;
    // A worker that refuses a call in this way has done nothing for it. With
    // other verdicts it may hold the lease of a start all the same.
    bool has_no_effect = answer != nullptr
                             ? answer->verdict_ == call_verdict::unhealthy ||
                                   answer->verdict_ == call_verdict::fenced
                             : std::get<call_lost>(result).certainly_not_sent_;
    if (has_no_effect || call.lease_end_ == instant())
        return;
    settled_lease_end_ = std::max(settled_lease_end_, call.lease_end_);
    is_lease_uncertain_ = is_lease_uncertain_ || answer == nullptr;
}

// --- Contact

bool pool_owner::worker_session::can_list_runs(instant now) const
{
    auto is_recent = [now](const std::optional<instant>& since) {
        return !since || now - *since < max_incomplete_time;
    };
    return is_recent(incomplete_since_) && is_recent(refusing_since_);
}

void pool_owner::worker_session::report_refusal(call_verdict verdict,
                                                instant now, owner_output& out)
{
    bool is_refused = verdict != call_verdict::done;
    if (is_refused == refusing_since_.has_value())
        return;
    std::string text = "worker " + worker_.str();
    if (is_refused) {
        refusing_since_ = now;
        out.events_.push_back({worker_.str(),
                               text + " refuses hold calls with " +
                                   std::to_string(runs_.size()) +
                                   " runs: " + to_text(verdict),
                               "workers_refusing_holds"});
        return;
    }
    auto time =
        std::chrono::floor<std::chrono::milliseconds>(now - *refusing_since_);
    refusing_since_.reset();
    out.events_.push_back(
        {worker_.str(), text + " accepts hold calls again after " +
                            std::to_string(time.count()) + " ms"});
}

bool pool_owner::worker_session::is_contact_undecided() const
{
    return std::any_of(contact_proposals_.begin(), contact_proposals_.end(),
                       [this](std::uint64_t proposal) {
                           return proposals_.is_undecided(proposal);
                       });
}

bool pool_owner::worker_session::may_be_recorded_lost() const
{
    return state_.worker_at(worker_).lease_left_ || is_contact_undecided();
}

// A successor that knew nothing of the loss would count the leases from its own
// beginning, and each further one again. A proposal may follow one that is
// undecided: the log keeps their order.
void pool_owner::worker_session::propose_contact(instant now, owner_output& out)
{
    if (now < next_contact_proposal_)
        return;
    bool is_recorded = is_contact_undecided()
                           ? is_proposed_lost_
                           : state_.worker_at(worker_).lease_left_.has_value();
    // A worker that has accepted calls may accept the next one.
    bool is_lost = lost_calls_ >= recorded_lost_calls || !can_list_runs(now) ||
                   (refusing_since_ && !was_listed_once_);
    bool may_have_runs =
        std::any_of(runs_.begin(), runs_.end(), [](const auto& item) {
            return item.second.phase_ != run_phase::unsent;
        });
    set_contact command{worker_, incarnation_, std::nullopt};
    // Calls to an earlier incarnation may still grant this one a lease.
    bool is_new_loss = !is_recorded && is_lost && may_have_runs &&
                       !awaits_listing_ && now < lease_end();
    if (is_new_loss)
        command.lease_left_ = lease_end() - now;
    else if (!is_recorded || !has_listed_)
        return;
    std::erase_if(contact_proposals_, [this](std::uint64_t proposal) {
        return !proposals_.is_undecided(proposal);
    });
    contact_proposals_.push_back(proposals_.current());
    is_proposed_lost_ = is_new_loss;
    next_contact_proposal_ = now + proposal_interval;
    out.observations_.push_back(command);
    if (is_new_loss) {
        auto left =
            std::chrono::floor<std::chrono::milliseconds>(*command.lease_left_);
        out.events_.push_back(
            {worker_.str(), "worker " + worker_.str() +
                                " is out of contact; its leases end within " +
                                std::to_string(left.count()) + " ms"});
    }
}

} // namespace dandelioncrank::pool
