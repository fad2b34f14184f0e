#include "worker_service.hpp"

#include "dandelioncrank/pool/worker_confirmation.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Workers repeat an announcement that is not answered within a second.
constexpr duration registration_timeout = 900ms;
// How long a worker may take to confirm an announcement.
constexpr duration confirmation_timeout = 400ms;
// Bounds the memory for announcements that wait for a confirmation.
constexpr std::size_t max_registrations = 4096;

} // namespace

worker_service::worker_service(const replica<pool_state_machine>& replica,
                               group_log& group, pool::pool_owner& owner,
                               control_host::worker_caller call_worker,
                               metric_registry& metrics,
                               std::string own_address)
    : replica_(replica), group_(group), owner_(owner),
      call_worker_(std::move(call_worker)), metrics_(metrics),
      own_address_(std::move(own_address)), balancer_(state())
{
}

std::string worker_service::assigned_host(const worker_name& worker) const
{
    if (!balancer_.is_distributed())
        return own_address_;
    std::string assigned =
        announcement_balancer::assigned_host(worker, live_hosts_());
    return assigned.empty() ? own_address_ : assigned;
}

void worker_service::announce(const pool::worker_info& info,
                              std::int64_t clock_ms, std::uint64_t sequence,
                              duration cold_remaining,
                              const response_handler& on_response)
{
    bool is_leader = replica_.is_leader();
    bool is_unchanged = balancer_.is_unchanged(info);
    bool acknowledges_for_leader = is_unchanged && balancer_.is_distributed() &&
                                   !replica_.status().leader_.empty();
    if (!is_leader && !acknowledges_for_leader) {
        on_response(redirect_to_leader_());
        return;
    }
    // A worker keeps announcing itself to the host that acknowledges its
    // announcements.
    control_response done{control_outcome::done, own_address_, {}};
    if (is_leader)
        done.leader_ = assigned_host(info.name_);
    registration item{info,         clock_ms, done,          on_response,
                      steady_now(), false,    cold_remaining};
    if (is_leader && contradicts_state(info)) {
        confirm_worker(std::move(item));
        return;
    }
    if (balancer_.is_stale(info, sequence, steady_now())) {
        on_response(done);
        return;
    }
    if (is_leader && !is_unchanged) {
        log_registration(info);
        commit_worker(item);
        return;
    }
    if (is_leader)
        owner_.record_announcement(info.name_, info.incarnation_, clock_ms,
                                   steady_now(), cold_remaining);
    else
        balancer_.add_to_batch(info, clock_ms, cold_remaining);
    on_response(done);
}

void worker_service::log_registration(const pool::worker_info& info)
{
    log_.event("Worker registered or changed.",
               {{"worker", info.name_.str()},
                {"life", std::to_string(info.incarnation_)},
                {"address", info.address_},
                {"draining", info.is_draining_ ? "yes" : "no"}});
}

// An announcement is a claim that any writer can make. To believe one that
// contradicts what is known takes the word of the process at the address.
bool worker_service::contradicts_state(const pool::worker_info& info) const
{
    auto known = state().workers().find(info.name_);
    if (known == state().workers().end())
        return state().has_ended(info) || !state().replaced_by(info).empty();
    return known->second.info_.incarnation_ != info.incarnation_ ||
           known->second.info_.address_ != info.address_;
}

void worker_service::confirm_worker(registration item)
{
    worker_name name = item.info_.name_;
    bool can_check = owner_.is_active() && !registrations_.contains(name) &&
                     registrations_.size() < max_registrations;
    if (!can_check) {
        give_up(item);
        return;
    }
    pool::worker_call call;
    call.worker_ = name;
    call.incarnation_ = item.info_.incarnation_;
    call.address_ = item.info_.address_;
    call.fencing_token_ = owner_.fencing_token_for(name);
    call.operation_ = pool::hold_call{};
    call.timeout_ = confirmation_timeout;
    registrations_.emplace(name, std::move(item));
    call_worker_(call, [this, name, token = call.fencing_token_,
                        info = registrations_.at(name).info_](
                           const pool::call_result& result) {
        auto found = registrations_.find(name);
        if (found != registrations_.end() && found->second.info_ == info)
            handle_confirmation(found->second, result, token);
    });
}

void worker_service::handle_confirmation(registration& item,
                                         const pool::call_result& result,
                                         std::uint64_t token)
{
    const pool::worker_info& info = item.info_;
    switch (pool::judge_confirmation(info, result)) {
    case pool::confirmation::confirmed:
        log_registration(info);
        item.is_confirmed_ = true;
        seen_workers_revision_.reset();
        owner_.replace_incarnations(info, std::get<pool::call_answer>(result),
                                    token, steady_now());
        on_owner_work_();
        return;
    case pool::confirmation::refuted:
        metrics_.count("announcements_refuted");
        log_.event("Announcement refuted by the process at its address.",
                   {{"worker", info.name_.str()},
                    {"life", std::to_string(info.incarnation_)},
                    {"address", info.address_}});
        item.on_response_({control_outcome::refused, {}, {}});
        break;
    case pool::confirmation::unanswered:
        give_up(item);
        break;
    }
    registrations_.erase(info.name_);
}

void worker_service::give_up(const registration& item)
{
    balancer_.reset_sequence(item.info_.name_);
    item.on_response_(redirect_to_leader_());
}

void worker_service::commit_worker(const registration& item)
{
    // Its numbers count from the confirmed incarnation on.
    if (item.is_confirmed_)
        balancer_.reset_sequence(item.info_.name_);
    group_.enqueue(pool::put_worker{item.info_, item.is_confirmed_},
                   [this, item](commit_result end, pool::pool_reply reply) {
                       bool is_registered = end == commit_result::committed &&
                                            reply == pool::pool_reply::applied;
                       if (!is_registered) {
                           give_up(item);
                           return;
                       }
                       // Runs while the entry is applied, before the owner is
                       // notified.
                       instant now = steady_now();
                       owner_.state_changed();
                       owner_.add_worker(item.info_.name_, now);
                       owner_.record_announcement(
                           item.info_.name_, item.info_.incarnation_,
                           item.clock_ms_, now, item.cold_remaining_);
                       item.on_response_(item.done_);
                   });
}

void worker_service::complete_registrations(bool owns_pool, instant now)
{
    // Predecessors end with a change of the workers.
    std::uint64_t revision = state().workers_revision();
    bool has_timed_out = std::any_of(
        registrations_.begin(), registrations_.end(), [now](const auto& item) {
            return now - item.second.since_ > registration_timeout;
        });
    bool is_due =
        !owns_pool || has_timed_out || revision != seen_workers_revision_;
    if (registrations_.empty() || !is_due)
        return;
    seen_workers_revision_ = revision;
    auto pending = std::exchange(registrations_, {});
    for (auto& [name, item] : pending) {
        if (!owns_pool || now - item.since_ > registration_timeout)
            give_up(item);
        else if (item.is_confirmed_ && state().replaced_by(item.info_).empty())
            commit_worker(item);
        else
            registrations_.emplace(name, std::move(item));
    }
}

void worker_service::receive_relayed(const relayed_announcements& item,
                                     instant now)
{
    if (!replica_.is_leader())
        return;
    for (const relayed_announcement& announcement : item.announcements_)
        owner_.record_announcement(
            announcement.worker_, announcement.incarnation_,
            announcement.clock_ms_, now, announcement.cold_remaining_);
}

void worker_service::remove(const worker_name& worker, std::int64_t incarnation,
                            const response_handler& on_response)
{
    if (!replica_.is_leader() || !owner_.is_active()) {
        on_response(redirect_to_leader_());
        return;
    }
    auto found = state().workers().find(worker);
    bool is_known = found != state().workers().end();
    if (is_known && incarnation == 0)
        incarnation = found->second.info_.incarnation_;
    if (!is_known || found->second.info_.incarnation_ != incarnation) {
        on_response({control_outcome::done, {}, {}});
        return;
    }
    // Workers drain before they leave; one that does not has not said this.
    bool is_draining = found->second.info_.is_draining_;
    log_.event(
        is_draining ? "Worker is being removed."
                    : "Removal of a worker that does not drain refused.",
        {{"worker", worker.str()}, {"life", std::to_string(incarnation)}});
    if (!is_draining) {
        metrics_.count("removals_refused");
        on_response({control_outcome::refused, {}, {}});
        return;
    }
    // The worker exits on the response, and ends of runs that have not been
    // read by then are lost with it.
    if (!owner_.retire_worker(worker, incarnation, steady_now())) {
        on_response(redirect_to_leader_());
        return;
    }
    pending_removals_[{worker, incarnation}].push_back(on_response);
    on_owner_work_();
}

void worker_service::complete_removals(bool owns_pool)
{
    auto removals = std::move(pending_removals_);
    pending_removals_.clear();
    for (auto& [key, handlers] : removals) {
        const auto& [worker, incarnation] = key;
        auto found = state().workers().find(worker);
        bool has_ended = found == state().workers().end() ||
                         found->second.info_.incarnation_ != incarnation;
        bool may_leave =
            has_ended ||
            (owns_pool && owner_.may_leave(worker, incarnation, steady_now()));
        if (!may_leave && owns_pool) {
            pending_removals_.emplace(key, std::move(handlers));
            continue;
        }
        control_response done{control_outcome::done, {}, {}};
        for (const response_handler& handler : handlers)
            handler(may_leave ? done : redirect_to_leader_());
    }
}

} // namespace dandelioncrank::control
