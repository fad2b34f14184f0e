#pragma once

#include "dandelioncrank/dissemination/disseminator.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/scheduling/zone_scheduler.hpp"
#include "peer_directory.hpp"
#include "state_client.hpp"
#include "state_replica.hpp"

#include <QObject>

#include <map>
#include <memory>
#include <set>

namespace dandelioncrank {

/// Runs the scheduler of this host's zone while this host owns the zone.
///
/// Ownership is a record with an epoch in the replicated state. A host acquires
/// it when no live host of the zone announces ownership, and releases it when
/// another host announces a higher epoch.
class zone_service : public QObject
{
  public:
    zone_service(const node_settings& settings, peer_directory& peers,
                 disseminator& gossip, state_client& state,
                 state_replica* voter, metric_registry& metrics);
    ~zone_service() override;

    void configure(const configuration& rules);
    void tick(instant now);

    /// Epoch of the ownership of this host; 0 if it does not own the zone.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /// Owner of the zone according to gossip; empty if unknown.
    [[nodiscard]] host_name owner() const;
    /// Null unless this host owns the zone and has recovered its jobs.
    [[nodiscard]] zone_scheduler* scheduler() { return scheduler_.get(); }

    using record_handler = std::function<void(command_status, job_record)>;
    /// Commits the record of a new job, then passes it to the scheduler.
    void submit(const job_spec& spec, record_handler on_record);
    bool cancel(const job_id& id);

    using command_handler = std::function<void(std::vector<worker_command>)>;
    /// Handles the report of a worker (long poll): responds as soon as there
    /// are commands, or without any when the wait has elapsed.
    void report(const worker_report& reported, duration wait,
                command_handler on_commands);

    /// Releases the zone for good, as part of the shutdown.
    void stop();

    std::function<void()> on_ownership_change_;

  private:
    struct pending_poll
    {
        std::string incarnation_;
        instant deadline_;
        command_handler on_commands_;
    };

    void consider_acquiring(instant now);
    void start_ownership(const zone_result& result);
    void fetch_jobs();
    void start_scheduler(const std::vector<job_record>& records);
    void release_ownership(const std::string& reason);
    void process_event(const scheduling_event& event);
    void persist_record(const job_record& record);
    void write_record(const job_id& id);
    void record_start(const gang_key& gang);
    void complete_poll(const worker_name& worker);
    void complete_expired_polls(instant now);

    component_logger log_{"scheduler"};
    host_name self_;
    zone_name zone_;
    bool enabled_;
    duration lease_;
    std::vector<peer_setting> hosts_;
    peer_directory& peers_;
    disseminator& gossip_;
    state_client& state_;
    state_replica* voter_;
    metric_registry& metrics_;
    configuration rules_;
    std::uint64_t nonce_;
    std::uint64_t epoch_ = 0;
    bool acquiring_ = false;
    bool stopping_ = false;
    instant started_at_;
    instant unowned_since_;
    std::unique_ptr<zone_scheduler> scheduler_;
    std::map<job_id, job_record> dirty_records_;
    std::set<job_id> writing_;
    std::map<worker_name, pending_poll> polls_;
    instant ticked_at_{};
};

} // namespace dandelioncrank
