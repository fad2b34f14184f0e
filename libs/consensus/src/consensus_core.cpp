#include "dandelioncrank/consensus/consensus_core.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "replica_log.hpp"

#include <algorithm>
#include <iterator>

namespace dandelioncrank {

namespace {

// Maximum number of entries by which a learner may lag to become a voter.
constexpr log_index max_promotion_lag_entries = 16;

} // namespace

std::string to_text(replica_role value)
{
    switch (value) {
    case replica_role::follower:
        return "follower";
    case replica_role::candidate:
        return "candidate";
    case replica_role::leader:
        break;
    }
    return "leader";
}

std::vector<consensus_message> consensus_output::take_messages_before_sync()
{
    std::vector<consensus_message> result;
    // Without a new term or vote to sync, the term of the messages is on disk.
    if (hard_state_ || snapshot_ || truncate_from_)
        return result;
    auto first = std::stable_partition(
        messages_.begin(), messages_.end(),
        [](const consensus_message& message) {
            return !std::holds_alternative<append_request>(message.payload_);
        });
    std::move(first, messages_.end(), std::back_inserter(result));
    messages_.erase(first, messages_.end());
    return result;
}

consensus_core::consensus_core(persistent_state state, consensus_timing timing,
                               std::uint64_t seed, instant now,
                               consensus_fault fault)
    : self_(std::move(state.self_)), timing_(timing), fault_(fault),
      random_(seed), hard_(std::move(state.hard_state_))
{
    commit_ = state.snapshot_.index_;
    bool has_state = state.snapshot_.index_ > 0;
    if (has_state)
        output_.restore_ = state.snapshot_;
    log_ = std::make_unique<replica_log>(std::move(state.snapshot_),
                                         std::move(state.entries_));
    persisted_index_ = log_->last_index();
    reset_election_timer(now);
}

consensus_core::~consensus_core() = default;

const membership& consensus_core::members() const
{
    return log_->members();
}

bool consensus_core::is_voter(const voter_name& member) const
{
    return members().voters_.contains(member);
}

std::size_t consensus_core::quorum() const
{
    return members().voters_.size() / 2 + 1;
}

bool consensus_core::is_leader() const
{
    return role_ == replica_role::leader;
}

std::size_t consensus_core::log_size() const
{
    return log_->last_index() - log_->base().index_;
}

void consensus_core::save_hard_state()
{
    output_.hard_state_ = hard_;
}

void consensus_core::send(const voter_name& to, consensus_payload payload)
{
    output_.messages_.push_back({self_, to, hard_.term_, std::move(payload)});
}

consensus_output consensus_core::take_output()
{
    consensus_output output = std::move(output_);
    output_ = {};
    output.last_index_ = log_->last_index();
    if (fault_ == consensus_fault::vote_not_synced)
        output.hard_state_.reset();
    if (fault_ == consensus_fault::append_not_synced && !is_leader())
        output.entries_.clear();
    return output;
}

void consensus_core::persisted(log_index last, instant now)
{
    // Entries that were replaced while the output was written are not on disk
    // in their current form.
    if (output_.truncate_from_)
        last = std::min(last, *output_.truncate_from_ - 1);
    persisted_index_ = std::max(persisted_index_, last);
    if (is_leader())
        advance_commit(now);
}

// --- Elections

void consensus_core::reset_election_timer(instant now)
{
    auto range = static_cast<std::uint64_t>(timing_.election_timeout_.count());
    auto jitter = static_cast<duration::rep>(random_() % range);
    election_deadline_ = now + timing_.election_timeout_ + duration(jitter);
}

bool consensus_core::has_recent_leader(instant now) const
{
    if (is_leader())
        return true;
    return !leader_.empty() &&
           now - leader_contact_at_ < timing_.election_timeout_;
}

void consensus_core::become_follower(term_number term, const voter_name& leader,
                                     instant now)
{
    bool was_leader = is_leader();
    if (term > hard_.term_) {
        hard_.term_ = term;
        hard_.voted_for_ = {};
        save_hard_state();
    }
    role_ = replica_role::follower;
    leader_ = leader;
    pre_voting_ = false;
    transferring_leadership_ = false;
    votes_received_.clear();
    if (was_leader)
        fail_reads();
    reset_election_timer(now);
}

void consensus_core::tick(instant now)
{
    if (is_leader()) {
        check_quorum(now);
        if (is_leader() && now >= next_heartbeat_at_)
            broadcast(now, true);
        if (is_leader())
            advance_replacement(now);
        return;
    }
    if (now < election_deadline_)
        return;
    if (is_voter(self_))
        campaign(true, false, now);
    else
        reset_election_timer(now);
}

// A pre-vote finds out whether an election could be won before the term is
// increased, so that a replica that rejoins after a partition does not force
// the current leader to step down.
void consensus_core::campaign(bool pre_vote, bool leadership_transfer,
                              instant now)
{
    role_ = replica_role::candidate;
    leader_ = {};
    pre_voting_ = pre_vote;
    votes_received_ = {self_};
    reset_election_timer(now);
    if (!pre_vote) {
        ++hard_.term_;
        hard_.voted_for_ = self_;
        save_hard_state();
    }
    if (votes_received_.size() >= quorum()) {
        if (pre_vote)
            campaign(false, leadership_transfer, now);
        else
            become_leader(now);
        return;
    }
    vote_request request{log_->last_index(), log_->last_term(), pre_vote,
                         leadership_transfer};
    for (const voter_name& voter : members().voters_) {
        if (voter != self_)
            send(voter, request);
    }
}

bool consensus_core::can_grant_vote(const vote_request& request,
                                    const consensus_message& message,
                                    instant now) const
{
    if (!request.leadership_transfer_ && has_recent_leader(now))
        return false;
    bool log_is_current = std::pair(request.last_term_, request.last_index_) >=
                          std::pair(log_->last_term(), log_->last_index());
    if (fault_ == consensus_fault::skip_vote_log_check)
        log_is_current = true;
    if (!log_is_current)
        return false;
    if (request.pre_vote_)
        return message.term_ >= hard_.term_;
    return message.term_ == hard_.term_ &&
           (hard_.voted_for_.empty() || hard_.voted_for_ == message.from_ ||
            fault_ == consensus_fault::ignore_previous_vote);
}

void consensus_core::handle(const vote_request& request,
                            const consensus_message& message, instant now)
{
    bool granted = can_grant_vote(request, message, now);
    if (granted && !request.pre_vote_) {
        hard_.voted_for_ = message.from_;
        save_hard_state();
        reset_election_timer(now);
    }
    send(message.from_, vote_reply{granted, request.pre_vote_, message.term_});
}

void consensus_core::handle(const vote_reply& reply,
                            const consensus_message& message, instant now)
{
    bool relevant = role_ == replica_role::candidate &&
                    reply.pre_vote_ == pre_voting_ &&
                    reply.request_term_ == hard_.term_ && reply.granted_ &&
                    is_voter(message.from_);
    if (!relevant)
        return;
    votes_received_.insert(message.from_);
    if (votes_received_.size() < quorum())
        return;
    if (pre_voting_)
        campaign(false, false, now);
    else
        become_leader(now);
}

void consensus_core::become_leader(instant now)
{
    role_ = replica_role::leader;
    leader_ = self_;
    transferring_leadership_ = false;
    peers_.clear();
    quorum_checked_at_ = now;
    update_peers(now);
    // Entries of earlier terms are committed only through an entry of the
    // current term, so a no-op is appended.
    term_start_index_ = log_->last_index() + 1;
    append_local(entry_kind::no_op, {}, now);
}

// A leader that has lost contact with a quorum steps down, so that it
// serves no reads and does not keep callers waiting.
void consensus_core::check_quorum(instant now)
{
    if (now - quorum_checked_at_ < timing_.election_timeout_)
        return;
    quorum_checked_at_ = now;
    // The leadership transfer has timed out; accept proposals again.
    transferring_leadership_ = false;
    std::size_t active_voters = is_voter(self_) ? 1 : 0;
    for (const auto& [name, peer] : peers_) {
        active_voters += is_voter(name) && now - peer.last_contact_at_ <=
                                               timing_.election_timeout_;
    }
    if (active_voters < quorum())
        become_follower(hard_.term_, {}, now);
}

void consensus_core::handle(const timeout_now_request&,
                            const consensus_message& message, instant now)
{
    if (message.term_ == hard_.term_ && is_voter(self_))
        campaign(false, true, now);
}

void consensus_core::transfer_leadership(instant now)
{
    if (!is_leader() || transferring_leadership_)
        return;
    const voter_name* successor = nullptr;
    log_index highest_match = 0;
    for (const auto& [name, peer] : peers_) {
        if (is_voter(name) &&
            (successor == nullptr || peer.match_ > highest_match)) {
            successor = &name;
            highest_match = peer.match_;
        }
    }
    if (successor == nullptr || highest_match < log_->last_index())
        return;
    transferring_leadership_ = true;
    send(*successor, timeout_now_request{});
    // Proposals are rejected until the successor takes over or the next quorum
    // check ends the transfer.
    quorum_checked_at_ = now;
}

void consensus_core::receive(const consensus_message& message, instant now)
{
    if (message.to_ != self_)
        return;
    const auto* vote = std::get_if<vote_request>(&message.payload_);
    const auto* reply = std::get_if<vote_reply>(&message.payload_);
    bool pre_vote = (vote != nullptr && vote->pre_vote_) ||
                    (reply != nullptr && reply->pre_vote_ && reply->granted_);
    // The higher term of a vote request is not adopted while there is contact
    // with a leader, unless that leader asked for the election.
    bool disruptive = vote != nullptr && !vote->leadership_transfer_ &&
                      has_recent_leader(now);
    if (message.term_ > hard_.term_ && !pre_vote && !disruptive)
        become_follower(message.term_, {}, now);
    // A voter that is behind grants a pre-vote in its own, older term.
    bool pre_vote_reply = reply != nullptr && reply->pre_vote_;
    if (message.term_ < hard_.term_ && !pre_vote_reply) {
        // The reply carries the current term, so that the sender adopts it.
        bool is_request =
            vote != nullptr ||
            std::holds_alternative<append_request>(message.payload_) ||
            std::holds_alternative<snapshot_request>(message.payload_);
        if (is_request && vote != nullptr)
            send(message.from_,
                 vote_reply{false, vote->pre_vote_, message.term_});
        else if (is_request)
            send(message.from_, append_reply{false, log_->last_index(), 0});
        return;
    }
    std::visit([&](const auto& payload) { handle(payload, message, now); },
               message.payload_);
    check_invariants();
}

// --- Proposals and reads

std::optional<log_index> consensus_core::propose(QByteArray command,
                                                 instant now)
{
    if (!is_leader() || transferring_leadership_)
        return std::nullopt;
    append_local(entry_kind::command, std::move(command), now);
    return log_->last_index();
}

bool consensus_core::request_read(std::uint64_t token, instant now)
{
    if (!is_leader())
        return false;
    if (fault_ == consensus_fault::read_without_quorum) {
        if (commit_ < term_start_index_)
            return false;
        output_.confirmed_reads_.push_back({token, commit_});
        return true;
    }
    // The last entry is of the current term, so the commit index is reliable
    // once it commits, and the read follows every earlier proposal.
    pending_reads_.push_back({token, round_ + 1, log_->last_index()});
    broadcast(now, true);
    confirm_reads();
    return true;
}

void consensus_core::confirm_reads()
{
    std::erase_if(pending_reads_, [this](const pending_read& read) {
        std::size_t confirmed = is_voter(self_) ? 1 : 0;
        for (const auto& [name, peer] : peers_)
            confirmed += is_voter(name) && peer.round_ >= read.round_;
        if (confirmed < quorum() || commit_ < read.index_)
            return false;
        output_.confirmed_reads_.push_back({read.token_, read.index_});
        return true;
    });
}

void consensus_core::fail_reads()
{
    for (const pending_read& read : pending_reads_)
        output_.failed_reads_.push_back(read.token_);
    pending_reads_.clear();
}

// --- Membership

bool consensus_core::can_change_members() const
{
    if (!is_leader() || transferring_leadership_ || commit_ < term_start_index_)
        return false;
    return log_->members_index() <= commit_ ||
           fault_ == consensus_fault::concurrent_membership_changes;
}

bool consensus_core::change_members(membership next, instant now)
{
    if (!can_change_members())
        return false;
    append_local(entry_kind::membership, to_wire(next), now);
    return true;
}

bool consensus_core::add_learner(const voter_name& member,
                                 const std::string& address, instant now)
{
    if (is_voter(member) || members().learners_.contains(member))
        return true;
    membership next = members();
    next.learners_.insert(member);
    next.addresses_[member] = address;
    return change_members(std::move(next), now);
}

bool consensus_core::has_caught_up(const voter_name& member) const
{
    auto found = peers_.find(member);
    return found != peers_.end() &&
           found->second.match_ + max_promotion_lag_entries >=
               log_->last_index();
}

bool consensus_core::promote_learner(const voter_name& member, instant now)
{
    if (is_voter(member))
        return true;
    bool ready = members().learners_.contains(member) &&
                 (has_caught_up(member) ||
                  fault_ == consensus_fault::skip_learner_catch_up);
    if (!ready)
        return false;
    membership next = members();
    next.learners_.erase(member);
    next.voters_.insert(member);
    return change_members(std::move(next), now);
}

bool consensus_core::remove_member(const voter_name& member, instant now)
{
    membership next = members();
    bool known = next.voters_.erase(member) + next.learners_.erase(member) > 0;
    if (!known)
        return true;
    if (next.voters_.empty())
        return false;
    next.addresses_.erase(member);
    // Removing the new voter before it is promoted cancels its replacement.
    if (next.replacement_ && next.replacement_->new_ == member)
        next.replacement_.reset();
    return change_members(std::move(next), now);
}

bool consensus_core::replace_voter(const voter_name& old_voter,
                                   const voter_name& new_voter,
                                   const std::string& address, instant now)
{
    if (members().replacement_)
        return members().replacement_->old_ == old_voter &&
               members().replacement_->new_ == new_voter;
    if (!is_voter(old_voter))
        return false;
    membership next = members();
    next.replacement_ = {old_voter, new_voter};
    if (!is_voter(new_voter))
        next.learners_.insert(new_voter);
    next.addresses_[new_voter] = address;
    return change_members(std::move(next), now);
}

// The new voter is promoted before the old one is removed, so that the group
// never has fewer voters than before.
void consensus_core::advance_replacement(instant now)
{
    if (!members().replacement_ || !can_change_members())
        return;
    voter_replacement replacement = *members().replacement_;
    if (!is_voter(replacement.new_)) {
        promote_learner(replacement.new_, now);
        return;
    }
    membership next = members();
    next.voters_.erase(replacement.old_);
    next.addresses_.erase(replacement.old_);
    next.replacement_.reset();
    change_members(std::move(next), now);
}

void consensus_core::update_peers(instant now)
{
    std::set<voter_name> other_members = members().voters_;
    other_members.insert(members().learners_.begin(),
                         members().learners_.end());
    other_members.erase(self_);
    std::erase_if(peers_, [&other_members](const auto& item) {
        return !other_members.contains(item.first);
    });
    for (const voter_name& name : other_members) {
        auto [found, inserted] = peers_.try_emplace(name);
        if (!inserted)
            continue;
        found->second.next_ = log_->last_index() + 1;
        found->second.last_contact_at_ = now;
    }
}

// --- Status

std::optional<instant>
consensus_core::last_contact_at(const voter_name& member) const
{
    auto found = peers_.find(member);
    if (!is_leader() || found == peers_.end())
        return std::nullopt;
    return found->second.last_contact_at_;
}

replica_status consensus_core::status() const
{
    replica_status result;
    result.self_ = self_;
    result.role_ = role_;
    result.term_ = hard_.term_;
    result.leader_ = leader_;
    result.last_index_ = log_->last_index();
    result.commit_ = commit_;
    result.first_index_ = log_->first_index();
    result.members_ = members();
    return result;
}

void consensus_core::check_invariants() const
{
    require_invariant(commit_ <= log_->last_index(),
                      "commit index must not exceed the last log index");
    require_invariant(commit_ >= log_->base().index_,
                      "commit index must not precede the snapshot index");
    require_invariant(!is_leader() || leader_ == self_,
                      "a leader must record itself as the leader");
}

} // namespace dandelioncrank
