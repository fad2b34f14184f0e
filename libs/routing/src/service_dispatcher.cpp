#include "dandelioncrank/routing/service_dispatcher.hpp"

#include "dandelioncrank/core/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// Maximum share of a service's endpoints that may be held back at once.
constexpr double max_held_back_share = 0.3;
// Bounds of the share of slots that is reserved for short work.
constexpr double min_short_share = 0.1;
constexpr double max_short_share = 0.6;
// Slots reserved for short work, relative to its recent use.
constexpr double short_headroom = 1.15;
constexpr double load_smoothing_per_second = 0.5;
// Share of slots below which long work takes precedence over short work.
constexpr double min_long_share = 0.25;
// Fraction of the queue time that an estimated wait may use; the rest allows
// for estimation errors.
constexpr double admission_margin = 0.8;
constexpr double overdue_factor = 8.0;
constexpr duration min_overdue_age = 50ms;
constexpr double pool_slowness_smoothing = 0.01;
// Logarithm of 4: a timed-out request that ran four times longer than expected
// is considered hung.
constexpr double hung_log_ratio = 1.39;
constexpr duration lost_host_grace = 5s;
constexpr duration min_retry_after = 100ms;
constexpr std::size_t max_skipped_requests = 8;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration scale(duration value, double factor)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(value.count()) * factor));
}

} // namespace

service_dispatcher::service_dispatcher(service_rule rule,
                                       queue_discipline discipline,
                                       std::uint64_t seed)
    : rule_(std::move(rule)), discipline_(discipline), random_(seed),
      retries_(rule_.retry_percent_)
{
}

void service_dispatcher::set_rule(service_rule rule)
{
    rule_ = std::move(rule);
    retries_.set_percent(rule_.retry_percent_);
}

fair_queue& service_dispatcher::queue(work_class which)
{
    return which == work_class::short_work ? short_queue_ : long_queue_;
}

const fair_queue& service_dispatcher::queue(work_class which) const
{
    return which == work_class::short_work ? short_queue_ : long_queue_;
}

work_class service_dispatcher::class_of(const slot_request& request) const
{
    if (discipline_ == queue_discipline::first_in_first_out)
        return work_class::short_work;
    return model_.classify(request.route_);
}

int service_dispatcher::usable_slots(instant now) const
{
    int total = 0;
    for (const auto& [name, item] : endpoints_) {
        if (!item.info_.leaving_ && !item.removed_)
            total += item.health_.allowed_slots(now);
    }
    return total;
}

int service_dispatcher::long_slot_limit(instant now) const
{
    int total = usable_slots(now);
    if (discipline_ == queue_discipline::first_in_first_out)
        return total;
    double reserved_share = std::clamp(short_load_ * short_headroom,
                                       min_short_share, max_short_share);
    int limit = total - static_cast<int>(std::lround(total * reserved_share));
    return std::max(1, limit);
}

duration service_dispatcher::estimate_wait(const slot_request& request,
                                           int weight, instant now) const
{
    work_class which = class_of(request);
    int total = usable_slots(now);
    int usable = which == work_class::long_work
                     ? long_slot_limit(now)
                     : total - std::min(long_in_flight_, total - 1);
    if (usable <= 0 || !model_.has_samples())
        return duration::zero();
    int in_use = static_cast<int>(slots_in_use_.size());
    bool slot_free = which == work_class::long_work
                         ? long_in_flight_ < usable && in_use < total
                         : in_use < total;
    double ahead = queue(which).requests_ahead(request.team_, weight);
    if (slot_free && ahead < 1)
        return duration::zero();
    return scale(model_.expected(which), (ahead + 1) / usable);
}

bool service_dispatcher::may_hold_back(const endpoint_name& name,
                                       instant now) const
{
    std::size_t held_back = 0;
    for (const auto& [other, item] : endpoints_)
        held_back += other != name && item.health_.is_held_back(now);
    auto max_count = std::max<std::size_t>(
        1, static_cast<std::size_t>(max_held_back_share *
                                    static_cast<double>(endpoints_.size())));
    return endpoints_.size() > 1 && held_back < max_count;
}

std::optional<refusal_reason>
service_dispatcher::check_admission(const slot_request& request,
                                    const team_rule& team, instant now) const
{
    if (request.deadline_ <= now)
        return refusal_reason::deadline_passed;
    if (!has_serving_endpoint())
        return refusal_reason::no_endpoint;
    std::size_t waiting = short_queue_.size() + long_queue_.size();
    if (waiting >= static_cast<std::size_t>(rule_.queue_limit_))
        return refusal_reason::queue_full;
    std::size_t own = short_queue_.size_for_team(request.team_) +
                      long_queue_.size_for_team(request.team_);
    if (own >= static_cast<std::size_t>(team.queued_requests_))
        return refusal_reason::team_queue_full;
    duration wait = estimate_wait(request, team.weight_, now);
    if (wait > scale(rule_.queue_time_, admission_margin))
        return refusal_reason::queue_full;
    duration run = model_.has_samples() ? model_.expected(request.route_)
                                        : duration::zero();
    if (now + wait + run > request.deadline_)
        return refusal_reason::would_miss_deadline;
    return std::nullopt;
}

void service_dispatcher::submit(slot_request request, const team_table& teams,
                                instant now, actions& out)
{
    static const team_rule default_rule;
    auto found = teams.find(request.team_);
    const team_rule& team = found == teams.end() ? default_rule : found->second;
    auto refusal = check_admission(request, team, now);
    if (!refusal && request.attempt_ > 1 && !retries_.try_retry())
        refusal = refusal_reason::retry_budget_spent;
    if (refusal) {
        refuse(request, *refusal, now, out);
        return;
    }
    if (request.attempt_ <= 1)
        retries_.count_first_attempt();
    work_class which = class_of(request);
    queue(which).push({std::move(request), now}, team.weight_);
    grant_waiting(now, out);
}

void service_dispatcher::refuse(const slot_request& request,
                                refusal_reason reason, instant now,
                                actions& out) const
{
    duration wait = estimate_wait(request, 1, now);
    duration after = std::max(min_retry_after, wait);
    out.push_back(slot_refused{request.id_, reason, after});
}

void service_dispatcher::withdraw(const slot_request_id& id, instant now,
                                  actions& out)
{
    if (short_queue_.remove(id) || long_queue_.remove(id))
        return;
    // The slot was granted while the withdrawal was on its way.
    if (slots_in_use_.contains(id))
        release(id, slot_outcome::unused, duration::zero(), now, out);
}

std::optional<work_class> service_dispatcher::next_class(instant now) const
{
    if (short_queue_.empty() && long_queue_.empty())
        return std::nullopt;
    if (long_queue_.empty())
        return work_class::short_work;
    int total = usable_slots(now);
    bool long_fits = long_in_flight_ < long_slot_limit(now);
    bool long_below_minimum =
        long_in_flight_ < static_cast<int>(total * min_long_share);
    if (short_queue_.empty())
        return long_fits ? std::optional(work_class::long_work) : std::nullopt;
    return long_below_minimum ? work_class::long_work : work_class::short_work;
}

void service_dispatcher::grant_waiting(instant now, actions& out)
{
    if (now < grants_held_until_)
        return;
    // Requests whose eligible endpoints have no free slot. They must not block
    // the requests queued behind them.
    std::vector<std::pair<queued_request, work_class>> skipped;
    while (auto which = next_class(now)) {
        duration cost = std::max(duration(1), model_.expected(*which));
        auto item = queue(*which).pop(cost);
        if (grant(*item, *which, now, out))
            continue;
        bool has_exclusions = !item->request_.excluded_endpoints_.empty();
        skipped.emplace_back(std::move(*item), *which);
        if (!has_exclusions || skipped.size() >= max_skipped_requests)
            break;
    }
    while (!skipped.empty()) {
        auto& [item, which] = skipped.back();
        duration cost = std::max(duration(1), model_.expected(which));
        queue(which).push_front(std::move(item), cost);
        skipped.pop_back();
    }
    check_invariants();
}

service_dispatcher::endpoint_state*
service_dispatcher::choose_endpoint(const slot_request& request, instant now)
{
    endpoint_state* best = nullptr;
    double best_load = 0;
    std::uint64_t ties = 0;
    for (auto& [name, item] : endpoints_) {
        int allowed = item.health_.allowed_slots(now);
        bool usable = !item.info_.leaving_ && !item.removed_ &&
                      item.in_flight_ < allowed && item.expires_ > now;
        const auto& excluded = request.excluded_endpoints_;
        if (!usable ||
            std::find(excluded.begin(), excluded.end(), name) != excluded.end())
            continue;
        double load = static_cast<double>(item.in_flight_) / allowed;
        if (best != nullptr && load > best_load)
            continue;
        if (best != nullptr && load == best_load && random_() % ++ties != 0)
            continue;
        if (best == nullptr || load < best_load)
            ties = 1;
        best = &item;
        best_load = load;
    }
    return best;
}

bool service_dispatcher::grant(queued_request& item, work_class which,
                               instant now, actions& out)
{
    const slot_request& request = item.request_;
    endpoint_state* chosen = choose_endpoint(request, now);
    if (chosen == nullptr)
        return false;
    ++chosen->in_flight_;
    require_invariant(
        chosen->in_flight_ <= chosen->info_.slots_,
        "requests in flight on an endpoint do not exceed its slots");
    long_in_flight_ += which == work_class::long_work;
    slot_use use;
    use.endpoint_ = chosen->info_.name_;
    use.route_ = request.route_;
    use.class_ = which;
    use.since_ = now;
    bool inserted = slots_in_use_.emplace(request.id_, std::move(use)).second;
    require_invariant(inserted, "a slot request holds at most one slot");
    out.push_back(slot_granted{request.id_, chosen->info_.name_,
                               chosen->info_.address_, chosen->info_.slots_,
                               chosen->info_.connections_});
    return true;
}

void service_dispatcher::return_slot(const slot_returned& event, instant now,
                                     actions& out)
{
    release(event.id_, event.outcome_, event.run_time_, now, out);
}

void service_dispatcher::release(const slot_request_id& id,
                                 slot_outcome outcome, duration run_time,
                                 instant now, actions& out)
{
    auto found = slots_in_use_.find(id);
    if (found == slots_in_use_.end())
        return;
    slot_use use = std::move(found->second);
    slots_in_use_.erase(found);
    long_in_flight_ -= use.class_ == work_class::long_work;
    auto found_endpoint = endpoints_.find(use.endpoint_);
    if (found_endpoint != endpoints_.end()) {
        endpoint_state& item = found_endpoint->second;
        --item.in_flight_;
        double slowness = slowness_of(use.route_, run_time);
        if (outcome == slot_outcome::timed_out)
            outcome = !model_.has_samples() ||
                              slowness - pool_slowness_ >= hung_log_ratio
                          ? slot_outcome::failed
                          : slot_outcome::unused;
        if (outcome == slot_outcome::succeeded)
            pool_slowness_ +=
                pool_slowness_smoothing * (slowness - pool_slowness_);
        duration ejected =
            item.health_.record(outcome, slowness, pool_slowness_,
                                may_hold_back(use.endpoint_, now), now);
        if (ejected > duration::zero())
            out.push_back(endpoint_ejected{use.endpoint_, ejected});
        erase_if_removed(use.endpoint_);
    }
    if (outcome == slot_outcome::succeeded)
        model_.record(use.route_, run_time);
    grant_waiting(now, out);
}

void service_dispatcher::report_slot(const slot_reported& event, instant now)
{
    if (slots_in_use_.contains(event.id_))
        return;
    auto found = endpoints_.find(event.endpoint_);
    if (found == endpoints_.end())
        return;
    slot_use use;
    use.endpoint_ = event.endpoint_;
    use.route_ = event.route_;
    use.since_ = now - event.age_;
    slots_in_use_.emplace(event.id_, std::move(use));
    ++found->second.in_flight_;
}

void service_dispatcher::announce(const endpoint_info& info, instant now,
                                  actions& out)
{
    auto [found, inserted] = endpoints_.try_emplace(
        info.name_, endpoint_state{info, endpoint_health(info.slots_), 0,
                                   now + info.time_to_live_, false});
    endpoint_state& item = found->second;
    if (!inserted) {
        // A new address means a restart, which resets the health record.
        if (item.info_.address_ != info.address_)
            item.health_ = endpoint_health(info.slots_);
        item.health_.set_slots(info.slots_);
        item.info_ = info;
        item.expires_ = now + info.time_to_live_;
        item.removed_ = false;
    }
    grant_waiting(now, out);
}

void service_dispatcher::remove(const endpoint_name& name, instant now,
                                actions& out)
{
    auto found = endpoints_.find(name);
    if (found == endpoints_.end())
        return;
    found->second.removed_ = true;
    erase_if_removed(name);
    if (!has_serving_endpoint())
        refuse_expired(now, out);
}

void service_dispatcher::erase_if_removed(const endpoint_name& name)
{
    auto found = endpoints_.find(name);
    bool unused = found != endpoints_.end() && found->second.removed_ &&
                  found->second.in_flight_ == 0;
    if (unused)
        endpoints_.erase(found);
}

void service_dispatcher::handle_host_loss(const host_name& host, instant now)
{
    for (auto& [id, use] : slots_in_use_) {
        if (id.host_ == host && !use.reclaim_at_)
            use.reclaim_at_ = now + lost_host_grace;
    }
    // The host cannot receive refusals, so its requests are just dropped.
    short_queue_.remove_host(host);
    long_queue_.remove_host(host);
}

void service_dispatcher::refuse_expired(instant now, actions& out)
{
    bool serving = has_serving_endpoint();
    instant limit = serving ? now : instant::max();
    auto reason =
        serving ? refusal_reason::deadline_passed : refusal_reason::no_endpoint;
    for (work_class which : {work_class::short_work, work_class::long_work}) {
        for (const queued_request& item : queue(which).remove_expired(limit))
            refuse(item.request_, reason, now, out);
    }
}

double service_dispatcher::slowness_of(const std::string& route,
                                       duration run_time) const
{
    if (!model_.has_samples())
        return 0;
    double expected = seconds(model_.expected(route));
    return std::log(std::max(1e-6, seconds(run_time)) /
                    std::max(1e-6, expected));
}

void service_dispatcher::check_overdue(instant now)
{
    if (!model_.has_samples())
        return;
    for (auto& [id, use] : slots_in_use_) {
        duration expected = model_.expected(use.route_);
        duration age = now - use.since_;
        duration limit =
            std::max(min_overdue_age, scale(expected, overdue_factor));
        auto found_endpoint = endpoints_.find(use.endpoint_);
        if (use.overdue_counted_ || age < limit ||
            found_endpoint == endpoints_.end())
            continue;
        use.overdue_counted_ = true;
        found_endpoint->second.health_.record_overdue(
            slowness_of(use.route_, age), pool_slowness_,
            may_hold_back(use.endpoint_, now));
    }
}

void service_dispatcher::tick(instant now, actions& out)
{
    std::vector<endpoint_name> expired;
    for (auto& [name, item] : endpoints_) {
        if (item.expires_ <= now && !item.removed_)
            expired.push_back(name);
    }
    for (const endpoint_name& name : expired)
        remove(name, now, out);

    std::vector<slot_request_id> reclaimable;
    for (const auto& [id, use] : slots_in_use_) {
        if (use.reclaim_at_ && *use.reclaim_at_ <= now)
            reclaimable.push_back(id);
    }
    for (const slot_request_id& id : reclaimable)
        release(id, slot_outcome::unused, duration::zero(), now, out);

    check_overdue(now);
    refuse_expired(now, out);
    int total = std::max(1, usable_slots(now));
    double short_in_flight =
        static_cast<double>(slots_in_use_.size()) - long_in_flight_;
    double passed = std::min(1.0, seconds(now - load_measured_at_));
    load_measured_at_ = now;
    short_load_ += load_smoothing_per_second * passed *
                   (short_in_flight / total - short_load_);
    grant_waiting(now, out);
}

bool service_dispatcher::has_serving_endpoint() const
{
    return std::any_of(
        endpoints_.begin(), endpoints_.end(), [](const auto& item) {
            return !item.second.info_.leaving_ && !item.second.removed_;
        });
}

bool service_dispatcher::is_idle() const
{
    return slots_in_use_.empty() && short_queue_.empty() && long_queue_.empty();
}

service_summary service_dispatcher::summary(instant now) const
{
    service_summary result;
    result.service_ = rule_.name_;
    result.endpoints_ = endpoints_.size();
    for (const auto& item : endpoints_)
        result.held_back_ += item.second.health_.is_held_back(now);
    result.waiting_ = short_queue_.size() + long_queue_.size();
    result.in_flight_ = slots_in_use_.size();
    result.slots_ = static_cast<std::size_t>(usable_slots(now));
    return result;
}

// Also enabled in release builds: the cost is one pass over the endpoints.
void service_dispatcher::check_invariants() const
{
    std::size_t in_flight = 0;
    for (const auto& [name, item] : endpoints_) {
        require_invariant(item.in_flight_ >= 0, "no slot is returned twice");
        in_flight += static_cast<std::size_t>(item.in_flight_);
    }
    require_invariant(in_flight == slots_in_use_.size(),
                      "each slot in use belongs to one slot request");
}

} // namespace dandelioncrank
