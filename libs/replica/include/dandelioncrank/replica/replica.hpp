#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/logging/component_logger.hpp"
#include "dandelioncrank/storage/storage_error.hpp"
#include "dandelioncrank/storage/voter_storage.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace dandelioncrank {

/// Outcome of a proposal.
enum class commit_result
{
    committed,
    /// Not in the log; it will never be committed.
    rejected,
    /// It may still be committed later.
    unknown
};

/// Initial state for an empty data directory.
struct replica_bootstrap
{
    voter_name identity_;
    /// Initial voters of the group; empty to join an existing group.
    membership members_;
};

/// Runs one replica of a state machine: the consensus core, its storage and
/// its copy of the state. Machine must have a type `reply` and the members
/// `reply apply(const QByteArray&)`, `QByteArray snapshot() const` and
/// `void restore(const QByteArray&)`.
template <class Machine>
class replica
{
  public:
    using reply = typename Machine::reply;
    using propose_handler =
        std::function<void(commit_result, std::optional<reply>)>;
    using settled_handler = std::function<void()>;
    using read_handler = std::function<void(bool granted)>;
    using send_action = std::function<void(const consensus_message&)>;
    /// Runs `write` on another thread, then `on_done` on this one, with the
    /// time. Not called again before that.
    using disk_executor = std::function<void(
        std::function<void()> write, std::function<void(instant now)> on_done)>;

    /// Opens the data directory. Throws storage_error.
    replica(const std::string& data_dir, const replica_bootstrap& bootstrap,
            std::uint64_t seed, instant now, send_action send)
        : send_(std::move(send)),
          storage_(std::make_unique<voter_storage>(data_dir))
    {
        if (storage_->recovery().torn_bytes_ > 0)
            log_.warning("Truncated an incomplete write of " +
                         std::to_string(storage_->recovery().torn_bytes_) +
                         " bytes at the end of the log.");
        if (!storage_->has_identity())
            storage_->initialize(bootstrap.identity_, bootstrap.members_);
        persistent_state state = storage_->load();
        log_.info("Starting replica " + state.self_.str() + " with " +
                  std::to_string(state.entries_.size()) +
                  " log entries after index " +
                  std::to_string(state.snapshot_.index_) + ".");
        applied_ = state.snapshot_.index_;
        core_ = std::make_unique<consensus_core>(std::move(state),
                                                 consensus_timing{}, seed, now);
        process_output(now);
    }

    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    void receive(const consensus_message& message, instant now)
    {
        if (!failure_.empty())
            return;
        core_->receive(message, now);
        process_output(now);
    }

    void tick(instant now)
    {
        if (!failure_.empty())
            return;
        core_->tick(now);
        process_output(now);
        expire(now);
    }

    /// Proposes a command. Calls the first handler once the outcome is known or
    /// the time limit has passed, at once if this replica is not the leader.
    /// Calls the second one when the command has been applied or certainly
    /// never will be, however long that takes; not called if this replica has
    /// lost the leadership before that.
    void propose(const QByteArray& command, instant now,
                 propose_handler on_answer,
                 settled_handler on_settled = nullptr)
    {
        auto index =
            failure_.empty() ? core_->propose(command, now) : std::nullopt;
        if (!index) {
            on_answer(commit_result::rejected, std::nullopt);
            if (on_settled)
                on_settled();
            return;
        }
        pending_proposal item{core_->status().term_, now + commit_timeout,
                              std::move(on_answer), std::move(on_settled)};
        std::swap(item, pending_proposals_[*index]);
        process_output(now);
        // An earlier proposal of this replica was at the same index until
        // another leader replaced it; a member may still have it.
        answer(item, commit_result::unknown, std::nullopt);
    }

    /// Linearizable read: calls the handler once the state reflects every
    /// command committed before this call.
    void read(instant now, read_handler on_answer)
    {
        std::uint64_t token = next_token_++;
        pending_reads_.emplace(
            token, pending_read{now + commit_timeout, std::move(on_answer)});
        if (!failure_.empty() || !core_->request_read(token, now))
            finish_read(token, false);
        else
            process_output(now);
    }

    bool add_learner(const voter_name& member, const std::string& address,
                     instant now)
    {
        return change_membership(
            now, [&] { return core_->add_learner(member, address, now); });
    }

    bool promote_learner(const voter_name& member, instant now)
    {
        return change_membership(
            now, [&] { return core_->promote_learner(member, now); });
    }

    bool replace_voter(const voter_name& old, const voter_name& next,
                       const std::string& address, instant now)
    {
        return change_membership(
            now, [&] { return core_->replace_voter(old, next, address, now); });
    }

    bool remove_member(const voter_name& member, instant now)
    {
        return change_membership(
            now, [&] { return core_->remove_member(member, now); });
    }

    void transfer_leadership(instant now)
    {
        if (!failure_.empty())
            return;
        core_->transfer_leadership(now);
        process_output(now);
    }

    [[nodiscard]] const Machine& machine() const { return machine_; }
    [[nodiscard]] replica_status status() const { return core_->status(); }
    [[nodiscard]] log_index applied() const { return applied_; }
    [[nodiscard]] bool is_leader() const
    {
        return failure_.empty() && core_->is_leader();
    }
    /// Time of the last reply of a member to this leader; nothing if this
    /// replica is not the leader or the member is not a peer.
    [[nodiscard]] std::optional<instant>
    last_contact_at(const voter_name& member) const
    {
        return core_->last_contact_at(member);
    }
    /// Why this replica has stopped; empty while it runs.
    [[nodiscard]] const std::string& failure() const { return failure_; }

    /// Called after each change of the state.
    std::function<void()> on_applied_;
    /// Called after each change of role, leader or term.
    std::function<void()> on_role_changed_;
    /// Writes to the disk; without it, writes block this thread.
    disk_executor disk_executor_;

  private:
    // Time limit for a proposal or a read.
    static constexpr duration commit_timeout = std::chrono::seconds(3);
    // Number of log entries above which the log is compacted into a snapshot.
    static constexpr std::size_t snapshot_threshold_entries = 2000;
    // The same for the bytes of the entries that were applied since the last
    // snapshot: the log is held in memory and on the disk.
    static constexpr qsizetype snapshot_threshold_bytes = 8 * 1024 * 1024;

    struct pending_proposal
    {
        term_number term_ = 0;
        instant deadline_;
        /// Empty once it was called.
        propose_handler on_answer_;
        settled_handler on_settled_;
    };

    struct pending_write
    {
        consensus_output output_;
        std::string fault_;
    };

    struct pending_read
    {
        instant deadline_;
        read_handler on_answer_;
    };

    template <class Action>
    bool change_membership(instant now, Action action)
    {
        if (!failure_.empty())
            return false;
        bool accepted = action();
        process_output(now);
        return accepted;
    }

    void fail(const std::string& reason)
    {
        failure_ = reason;
        log_.error("Replica stopped: " + reason + ".");
        auto pending = std::exchange(pending_proposals_, {});
        for (auto& item : pending)
            answer(item.second, commit_result::unknown, std::nullopt);
        while (!pending_reads_.empty())
            finish_read(pending_reads_.begin()->first, false);
    }

    void process_output(instant now)
    {
        // Reply handlers may propose again and reenter this function.
        if (processing_output_)
            return;
        processing_output_ = true;
        while (failure_.empty() && !storing_) {
            consensus_output output = core_->take_output();
            bool empty = !output.needs_sync() && output.messages_.empty() &&
                         output.committed_.empty() && !output.restore_ &&
                         output.confirmed_reads_.empty() &&
                         output.failed_reads_.empty();
            if (empty)
                break;
            store_and_apply(std::move(output), now);
        }
        processing_output_ = false;
        report_role();
    }

    void report_role()
    {
        replica_status status = core_->status();
        auto reported = std::tuple(status.role_, status.term_, status.leader_);
        if (reported == last_reported_)
            return;
        last_reported_ = reported;
        if (status.role_ != replica_role::candidate)
            log_.info("Now " + to_text(status.role_) + " in term " +
                      std::to_string(status.term_) + ", leader '" +
                      status.leader_.str() + "'.");
        if (on_role_changed_)
            on_role_changed_();
    }

    void store_and_apply(consensus_output output, instant now)
    {
        if (!output.needs_sync() || !disk_executor_) {
            std::string fault = store(output);
            finish_output(output, fault, now);
            return;
        }
        for (const consensus_message& message :
             output.take_messages_before_sync())
            send_(message);
        // Until the write is done, new outputs collect in the core, and are
        // then written together.
        storing_ = true;
        auto item = std::make_shared<pending_write>();
        item->output_ = std::move(output);
        disk_executor_([this, item] { item->fault_ = store(item->output_); },
                       [this, item](instant done_at) {
                           // Handlers may propose again meanwhile.
                           processing_output_ = true;
                           storing_ = false;
                           finish_output(item->output_, item->fault_, done_at);
                           processing_output_ = false;
                           process_output(done_at);
                       });
    }

    /// Returns the fault, or an empty text.
    [[nodiscard]] std::string store(const consensus_output& output)
    {
        try {
            storage_->store(output);
        } catch (const storage_error& error) {
            return error.what();
        }
        return {};
    }

    void finish_output(const consensus_output& output, const std::string& fault,
                       instant now)
    {
        if (!fault.empty()) {
            fail(fault);
            return;
        }
        for (const consensus_message& message : output.messages_)
            send_(message);
        if (output.restore_ && output.restore_->index_ >= applied_) {
            if (!output.restore_->state_.isEmpty())
                machine_.restore(output.restore_->state_);
            applied_ = output.restore_->index_;
            applied_bytes_ = 0;
            drop_proposals_up_to(applied_);
        }
        for (const log_entry& entry : output.committed_)
            apply(entry);
        if ((output.restore_ || !output.committed_.empty()) && on_applied_)
            on_applied_();
        for (const confirmed_read& item : output.confirmed_reads_)
            finish_read(item.token_, true);
        for (std::uint64_t token : output.failed_reads_)
            finish_read(token, false);
        if (core_->log_size() > snapshot_threshold_entries ||
            applied_bytes_ > snapshot_threshold_bytes) {
            core_->compact(applied_, machine_.snapshot());
            applied_bytes_ = 0;
        }
        core_->persisted(output.last_index_, now);
    }

    void apply(const log_entry& entry)
    {
        applied_ = entry.index_;
        applied_bytes_ += entry.data_.size();
        std::optional<reply> result;
        if (entry.kind_ == entry_kind::command)
            result = machine_.apply(entry.data_);
        auto found = pending_proposals_.find(entry.index_);
        if (found == pending_proposals_.end())
            return;
        pending_proposal item = std::move(found->second);
        pending_proposals_.erase(found);
        if (item.term_ == entry.term_)
            answer(item, commit_result::committed, std::move(result));
        else
            // An entry of another leader was committed at this index, so the
            // proposal will never be committed.
            answer(item, commit_result::rejected, std::nullopt);
        if (item.on_settled_)
            item.on_settled_();
    }

    static void answer(pending_proposal& item, commit_result end,
                       std::optional<reply> result)
    {
        if (auto handler = std::exchange(item.on_answer_, nullptr))
            handler(end, std::move(result));
    }

    // A leader restores no snapshot, so these are proposals of an earlier term.
    void drop_proposals_up_to(log_index index)
    {
        while (!pending_proposals_.empty() &&
               pending_proposals_.begin()->first <= index) {
            pending_proposal item =
                std::move(pending_proposals_.begin()->second);
            pending_proposals_.erase(pending_proposals_.begin());
            answer(item, commit_result::unknown, std::nullopt);
        }
    }

    void finish_read(std::uint64_t token, bool granted)
    {
        auto found = pending_reads_.find(token);
        if (found == pending_reads_.end())
            return;
        read_handler handler = std::move(found->second.on_answer_);
        pending_reads_.erase(found);
        handler(granted);
    }

    void expire(instant now)
    {
        std::vector<propose_handler> expired;
        for (auto it = pending_proposals_.begin();
             it != pending_proposals_.end();) {
            if (it->second.deadline_ > now) {
                ++it;
                continue;
            }
            if (it->second.on_answer_)
                expired.push_back(
                    std::exchange(it->second.on_answer_, nullptr));
            it = it->second.on_settled_ ? std::next(it)
                                        : pending_proposals_.erase(it);
        }
        for (propose_handler& handler : expired)
            handler(commit_result::unknown, std::nullopt);
        std::vector<std::uint64_t> expired_reads;
        for (const auto& [token, item] : pending_reads_) {
            if (item.deadline_ <= now)
                expired_reads.push_back(token);
        }
        for (std::uint64_t token : expired_reads)
            finish_read(token, false);
    }

    component_logger log_{"voter"};
    send_action send_;
    std::unique_ptr<voter_storage> storage_;
    std::unique_ptr<consensus_core> core_;
    Machine machine_;
    log_index applied_ = 0;
    /// Bytes of the entries applied since the last snapshot.
    qsizetype applied_bytes_ = 0;
    std::map<log_index, pending_proposal> pending_proposals_;
    std::map<std::uint64_t, pending_read> pending_reads_;
    std::uint64_t next_token_ = 1;
    std::string failure_;
    std::tuple<replica_role, term_number, voter_name> last_reported_;
    bool processing_output_ = false;
    /// An output is being written by the disk executor.
    bool storing_ = false;
};

} // namespace dandelioncrank
