#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/core/wire.hpp"

#include <QByteArray>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank {

using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// Identity of one replica on one host and disk. A host whose disk was lost
/// rejoins under a new identity.
using voter_name = basic_name<struct voter_tag>;

enum class entry_kind
{
    no_op,
    command,
    membership
};

struct log_entry
{
    log_index index_ = 0;
    term_number term_ = 0;
    entry_kind kind_ = entry_kind::no_op;
    QByteArray data_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(index_, term_, kind_, data_);
    }
};

/// Replacement of one voter by another, started by one operator command.
struct voter_replacement
{
    voter_name old_;
    voter_name new_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(old_, new_);
    }
};

/// Voters, learners and their addresses, for use by the peers.
struct membership
{
    std::set<voter_name> voters_;
    std::set<voter_name> learners_;
    std::map<voter_name, std::string> addresses_;
    /// Replacement in progress; the current leader carries out its steps.
    std::optional<voter_replacement> replacement_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(voters_, learners_, addresses_, replacement_);
    }
};

/// Term and vote; must be on disk before any message that depends on them
/// is sent.
struct hard_state
{
    term_number term_ = 0;
    voter_name voted_for_;

    auto operator<=>(const hard_state&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(term_, voted_for_);
    }
};

/// State of the state machine after applying entries up to an index.
struct log_snapshot
{
    log_index index_ = 0;
    term_number term_ = 0;
    membership members_;
    QByteArray state_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(index_, term_, members_, state_);
    }
};

struct vote_request
{
    log_index last_index_ = 0;
    term_number last_term_ = 0;
    /// Asks whether a vote would be granted, without a change of term.
    bool pre_vote_ = false;
    /// The leader requested this election to transfer leadership.
    bool leadership_transfer_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(last_index_, last_term_, pre_vote_, leadership_transfer_);
    }
};

struct vote_reply
{
    bool granted_ = false;
    bool pre_vote_ = false;
    /// Term of the request that this replies to.
    term_number request_term_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(granted_, pre_vote_, request_term_);
    }
};

struct append_request
{
    log_index previous_index_ = 0;
    term_number previous_term_ = 0;
    std::vector<log_entry> entries_;
    log_index commit_ = 0;
    /// Heartbeat round of the leader; a read waits until a quorum has
    /// acknowledged a round that began after the read.
    std::uint64_t round_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(previous_index_, previous_term_, entries_, commit_, round_);
    }
};

struct append_reply
{
    bool matched_ = false;
    /// Last index known to be on the follower's disk; on a mismatch, the
    /// index at which the leader should probe next.
    log_index index_ = 0;
    std::uint64_t round_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(matched_, index_, round_);
    }
};

struct snapshot_request
{
    log_snapshot snapshot_;
    std::uint64_t round_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(snapshot_, round_);
    }
};

/// Tells the receiver to start an election at once, as the target of a
/// leadership transfer.
struct timeout_now_request
{
    template <class Archive>
    void fields(Archive&)
    {
    }
};

using consensus_payload =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_request, timeout_now_request>;

struct consensus_message
{
    voter_name from_;
    voter_name to_;
    term_number term_ = 0;
    consensus_payload payload_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(from_, to_, term_, payload_);
    }
};

enum class replica_role
{
    follower,
    candidate,
    leader
};

[[nodiscard]] std::string to_text(replica_role value);

/// A read that may be served from a state that has applied this index.
struct confirmed_read
{
    std::uint64_t token_ = 0;
    log_index index_ = 0;
};

/// Actions for the caller, in this order: write and sync the first four
/// members, send the messages, then apply.
///
/// Inputs may reach the core while an output is written, but the next output
/// must not be taken before persisted() was called for this one.
struct consensus_output
{
    std::optional<hard_state> hard_state_;
    std::optional<log_snapshot> snapshot_;
    std::optional<log_index> truncate_from_;
    std::vector<log_entry> entries_;
    /// Last index of the log when this output was taken.
    log_index last_index_ = 0;

    std::vector<consensus_message> messages_;
    /// Snapshot to restore before the committed entries are applied.
    std::optional<log_snapshot> restore_;
    std::vector<log_entry> committed_;
    std::vector<confirmed_read> confirmed_reads_;
    /// Tokens of reads that failed because leadership was lost.
    std::vector<std::uint64_t> failed_reads_;

    [[nodiscard]] bool needs_sync() const
    {
        return hard_state_ || snapshot_ || truncate_from_ || !entries_.empty();
    }

    /// Removes and returns the messages that may be sent before the sync: a
    /// leader's new entries, which followers write at the same time. The leader
    /// counts itself only after persisted().
    [[nodiscard]] std::vector<consensus_message> take_messages_before_sync();
};

struct consensus_timing
{
    /// Minimum time without contact from a leader before an election; each
    /// wait is drawn at random between this and twice this.
    duration election_timeout_ = std::chrono::milliseconds(600);
    duration heartbeat_interval_ = std::chrono::milliseconds(150);
};

/// Protocol faults that tests inject to show that the random runs detect
/// them.
enum class consensus_fault
{
    none,
    vote_not_synced,
    append_not_synced,
    commit_earlier_term,
    skip_vote_log_check,
    skip_learner_catch_up,
    skip_previous_entry_check,
    read_without_quorum,
    commit_without_quorum,
    concurrent_membership_changes,
    ignore_previous_vote,
    count_learners_in_quorum
};

} // namespace dandelioncrank
