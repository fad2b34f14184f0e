#include "zone_service.hpp"

#include "dandelioncrank/core/overloaded.hpp"

#include <QRandomGenerator>
#include <QTimer>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 100ms;
// Time without an owner before another host takes the zone.
constexpr duration unowned_time = 2s;
constexpr duration write_limit = 10s;
constexpr auto write_retry = 200ms;
constexpr auto fetch_retry = 200ms;
constexpr duration submit_limit = 5s;

} // namespace

zone_service::zone_service(const node_settings& settings, peer_directory& peers,
                           disseminator& gossip, state_client& state,
                           consensus_host* voter, metric_registry& metrics)
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
    answer_late_polls(now);
    if (now - ticked_at_ < tick_interval)
        return;
    ticked_at_ = now;
    host_name owner = this->owner();
    if (epoch_ > 0 && owner != self_)
        give_up("host '" + owner.str() + "' owns it under a newer epoch");
    if (!owner.empty())
        unowned_since_ = now;
    if (enabled_ && !stopping_ && !taking_ && epoch_ == 0)
        consider_taking(now);
    if (scheduler_)
        feed(scheduler_ticked{});
}

// The first live scheduler host of the zone, in the order of the settings.
void zone_service::consider_taking(instant now)
{
    if (now - unowned_since_ < unowned_time || rules_.teams_.empty())
        return;
    for (const peer_setting& item : hosts_) {
        if (item.zone_ != zone_)
            continue;
        if (item.name_ == self_)
            break;
        for (const host_status& host : gossip_.live_hosts()) {
            bool goes_first = host.name_ == item.name_ && host.is_scheduler_ &&
                              !host.leaving_;
            if (goes_first)
                return;
        }
    }
    taking_ = true;
    state_.run(acquire_zone{zone_, self_, nonce_}, write_limit,
               [this](command_outcome outcome) {
                   taking_ = false;
                   if (outcome.end_ == command_end::committed)
                       take_ownership(std::get<zone_result>(outcome.reply_));
               });
}

void zone_service::take_ownership(const zone_result& result)
{
    if (result.owner_ != self_ || stopping_)
        return;
    epoch_ = result.epoch_;
    log_.info("Owns zone '" + zone_.str() + "' under epoch " +
              std::to_string(epoch_) + ".");
    if (on_ownership_change_)
        on_ownership_change_();
    fetch_jobs();
}

// The records come from a voter that has applied this host's ownership, so
// nothing of an earlier owner can be missing.
void zone_service::fetch_jobs()
{
    std::uint64_t epoch = epoch_;
    auto retry = [this, epoch] {
        QTimer::singleShot(fetch_retry, this, [this, epoch] {
            if (epoch_ == epoch)
                fetch_jobs();
        });
    };
    state_.run(
        read_barrier{}, write_limit,
        [this, epoch, retry](command_outcome outcome) {
            if (epoch_ != epoch)
                return;
            if (outcome.end_ != command_end::committed) {
                retry();
                return;
            }
            auto known = [this](const replicated_state& state) {
                std::vector<job_record> records;
                for (const auto& [id, job] : state.jobs()) {
                    if (job.zone_ == zone_ && !is_final(job.record_.state_))
                        records.push_back(job.record_);
                }
                return records;
            };
            bool here = voter_ != nullptr &&
                        voter_->state().zones().contains(zone_) &&
                        voter_->state().zones().at(zone_).epoch_ == epoch;
            if (here) {
                start_scheduler(known(voter_->state()));
                return;
            }
            std::vector<host_name> voters = peers_.voters();
            host_name target = voters[QRandomGenerator::global()->bounded(
                static_cast<int>(voters.size()))];
            peers_.ask<jobs_answer>(
                target, jobs_request{zone_}, 3s,
                [this, epoch, retry](std::optional<jobs_answer> answer) {
                    if (epoch_ != epoch)
                        return;
                    if (answer && answer->known_)
                        start_scheduler(answer->records_);
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
    // The very first owner of a zone finds nobody's tasks.
    options.wait_for_reports_ = epoch_ > 1 || !records.empty();
    scheduler_ = std::make_unique<zone_scheduler>(options);
    scheduler_->configure(rules_, steady_now());
    for (const job_record& record : records)
        feed(job_recovered{record});
    log_.info("Schedules " + std::to_string(records.size()) +
              " recovered jobs.");
}

void zone_service::give_up(const std::string& reason)
{
    log_.warning("Gives zone '" + zone_.str() + "' up: " + reason + ".");
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
        give_up("this host is stopping");
}

// --- Jobs

void zone_service::submit(const job_spec& spec, record_handler on_record)
{
    job_record record;
    record.spec_ = spec;
    put_job change{zone_, record, epoch_, true};
    std::uint64_t epoch = epoch_;
    state_.run(change, submit_limit,
               [this, spec, epoch, on_record](command_outcome outcome) {
                   if (outcome.end_ != command_end::committed) {
                       on_record(outcome.end_, {});
                       return;
                   }
                   auto result = std::get<job_result>(outcome.reply_);
                   bool ours =
                       result.accepted_ || !is_final(result.record_.state_);
                   if (ours && scheduler_ && epoch_ == epoch)
                       feed(job_submitted{spec});
                   job_record now_known = result.record_;
                   auto newer = dirty_records_.find(spec.id_);
                   if (newer != dirty_records_.end())
                       now_known = newer->second;
                   on_record(command_end::committed, now_known);
               });
}

bool zone_service::cancel(const job_id& id)
{
    bool known = scheduler_ && scheduler_->job(id, steady_now());
    if (known)
        feed(job_cancelled{id});
    return known;
}

void zone_service::feed(const scheduling_event& event)
{
    scheduling_actions actions = scheduler_->handle(event, steady_now());
    std::set<worker_name> nudged;
    for (const scheduling_action& action : actions) {
        std::visit(overloaded{[&](const command_issued& item) {
                                  metrics_.count("worker_commands");
                                  nudged.insert(item.worker_);
                              },
                              [&](const job_changed& item) {
                                  keep_record(item.record_);
                              },
                              [&](const start_record_requested& item) {
                                  claim_start(item.gang_);
                              },
                              [&](const alarm_raised& item) {
                                  metrics_.count("scheduler_alarms");
                                  log_.warning(item.message_);
                              }},
                   action);
    }
    for (const worker_name& worker : nudged)
        answer_poll(worker);
}

// Each job has one write under way; a newer state replaces the one that
// waits behind it.
void zone_service::keep_record(const job_record& record)
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
    state_.run(put_job{zone_, record, epoch_, false}, write_limit,
               [this, id, record](command_outcome outcome) {
                   auto newest = dirty_records_.find(id);
                   bool same = newest != dirty_records_.end() &&
                               newest->second.state_ == record.state_ &&
                               newest->second.attempt_ == record.attempt_;
                   bool done = outcome.end_ == command_end::committed;
                   if (done && same)
                       dirty_records_.erase(newest);
                   auto delay = done ? 0ms : write_retry;
                   QTimer::singleShot(delay, this,
                                      [this, id] { write_record(id); });
               });
}

// The record says that the job runs before the first start goes out.
void zone_service::claim_start(const gang_key& gang)
{
    auto view = scheduler_->job(gang.job_, steady_now());
    if (!view)
        return;
    job_record record = view->record_;
    record.state_ = job_state::running;
    std::uint64_t epoch = epoch_;
    state_.run(put_job{zone_, record, epoch, false}, write_limit,
               [this, gang, epoch](command_outcome outcome) {
                   bool current = epoch_ == epoch && scheduler_ != nullptr;
                   if (!current)
                       return;
                   bool kept = outcome.end_ == command_end::committed &&
                               std::get<job_result>(outcome.reply_).accepted_;
                   if (kept)
                       feed(start_recorded{gang});
                   else if (outcome.end_ != command_end::committed)
                       QTimer::singleShot(write_retry, this, [this, gang] {
                           if (scheduler_)
                               claim_start(gang);
                       });
               });
}

// --- Workers

void zone_service::report(const worker_report& said, duration wait,
                          command_handler on_commands)
{
    const worker_name& worker = said.info_.name_;
    // Only the newest poll of a worker waits.
    answer_poll(worker);
    metrics_.count("worker_reports");
    feed(worker_reported{said});
    if (!scheduler_) {
        on_commands({});
        return;
    }
    const auto& commands = scheduler_->outbox(worker);
    if (!commands.empty() || wait <= duration::zero()) {
        on_commands({commands.begin(), commands.end()});
        return;
    }
    polls_[worker] = {++next_poll_, steady_now() + wait,
                      std::move(on_commands)};
}

void zone_service::answer_poll(const worker_name& worker)
{
    auto found = polls_.find(worker);
    if (found == polls_.end())
        return;
    command_handler handler = std::move(found->second.on_commands_);
    polls_.erase(found);
    const auto& commands = scheduler_->outbox(worker);
    handler({commands.begin(), commands.end()});
}

void zone_service::answer_late_polls(instant now)
{
    std::vector<worker_name> late;
    for (const auto& [worker, poll] : polls_) {
        if (poll.deadline_ <= now)
            late.push_back(worker);
    }
    for (const worker_name& worker : late)
        answer_poll(worker);
}

} // namespace dandelioncrank
