#pragma once

#include "dandelioncrank/manifest/configuration.hpp"
#include "dandelioncrank/routing/endpoint_health.hpp"
#include "dandelioncrank/routing/fair_queue.hpp"
#include "dandelioncrank/routing/retry_budget.hpp"
#include "dandelioncrank/routing/run_time_model.hpp"

#include <map>
#include <random>
#include <vector>

namespace dandelioncrank {

/// Queue discipline. first_in_first_out is the baseline for benchmarks.
enum class queue_discipline
{
    protect_short_work,
    first_in_first_out
};

/// Current state of one service, for the state dump.
struct service_summary
{
    service_name service_;
    std::size_t endpoints_ = 0;
    std::size_t held_back_ = 0;
    std::size_t waiting_ = 0;
    std::size_t in_flight_ = 0;
    std::size_t slots_ = 0;
};

/// Assigns requests to the slots of one service's endpoints in one zone.
///
/// Only one dispatcher grants the slots of a service in a zone, so an endpoint
/// never has more requests in flight than slots, regardless of the number of
/// entry hosts.
class service_dispatcher
{
  public:
    using actions = std::vector<routing_action>;
    using team_table = std::map<team_name, team_rule>;

    service_dispatcher(service_rule rule, queue_discipline discipline,
                       std::uint64_t seed);

    void set_rule(service_rule rule);

    /// Grants no slots before the given time, so that entry hosts can report
    /// the slots that a previous dispatcher granted to them.
    void hold_grants_until(instant when) { grants_held_until_ = when; }

    void submit(slot_request request, const team_table& teams, instant now,
                actions& out);
    void withdraw(const slot_request_id& id, instant now, actions& out);
    void return_slot(const slot_returned& event, instant now, actions& out);
    void report_slot(const slot_reported& event, instant now);
    void announce(const endpoint_info& info, instant now, actions& out);
    void remove(const endpoint_name& name, instant now, actions& out);
    void handle_host_loss(const host_name& host, instant now);
    void tick(instant now, actions& out);

    [[nodiscard]] bool has_serving_endpoint() const;
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] service_summary summary(instant now) const;

  private:
    struct endpoint_state
    {
        endpoint_info info_;
        endpoint_health health_;
        int in_flight_ = 0;
        instant expires_;
        bool removed_ = false;
    };

    struct slot_use
    {
        endpoint_name endpoint_;
        std::string route_;
        work_class class_ = work_class::short_work;
        instant since_;
        bool overdue_counted_ = false;
        /// When the slot is reclaimed; set if its entry host was lost.
        std::optional<instant> reclaim_at_;
    };

    [[nodiscard]] work_class class_of(const slot_request& request) const;
    [[nodiscard]] int usable_slots(instant now) const;
    [[nodiscard]] int long_slot_limit(instant now) const;
    [[nodiscard]] duration estimate_wait(const slot_request& request,
                                         int weight, instant now) const;
    /// Whether this endpoint may be held back: the number of others that are
    /// held back is below the limit.
    [[nodiscard]] bool may_hold_back(const endpoint_name& name,
                                     instant now) const;
    [[nodiscard]] std::optional<refusal_reason>
    check_admission(const slot_request& request, const team_rule& team,
                    instant now) const;
    [[nodiscard]] endpoint_state* choose_endpoint(const slot_request& request,
                                                  instant now);
    [[nodiscard]] std::optional<work_class> next_class(instant now) const;
    void refuse(const slot_request& request, refusal_reason reason, instant now,
                actions& out) const;
    void grant_waiting(instant now, actions& out);
    bool grant(queued_request& item, work_class which, instant now,
               actions& out);
    void release(const slot_request_id& id, slot_outcome outcome,
                 duration run_time, instant now, actions& out);
    void erase_if_removed(const endpoint_name& name);
    void refuse_expired(instant now, actions& out);
    void check_overdue(instant now);
    [[nodiscard]] double slowness_of(const std::string& route,
                                     duration run_time) const;
    void check_invariants() const;

    fair_queue& queue(work_class which);
    [[nodiscard]] const fair_queue& queue(work_class which) const;

    service_rule rule_;
    queue_discipline discipline_;
    std::mt19937_64 random_;
    std::map<endpoint_name, endpoint_state> endpoints_;
    std::map<slot_request_id, slot_use> slots_in_use_;
    fair_queue short_queue_;
    fair_queue long_queue_;
    run_time_model model_;
    retry_budget retries_;
    instant grants_held_until_{};
    int long_in_flight_ = 0;
    /// Mean logarithm of the ratio of run times to expected run times.
    double pool_slowness_ = 0;
    /// Smoothed share of the slots in use by short work.
    double short_load_ = 0;
    instant load_measured_at_{};
};

} // namespace dandelioncrank
