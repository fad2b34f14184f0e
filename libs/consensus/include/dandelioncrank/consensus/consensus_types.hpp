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

/// Identity of one replica: the host and its disk. A host that lost its disk
/// comes back under another identity.
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

/// A voter that takes the place of another one, as one operator command.
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

/// Who votes and who learns; addresses are for the peers' use.
struct membership
{
    std::set<voter_name> voters_;
    std::set<voter_name> learners_;
    std::map<voter_name, std::string> addresses_;
    /// Carried out step by step by whoever leads.
    std::optional<voter_replacement> replacement_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(voters_, learners_, addresses_, replacement_);
    }
};

/// What must be on disk before any answer that depends on it.
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

/// State of the replicated machine up to one index.
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
    /// Only asks whether a real vote would be granted.
    bool pre_vote_ = false;
    /// The leader has asked for this election.
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
    /// Term that the request was about.
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
    /// Counts the leader's rounds; reads wait for a round's quorum.
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
    /// Last index known to be on the follower's disk; on a mismatch the
    /// index from which the leader should try again.
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

/// The leader hands over: start an election now.
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

/// A read may be answered from a state that has applied this index.
struct confirmed_read
{
    std::uint64_t token_ = 0;
    log_index index_ = 0;
};

/// What the host has to do, in this order: put the first four on disk and
/// sync, then send the messages, then apply.
struct consensus_output
{
    std::optional<hard_state> hard_state_;
    std::optional<log_snapshot> snapshot_;
    std::optional<log_index> truncate_from_;
    std::vector<log_entry> entries_;

    std::vector<consensus_message> messages_;
    /// Replace the machine's state before applying what is committed.
    std::optional<log_snapshot> restore_;
    std::vector<log_entry> committed_;
    std::vector<confirmed_read> confirmed_reads_;
    /// Reads that cannot be answered because leadership was lost.
    std::vector<std::uint64_t> failed_reads_;

    [[nodiscard]] bool needs_sync() const
    {
        return hard_state_ || snapshot_ || truncate_from_ || !entries_.empty();
    }
};

struct consensus_timing
{
    /// Shortest wait without a leader before an election; the longest is
    /// twice that.
    duration election_timeout_ = std::chrono::milliseconds(600);
    duration heartbeat_interval_ = std::chrono::milliseconds(150);
};

/// Deliberate faults for the tests that show that the runs catch them.
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
