#include "zone_service.hpp"

#include "dandelioncrank/core/overloaded.hpp"

#include <QRandomGenerator>
#include <QTimer>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 100ms;
// Time without a known owner before another host acquires the zone.
constexpr duration unowned_timeout = 2s;
constexpr duration write_timeout = 10s;
constexpr auto write_retry_interval = 200ms;
constexpr auto fetch_retry_interval = 200ms;
constexpr duration submit_timeout = 5s;

} // namespace

zone_service::zone_service(const node_settings& settings, peer_directory& peers,
                           disseminator& gossip, state_client& state,
                           state_replica* voter, metric_registry& metrics)
    : self_(settings.host_), zone_(settings.zone_),
      enabled_(settings.is_scheduler_), lease_(settings.lease_),
      hosts_(settings.hosts_), peers_(peers), gossip_(gossip), state_(state),
      voter_(voter), metrics_(metrics),
      nonce_(QRandomGenerator::global()->generate64() >> 1),
      started_at_(steady_now()), unowned_since_(started_at_)
{
}

zone_service::~zone_service() = default;

void zone_service::configure(const configuration& rules)
{
    rules_ = rules;
    if (scheduler_)
        scheduler_->configure(rules_, steady_now());
}

host_name zone_service::owner() const
{
    host_name best = epoch_ > 0 ? self_ : host_name();
    std::uint64_t highest = epoch_;
    for (const host_status& host : gossip_.live_hosts()) {
        if (host.zone_ == zone_ && host.zone_epoch_ > highest) {
            highest = host.zone_epoch_;
            best = host.name_;
        }
    }
    return best;
}

// --- Ownership

void zone_service::tick(instant now)
{
    complete_expired_polls(now);
    if (now - ticked_at_ < tick_interval)
        return;
    ticked_at_ = now;
    host_name owner = this->owner();
    if (epoch_ > 0 && owner != self_)
        release_ownership("host '" + owner.str() +
                          "' owns it with a newer epoch");
    if (!owner.empty())
        unowned_since_ = now;
    if (enabled_ && !stopping_ && !acquiring_ && epoch_ == 0)
        consider_acquiring(now);
    if (scheduler_)
        process_event(scheduler_ticked{});
}

// The first live scheduler host of the zone in --hosts acquires the zone, so
// that hosts do not compete for it.
void zone_service::consider_acquiring(instant now)
{
    if (now - unowned_since_ < unowned_timeout || rules_.teams_.empty())
        return;
    for (const peer_setting& item : hosts_) {
        if (item.zone_ != zone_)
            continue;
        if (item.name_ == self_)
            break;
        for (const host_status& host : gossip_.live_hosts()) {
            bool has_precedence = host.name_ == item.name_ &&
                                  host.is_scheduler_ && !host.leaving_;
            if (has_precedence)
                return;
        }
    }
    acquiring_ = true;
    state_.execute(acquire_zone{zone_, self_, nonce_}, write_timeout,
                   [this](command_outcome outcome) {
                       acquiring_ = false;
                       if (outcome.status_ == command_status::committed)
                           start_ownership(
                               std::get<zone_result>(outcome.reply_));
                   });
}

void zone_service::start_ownership(const zone_result& result)
{
    if (result.owner_ != self_ || stopping_)
        return;
    epoch_ = result.epoch_;
    log_.info("Acquired zone '" + zone_.str() + "' with epoch " +
              std::to_string(epoch_) + ".");
    if (on_ownership_change_)
        on_ownership_change_();
    fetch_jobs();
}

// Reads the records from a voter that has applied the ownership of this host,
// so that no write of an earlier owner is missing.
void zone_service::fetch_jobs()
{
    std::uint64_t epoch = epoch_;
    auto retry = [this, epoch] {
        QTimer::singleShot(fetch_retry_interval, this, [this, epoch] {
            if (epoch_ == epoch)
                fetch_jobs();
        });
    };
    state_.execute(
        read_barrier{}, write_timeout,
        [this, epoch, retry](command_outcome outcome) {
            if (epoch_ != epoch)
                return;
            if (outcome.status_ != command_status::committed) {
                retry();
                return;
            }
            auto unfinished_jobs = [this](const replicated_state& state) {
                std::vector<job_record> records;
                for (const auto& [id, job] : state.jobs()) {
                    if (job.zone_ == zone_ && !is_final(job.record_.state_))
                        records.push_back(job.record_);
                }
                return records;
            };
            bool is_local = voter_ != nullptr &&
                            voter_->state().zones().contains(zone_) &&
                            voter_->state().zones().at(zone_).epoch_ == epoch;
            if (is_local) {
                start_scheduler(unfinished_jobs(voter_->state()));
                return;
            }
            std::vector<host_name> voters = peers_.voters();
            host_name target = voters[QRandomGenerator::global()->bounded(
                static_cast<int>(voters.size()))];
            peers_.call<jobs_response>(
                target, jobs_request{zone_}, 3s,
                [this, epoch, retry](std::optional<jobs_response> response) {
                    if (epoch_ != epoch)
                        return;
                    if (response && response->is_authoritative_)
                        start_scheduler(response->records_);
                    else
                        retry();
                });
        });
}

void zone_service::start_scheduler(const std::vector<job_record>& records)
{
    if (scheduler_)
        return;
    scheduler_options options;
    options.zone_ = zone_;
    options.epoch_ = epoch_;
    options.lease_ = lease_;
    // No tasks can be running under the first owner of a zone.
    options.wait_for_reports_ = epoch_ > 1 || !records.empty();
    scheduler_ = std::make_unique<zone_scheduler>(options);
    scheduler_->configure(rules_, steady_now());
    for (const job_record& record : records)
        process_event(job_recovered{record});
    log_.info("Started the scheduler with " + std::to_string(records.size()) +
              " recovered jobs.");
}

void zone_service::release_ownership(const std::string& reason)
{
    log_.warning("Released zone '" + zone_.str() + "': " + reason + ".");
    epoch_ = 0;
    scheduler_.reset();
    dirty_records_.clear();
    auto polls = std::exchange(polls_, {});
    for (auto& entry : polls)
        entry.second.on_commands_({});
    if (on_ownership_change_)
        on_ownership_change_();
}

void zone_service::stop()
{
    stopping_ = true;
    if (epoch_ > 0)
        release_ownership("this host is stopping");
}

// --- Jobs

void zone_service::submit(const job_spec& spec, record_handler on_record)
{
    job_record record;
    record.spec_ = spec;
    put_job change{zone_, record, epoch_, true};
    std::uint64_t epoch = epoch_;
    state_.execute(change, submit_timeout,
                   [this, spec, epoch, on_record](command_outcome outcome) {
                       if (outcome.status_ != command_status::committed) {
                           on_record(outcome.status_, {});
                           return;
                       }
                       auto result = std::get<job_result>(outcome.reply_);
                       bool is_active =
                           result.accepted_ || !is_final(result.record_.state_);
                       if (is_active && scheduler_ && epoch_ == epoch)
                           process_event(job_submitted{spec});
                       job_record latest = result.record_;
                       auto newer = dirty_records_.find(spec.id_);
                       if (newer != dirty_records_.end())
                           latest = newer->second;
                       on_record(command_status::committed, latest);
                   });
}

bool zone_service::cancel(const job_id& id)
{
    bool known = scheduler_ && scheduler_->job(id, steady_now());
    if (known)
        process_event(job_cancelled{id});
    return known;
}

void zone_service::process_event(const scheduling_event& event)
{
    scheduling_actions actions = scheduler_->handle(event, steady_now());
    std::set<worker_name> workers_with_commands;
    for (const scheduling_action& action : actions) {
        std::visit(overloaded{[&](const command_issued& item) {
                                  metrics_.count("worker_commands");
                                  workers_with_commands.insert(item.worker_);
                              },
                              [&](const job_changed& item) {
                                  persist_record(item.record_);
                              },
                              [&](const start_record_requested& item) {
                                  record_start(item.gang_);
                              },
                              [&](const alarm_raised& item) {
                                  metrics_.count("scheduler_alarms");
                                  log_.warning(item.message_);
                              }},
                   action);
    }
    for (const worker_name& worker : workers_with_commands)
        complete_poll(worker);
}

// At most one write per job is in flight; a newer state replaces the one that
// is waiting.
void zone_service::persist_record(const job_record& record)
{
    const job_id& id = record.spec_.id_;
    dirty_records_[id] = record;
    metrics_.count("job_changes");
    if (!writing_.contains(id))
        write_record(id);
}

void zone_service::write_record(const job_id& id)
{
    auto found = dirty_records_.find(id);
    if (found == dirty_records_.end()) {
        writing_.erase(id);
        return;
    }
    writing_.insert(id);
    job_record record = found->second;
    state_.execute(put_job{zone_, record, epoch_, false}, write_timeout,
                   [this, id, record](command_outcome outcome) {
                       auto newest = dirty_records_.find(id);
                       bool same = newest != dirty_records_.end() &&
                                   newest->second.state_ == record.state_ &&
                                   newest->second.attempt_ == record.attempt_;
                       bool done = outcome.status_ == command_status::committed;
                       if (done && same)
                           dirty_records_.erase(newest);
                       auto delay = done ? 0ms : write_retry_interval;
                       QTimer::singleShot(delay, this,
                                          [this, id] { write_record(id); });
                   });
}

// Records that the job is running before the first start command is sent.
void zone_service::record_start(const gang_key& gang)
{
    auto view = scheduler_->job(gang.job_, steady_now());
    if (!view)
        return;
    job_record record = view->record_;
    record.state_ = job_state::running;
    std::uint64_t epoch = epoch_;
    state_.execute(
        put_job{zone_, record, epoch, false}, write_timeout,
        [this, gang, epoch](command_outcome outcome) {
            bool current = epoch_ == epoch && scheduler_ != nullptr;
            if (!current)
                return;
            bool recorded = outcome.status_ == command_status::committed &&
                            std::get<job_result>(outcome.reply_).accepted_;
            if (recorded)
                process_event(start_recorded{gang});
            else if (outcome.status_ != command_status::committed)
                QTimer::singleShot(write_retry_interval, this, [this, gang] {
                    if (scheduler_)
                        record_start(gang);
                });
        });
}

// --- Workers

void zone_service::report(const worker_report& reported, duration wait,
                          command_handler on_commands)
{
    const worker_name& worker = reported.info_.name_;
    // A new poll completes the earlier one of the same worker.
    complete_poll(worker);
    metrics_.count("worker_reports");
    process_event(worker_reported{reported});
    if (!scheduler_) {
        on_commands({});
        return;
    }
    const auto& commands = scheduler_->outbox(worker, reported.incarnation_);
    if (!commands.empty() || wait <= duration::zero()) {
        on_commands({commands.begin(), commands.end()});
        return;
    }
    polls_[worker] = {reported.incarnation_, steady_now() + wait,
                      std::move(on_commands)};
}

void zone_service::complete_poll(const worker_name& worker)
{
    auto found = polls_.find(worker);
    if (found == polls_.end())
        return;
    pending_poll poll = std::move(found->second);
    polls_.erase(found);
    const auto& commands = scheduler_->outbox(worker, poll.incarnation_);
    poll.on_commands_({commands.begin(), commands.end()});
}

void zone_service::complete_expired_polls(instant now)
{
    std::vector<worker_name> late;
    for (const auto& [worker, poll] : polls_) {
        if (poll.deadline_ <= now)
            late.push_back(worker);
    }
    for (const worker_name& worker : late)
        complete_poll(worker);
}

} // namespace dandelioncrank
