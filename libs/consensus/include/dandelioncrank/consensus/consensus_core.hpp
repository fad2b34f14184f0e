#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"

#include <memory>
#include <random>

namespace dandelioncrank {

class replica_log;

/// Durable state of a replica, as read from disk at start.
struct persistent_state
{
    voter_name self_;
    hard_state hard_state_;
    log_snapshot snapshot_;
    std::vector<log_entry> entries_;
};

/// Current view of a replica.
struct replica_status
{
    voter_name self_;
    replica_role role_ = replica_role::follower;
    term_number term_ = 0;
    voter_name leader_;
    log_index last_index_ = 0;
    log_index commit_ = 0;
    log_index first_index_ = 0;
    membership members_;
};

/// One Raft replica: elections with pre-vote and check-quorum, log
/// replication, linearizable reads by read index, snapshots and membership
/// changes of one member at a time.
///
/// Does no I/O and reads no clock: each call passes the current time, and
/// take_output() returns what to store, send and apply. This replica's own
/// entries count towards a quorum only after persisted() is called.
class consensus_core
{
  public:
    consensus_core(persistent_state state, consensus_timing timing,
                   std::uint64_t seed, instant now,
                   consensus_fault fault = consensus_fault::none);
    ~consensus_core();

    consensus_core(const consensus_core&) = delete;
    consensus_core& operator=(const consensus_core&) = delete;

    void receive(const consensus_message& message, instant now);
    void tick(instant now);

    /// Reports that the output with this last_index_ is on disk.
    void persisted(log_index last, instant now);

    /// Appends a command and returns its index, or nothing if this replica is
    /// not the leader or is transferring leadership.
    std::optional<log_index> propose(QByteArray command, instant now);

    /// Requests a linearizable read that reflects every command proposed at
    /// this replica before the call. The token is returned later in
    /// confirmed_reads_ or failed_reads_. Returns false if this replica is
    /// not the leader.
    bool request_read(std::uint64_t token, instant now);

    /// Membership changes, one at a time. Return true if the change was
    /// appended, is already in effect or, for replace_voter(), is already
    /// pending. Otherwise return false if this replica is not the leader, has
    /// not committed an entry of its term yet or is transferring leadership,
    /// while another change is uncommitted, or if the change is not possible.
    bool add_learner(const voter_name& member, const std::string& address,
                     instant now);
    bool promote_learner(const voter_name& member, instant now);
    bool remove_member(const voter_name& member, instant now);
    bool replace_voter(const voter_name& old_voter, const voter_name& new_voter,
                       const std::string& address, instant now);

    /// Transfers leadership to the most up-to-date voter before a planned
    /// shutdown.
    void transfer_leadership(instant now);

    /// Replaces the log up to an applied index by a snapshot of the state.
    void compact(log_index index, QByteArray state);

    [[nodiscard]] consensus_output take_output();

    [[nodiscard]] replica_status status() const;
    [[nodiscard]] bool is_leader() const;
    /// Time of the last reply of a member to this leader; nothing if this
    /// replica is not the leader or the member is not a peer.
    [[nodiscard]] std::optional<instant>
    last_contact_at(const voter_name& member) const;
    /// Number of entries since the last snapshot.
    [[nodiscard]] std::size_t log_size() const;

  private:
    struct progress
    {
        log_index next_ = 1;
        log_index match_ = 0;
        /// The point where the logs match is not known yet: append requests
        /// carry no entries.
        bool probing_ = true;
        bool in_flight_ = false;
        /// Last index of the entries in flight; 0 if there are none.
        log_index in_flight_last_ = 0;
        instant sent_at_{};
        instant last_contact_at_{};
        std::uint64_t round_ = 0;
    };

    struct pending_read
    {
        std::uint64_t token_ = 0;
        std::uint64_t round_ = 0;
        log_index index_ = 0;
    };

    // Elections.
    void become_follower(term_number term, const voter_name& leader,
                         instant now);
    void campaign(bool pre_vote, bool leadership_transfer, instant now);
    void become_leader(instant now);
    void reset_election_timer(instant now);
    void handle(const vote_request& request, const consensus_message& message,
                instant now);
    void handle(const vote_reply& reply, const consensus_message& message,
                instant now);
    [[nodiscard]] bool can_grant_vote(const vote_request& request,
                                      const consensus_message& message,
                                      instant now) const;
    [[nodiscard]] bool has_recent_leader(instant now) const;
    void check_quorum(instant now);

    // Replication.
    void handle(const append_request& request, const consensus_message& message,
                instant now);
    void handle(const append_reply& reply, const consensus_message& message,
                instant now);
    void handle(const snapshot_request& request,
                const consensus_message& message, instant now);
    void handle(const timeout_now_request& request,
                const consensus_message& message, instant now);
    void append_entries(const append_request& request);
    void broadcast(instant now, bool with_heartbeat);
    void send_append(const voter_name& to, instant now);
    void send_snapshot(const voter_name& to, progress& peer, instant now);
    void append_local(entry_kind kind, QByteArray data, instant now);
    void advance_commit(instant now);
    void commit_to(log_index index);
    void confirm_reads();
    void fail_reads();

    // Membership.
    [[nodiscard]] bool can_change_members() const;
    bool change_members(membership next, instant now);
    void update_peers(instant now);
    void advance_replacement(instant now);
    [[nodiscard]] bool has_caught_up(const voter_name& member) const;

    void send(const voter_name& to, consensus_payload payload);
    void save_hard_state();
    [[nodiscard]] bool is_voter(const voter_name& member) const;
    [[nodiscard]] std::size_t quorum() const;
    [[nodiscard]] const membership& members() const;
    void check_invariants() const;

    voter_name self_;
    consensus_timing timing_;
    consensus_fault fault_;
    std::mt19937_64 random_;
    hard_state hard_;
    std::unique_ptr<replica_log> log_;
    replica_role role_ = replica_role::follower;
    voter_name leader_;
    log_index commit_ = 0;
    log_index persisted_index_ = 0;
    instant election_deadline_{};
    instant leader_contact_at_{};
    instant next_heartbeat_at_{};
    instant quorum_checked_at_{};
    bool pre_voting_ = false;
    bool transferring_leadership_ = false;
    std::set<voter_name> votes_received_;
    std::map<voter_name, progress> peers_;
    std::uint64_t round_ = 0;
    log_index term_start_index_ = 0;
    std::vector<pending_read> pending_reads_;
    consensus_output output_;
};

} // namespace dandelioncrank
