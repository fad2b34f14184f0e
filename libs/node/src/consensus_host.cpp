#include "consensus_host.hpp"

#include "dandelioncrank/storage/storage_error.hpp"

#include <QRandomGenerator>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

// Log entries after which the state is written as a snapshot.
constexpr std::size_t compact_after = 2000;
constexpr duration commit_time = 3s;

} // namespace

consensus_host::consensus_host(const node_settings& settings,
                               peer_directory& peers)
    : settings_(settings), peers_(peers),
      state_(std::make_unique<replicated_state>())
{
    storage_ = std::make_unique<voter_storage>(settings.data_dir_);
    if (storage_->recovery().torn_bytes_ > 0)
        log_.warning("An unfinished write of " +
                     std::to_string(storage_->recovery().torn_bytes_) +
                     " bytes was cut off the log.");
    if (!storage_->has_identity()) {
        membership members;
        if (settings.bootstrap_) {
            for (const host_name& host : peers.voters())
                members.voters_.insert(voter_name(host.str() + ".0"));
        }
        storage_->initialize(choose_identity(settings.bootstrap_), members);
    }
    replica_start start = storage_->load();
    log_.info("Starts as " + start.self_.str() + " with " +
              std::to_string(start.entries_.size()) + " entries after " +
              std::to_string(start.snapshot_.index_) + ".");
    applied_ = start.snapshot_.index_;
    core_ = std::make_unique<consensus_core>(
        std::move(start), consensus_timing{},
        QRandomGenerator::global()->generate64(), steady_now());
    drain(steady_now());
}

consensus_host::~consensus_host() = default;

// A folder without an identity is a new voter, whatever its host held
// before: promises made from a lost disk cannot be kept.
voter_name consensus_host::choose_identity(bool first) const
{
    if (first)
        return voter_name(settings_.host_.str() + ".0");
    auto number = QRandomGenerator::global()->generate();
    return voter_name(settings_.host_.str() + '.' +
                      QString::number(number, 16).toStdString());
}

host_name consensus_host::host_of(const voter_name& voter)
{
    return host_name(voter.str().substr(0, voter.str().rfind('.')));
}

replica_status consensus_host::status() const
{
    return core_->status();
}

host_name consensus_host::leader() const
{
    return host_of(core_->status().leader_);
}

bool consensus_host::is_leader() const
{
    return failure_.empty() && core_->is_leader();
}

void consensus_host::fail(const std::string& reason)
{
    failure_ = reason;
    log_.error("This voter has stopped: " + reason + ".");
    auto lost = std::exchange(waiting_, {});
    for (auto& item : lost)
        item.second.on_answer_({state_answer_kind::unsure, {}, {}});
}

void consensus_host::receive(const consensus_message& message, instant now)
{
    if (!failure_.empty())
        return;
    core_->receive(message, now);
    drain(now);
}

void consensus_host::tick(instant now)
{
    if (!failure_.empty())
        return;
    core_->tick(now);
    drain(now);
    expire(now);
}

void consensus_host::propose(const QByteArray& command, instant now,
                             answer_handler on_answer)
{
    auto index = failure_.empty() ? core_->propose(command, now) : std::nullopt;
    if (!index) {
        host_name leader = failure_.empty() ? this->leader() : host_name();
        on_answer({state_answer_kind::not_leader, leader, {}});
        return;
    }
    waiting_[*index] = {core_->status().term_, now + commit_time,
                        std::move(on_answer)};
    drain(now);
}

bool consensus_host::replace_voter(const voter_name& old,
                                   const voter_name& next,
                                   const std::string& address, instant now)
{
    if (!failure_.empty())
        return false;
    bool taken = core_->replace_voter(old, next, address, now);
    drain(now);
    return taken;
}

void consensus_host::hand_over(instant now)
{
    if (!failure_.empty())
        return;
    core_->hand_over(now);
    drain(now);
}

void consensus_host::drain(instant now)
{
    // An answer may propose again from within.
    if (draining_)
        return;
    draining_ = true;
    while (failure_.empty()) {
        consensus_output output = core_->take_output();
        bool empty = !output.needs_disk() && output.messages_.empty() &&
                     output.committed_.empty() && !output.restore_;
        if (empty)
            break;
        drain_once(std::move(output), now);
    }
    draining_ = false;
    replica_role role = core_->status().role_;
    if (role != last_role_ && role != replica_role::candidate)
        log_.info("Is " + to_text(role) + " in term " +
                  std::to_string(core_->status().term_) + ".");
    last_role_ = role;
}

void consensus_host::drain_once(consensus_output output, instant now)
{
    try {
        storage_->store(output);
    } catch (const storage_error& error) {
        fail(error.what());
        return;
    }
    for (const consensus_message& message : output.messages_)
        peers_.post(host_of(message.to_), message);
    if (output.restore_ && output.restore_->index_ >= applied_) {
        if (!output.restore_->state_.isEmpty())
            state_->restore(output.restore_->state_);
        applied_ = output.restore_->index_;
        if (on_applied_)
            on_applied_();
    }
    for (const log_entry& entry : output.committed_)
        apply(entry);
    if (!output.committed_.empty() && on_applied_)
        on_applied_();
    if (core_->log_size() > compact_after)
        core_->compact(applied_, state_->snapshot());
    core_->persisted(now);
}

void consensus_host::apply(const log_entry& entry)
{
    applied_ = entry.index_;
    state_reply reply;
    if (entry.kind_ == entry_kind::command)
        reply = state_->apply(from_wire<state_command>(entry.data_));
    auto found = waiting_.find(entry.index_);
    if (found == waiting_.end())
        return;
    waiting item = std::move(found->second);
    waiting_.erase(found);
    if (item.term_ == entry.term_)
        item.on_answer_({state_answer_kind::done, {}, reply});
    else
        // Another leader's entry took the place: this one never commits.
        item.on_answer_({state_answer_kind::not_leader, leader(), {}});
}

void consensus_host::expire(instant now)
{
    std::vector<answer_handler> late;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->second.deadline_ > now) {
            ++it;
            continue;
        }
        late.push_back(std::move(it->second.on_answer_));
        it = waiting_.erase(it);
    }
    for (answer_handler& handler : late)
        handler({state_answer_kind::unsure, leader(), {}});
}

} // namespace dandelioncrank
