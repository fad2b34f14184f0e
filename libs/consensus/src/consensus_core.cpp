#include "dandelioncrank/consensus/consensus_core.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "replica_log.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// A learner may become a voter when it lacks at most this many entries.
constexpr log_index catch_up_distance = 16;

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

consensus_core::consensus_core(replica_start start, consensus_timing timing,
                               std::uint64_t seed, instant now,
                               consensus_fault fault)
    : self_(std::move(start.self_)), timing_(timing), fault_(fault),
      random_(seed), hard_(std::move(start.hard_state_))
{
    commit_ = start.snapshot_.index_;
    bool has_state = start.snapshot_.index_ > 0;
    if (has_state)
        output_.restore_ = start.snapshot_;
    log_ = std::make_unique<replica_log>(std::move(start.snapshot_),
                                         std::move(start.entries_));
    persisted_ = log_->last_index();
    reset_election_timer(now);
}

consensus_core::~consensus_core() = default;

const membership& consensus_core::members() const
{
    return log_->members();
}

bool consensus_core::is_voter(const voter_name& who) const
{
    return members().voters_.contains(who);
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
    consensus_output taken = std::move(output_);
    output_ = {};
    if (fault_ == consensus_fault::vote_not_synced)
        taken.hard_state_.reset();
    if (fault_ == consensus_fault::append_not_synced && !is_leader())
        taken.entries_.clear();
    return taken;
}

void consensus_core::persisted(instant now)
{
    persisted_ = log_->last_index();
    if (is_leader())
        advance_commit(now);
}

// --- Elections

void consensus_core::reset_election_timer(instant now)
{
    auto spread = static_cast<std::uint64_t>(timing_.election_.count());
    auto extra = static_cast<duration::rep>(random_() % spread);
    election_at_ = now + timing_.election_ + duration(extra);
}

bool consensus_core::has_recent_leader(instant now) const
{
    if (is_leader())
        return true;
    return !leader_.empty() && now - leader_heard_at_ < timing_.election_;
}

void consensus_core::become_follower(term_number term, const voter_name& leader,
                                     instant now)
{
    bool led = is_leader();
    if (term > hard_.term_) {
        hard_.term_ = term;
        hard_.voted_for_ = {};
        save_hard_state();
    }
    role_ = replica_role::follower;
    leader_ = leader;
    pre_voting_ = false;
    handing_over_ = false;
    granted_.clear();
    if (led)
        fail_reads();
    reset_election_timer(now);
}

void consensus_core::tick(instant now)
{
    if (is_leader()) {
        check_quorum(now);
        if (is_leader() && now >= heartbeat_at_)
            broadcast(now, true);
        if (is_leader())
            continue_replacement(now);
        return;
    }
    if (now < election_at_)
        return;
    if (is_voter(self_))
        campaign(true, false, now);
    else
        reset_election_timer(now);
}

// A pre-vote asks whether an election could be won, without raising the
// term: a replica that was cut off does not disturb the others on return.
void consensus_core::campaign(bool pre_vote, bool handover, instant now)
{
    role_ = replica_role::candidate;
    leader_ = {};
    pre_voting_ = pre_vote;
    granted_ = {self_};
    reset_election_timer(now);
    if (!pre_vote) {
        ++hard_.term_;
        hard_.voted_for_ = self_;
        save_hard_state();
    }
    if (granted_.size() >= quorum()) {
        if (pre_vote)
            campaign(false, handover, now);
        else
            become_leader(now);
        return;
    }
    vote_request request{log_->last_index(), log_->last_term(), pre_vote,
                         handover};
    for (const voter_name& voter : members().voters_) {
        if (voter != self_)
            send(voter, request);
    }
}

bool consensus_core::may_vote_for(const vote_request& request,
                                  const consensus_message& message,
                                  instant now) const
{
    if (!request.handover_ && has_recent_leader(now))
        return false;
    bool log_is_current = std::pair(request.last_term_, request.last_index_) >=
                          std::pair(log_->last_term(), log_->last_index());
    if (fault_ == consensus_fault::no_log_check_in_votes)
        log_is_current = true;
    if (!log_is_current)
        return false;
    if (request.pre_vote_)
        return message.term_ >= hard_.term_;
    return message.term_ == hard_.term_ &&
           (hard_.voted_for_.empty() || hard_.voted_for_ == message.from_ ||
            fault_ == consensus_fault::no_memory_of_votes);
}

void consensus_core::handle(const vote_request& request,
                            const consensus_message& message, instant now)
{
    bool granted = may_vote_for(request, message, now);
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
                    reply.asked_term_ == hard_.term_ && reply.granted_ &&
                    is_voter(message.from_);
    if (!relevant)
        return;
    granted_.insert(message.from_);
    if (granted_.size() < quorum())
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
    handing_over_ = false;
    peers_.clear();
    quorum_checked_at_ = now;
    track_members(now);
    // An entry of this term has to commit before older ones count as such.
    term_start_ = log_->last_index() + 1;
    append_own(entry_kind::empty, {}, now);
}

// A leader that a quorum no longer answers steps down, so that it neither
// answers reads nor keeps callers waiting.
void consensus_core::check_quorum(instant now)
{
    if (now - quorum_checked_at_ < timing_.election_)
        return;
    quorum_checked_at_ = now;
    // A successor that has not taken over by now does not want to.
    handing_over_ = false;
    std::size_t heard = is_voter(self_) ? 1 : 0;
    for (const auto& [name, peer] : peers_) {
        heard += is_voter(name) && now - peer.heard_at_ <= timing_.election_;
    }
    if (heard < quorum())
        become_follower(hard_.term_, {}, now);
}

void consensus_core::handle(const election_request&,
                            const consensus_message& message, instant now)
{
    if (message.term_ == hard_.term_ && is_voter(self_))
        campaign(false, true, now);
}

void consensus_core::hand_over(instant now)
{
    if (!is_leader() || handing_over_)
        return;
    const voter_name* best = nullptr;
    log_index most = 0;
    for (const auto& [name, peer] : peers_) {
        if (is_voter(name) && (best == nullptr || peer.match_ > most)) {
            best = &name;
            most = peer.match_;
        }
    }
    if (best == nullptr || most < log_->last_index())
        return;
    handing_over_ = true;
    send(*best, election_request{});
    // Proposals are refused until the next leader or the next election.
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
    // While a leader is heard, higher terms of others are not taken over.
    bool disturbs =
        vote != nullptr && !vote->handover_ && has_recent_leader(now);
    if (message.term_ > hard_.term_ && !pre_vote && !disturbs)
        become_follower(message.term_, {}, now);
    // A voter that is behind grants a pre-vote under its own, older term.
    bool pre_vote_reply = reply != nullptr && reply->pre_vote_;
    if (message.term_ < hard_.term_ && !pre_vote_reply) {
        // Tells a replica with an old term about the newer one.
        bool asks = vote != nullptr ||
                    std::holds_alternative<append_request>(message.payload_) ||
                    std::holds_alternative<snapshot_request>(message.payload_);
        if (asks && vote != nullptr)
            send(message.from_,
                 vote_reply{false, vote->pre_vote_, message.term_});
        else if (asks)
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
    if (!is_leader() || handing_over_)
        return std::nullopt;
    append_own(entry_kind::command, std::move(command), now);
    return log_->last_index();
}

bool consensus_core::request_read(std::uint64_t token, instant now)
{
    if (!is_leader())
        return false;
    if (fault_ == consensus_fault::read_without_quorum) {
        if (commit_ < term_start_)
            return false;
        output_.reads_.push_back({token, commit_});
        return true;
    }
    // The last entry is of this term, so once it commits, the commit index is
    // known; and the read comes after all that was proposed before it.
    reads_.push_back({token, round_ + 1, log_->last_index()});
    broadcast(now, true);
    answer_reads();
    return true;
}

void consensus_core::answer_reads()
{
    std::erase_if(reads_, [this](const pending_read& read) {
        std::size_t confirmed = is_voter(self_) ? 1 : 0;
        for (const auto& [name, peer] : peers_)
            confirmed += is_voter(name) && peer.round_ >= read.round_;
        if (confirmed < quorum() || commit_ < read.index_)
            return false;
        output_.reads_.push_back({read.token_, read.index_});
        return true;
    });
}

void consensus_core::fail_reads()
{
    for (const pending_read& read : reads_)
        output_.failed_reads_.push_back(read.token_);
    reads_.clear();
}

// --- Membership

bool consensus_core::may_change_members() const
{
    if (!is_leader() || handing_over_ || commit_ < term_start_)
        return false;
    return log_->members_index() <= commit_ ||
           fault_ == consensus_fault::two_membership_changes;
}

bool consensus_core::change_members(membership next, instant now)
{
    if (!may_change_members())
        return false;
    append_own(entry_kind::membership, to_wire(next), now);
    return true;
}

bool consensus_core::add_learner(const voter_name& who,
                                 const std::string& address, instant now)
{
    if (is_voter(who) || members().learners_.contains(who))
        return true;
    membership next = members();
    next.learners_.insert(who);
    next.addresses_[who] = address;
    return change_members(std::move(next), now);
}

bool consensus_core::has_caught_up(const voter_name& who) const
{
    auto found = peers_.find(who);
    return found != peers_.end() &&
           found->second.match_ + catch_up_distance >= log_->last_index();
}

bool consensus_core::promote_learner(const voter_name& who, instant now)
{
    if (is_voter(who))
        return true;
    bool ready = members().learners_.contains(who) &&
                 (has_caught_up(who) ||
                  fault_ == consensus_fault::skip_learner_catch_up);
    if (!ready)
        return false;
    membership next = members();
    next.learners_.erase(who);
    next.voters_.insert(who);
    return change_members(std::move(next), now);
}

bool consensus_core::remove_member(const voter_name& who, instant now)
{
    membership next = members();
    bool known = next.voters_.erase(who) + next.learners_.erase(who) > 0;
    if (!known)
        return true;
    if (next.voters_.empty())
        return false;
    next.addresses_.erase(who);
    // A successor that is taken away before it votes ends its replacement.
    if (next.replacement_ && next.replacement_->new_ == who)
        next.replacement_.reset();
    return change_members(std::move(next), now);
}

bool consensus_core::replace_voter(const voter_name& old,
                                   const voter_name& next,
                                   const std::string& address, instant now)
{
    if (members().replacement_)
        return members().replacement_->old_ == old &&
               members().replacement_->new_ == next;
    if (!is_voter(old))
        return false;
    membership changed = members();
    changed.replacement_ = {old, next};
    if (!is_voter(next))
        changed.learners_.insert(next);
    changed.addresses_[next] = address;
    return change_members(std::move(changed), now);
}

// The new voter votes before the old one is taken away: at no moment does
// the group stand with fewer voters than before.
void consensus_core::continue_replacement(instant now)
{
    if (!members().replacement_ || !may_change_members())
        return;
    voter_replacement plan = *members().replacement_;
    if (!is_voter(plan.new_)) {
        promote_learner(plan.new_, now);
        return;
    }
    membership next = members();
    next.voters_.erase(plan.old_);
    next.addresses_.erase(plan.old_);
    next.replacement_.reset();
    change_members(std::move(next), now);
}

void consensus_core::track_members(instant now)
{
    std::set<voter_name> others = members().voters_;
    others.insert(members().learners_.begin(), members().learners_.end());
    others.erase(self_);
    std::erase_if(peers_, [&others](const auto& item) {
        return !others.contains(item.first);
    });
    for (const voter_name& name : others) {
        auto [found, fresh] = peers_.try_emplace(name);
        if (!fresh)
            continue;
        found->second.next_ = log_->last_index() + 1;
        found->second.heard_at_ = now;
    }
}

// --- Status

std::optional<instant> consensus_core::heard_at(const voter_name& who) const
{
    auto found = peers_.find(who);
    if (!is_leader() || found == peers_.end())
        return std::nullopt;
    return found->second.heard_at_;
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
                      "nothing beyond the log is committed");
    require_invariant(commit_ >= log_->base().index_,
                      "a snapshot holds committed entries only");
    require_invariant(!is_leader() || leader_ == self_,
                      "a leader knows that it leads");
}

} // namespace dandelioncrank
