// Log replication of consensus_core.
#include "dandelioncrank/consensus/consensus_core.hpp"

#include "dandelioncrank/core/invariant.hpp"
#include "replica_log.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// Limits of one append request.
constexpr std::size_t max_batch_entries = 256;
constexpr std::size_t max_batch_bytes = 1024 * 1024;

} // namespace

void consensus_core::append_local(entry_kind kind, QByteArray data, instant now)
{
    log_entry entry{log_->last_index() + 1, hard_.term_, kind, std::move(data)};
    output_.entries_.push_back(entry);
    log_->append(std::move(entry));
    if (kind == entry_kind::membership)
        update_peers(now);
    broadcast(now, false);
}

void consensus_core::broadcast(instant now, bool with_heartbeat)
{
    if (with_heartbeat) {
        ++round_;
        next_heartbeat_at_ = now + timing_.heartbeat_interval_;
    }
    std::vector<voter_name> targets;
    for (const auto& item : peers_)
        targets.push_back(item.first);
    for (const voter_name& name : targets) {
        const progress& peer = peers_.at(name);
        // Flow control: at most one batch is in flight per follower. It is
        // sent again with a later heartbeat if no reply arrives.
        if (with_heartbeat || !peer.in_flight_)
            send_append(name, now);
    }
}

void consensus_core::send_append(const voter_name& to, instant now)
{
    progress& peer = peers_.at(to);
    if (peer.next_ < log_->first_index()) {
        send_snapshot(to, peer, now);
        return;
    }
    append_request request;
    request.previous_index_ = peer.next_ - 1;
    request.previous_term_ = *log_->term_at(peer.next_ - 1);
    request.commit_ = commit_;
    request.round_ = round_;
    // A heartbeat that overtakes the reply to a batch does not repeat it.
    bool awaits_reply = peer.in_flight_last_ >= peer.next_ &&
                        now - peer.sent_at_ < timing_.heartbeat_interval_;
    // While probing, an empty request finds the point where the logs match.
    if (!peer.probing_ && !awaits_reply) {
        request.entries_ =
            log_->slice(peer.next_, max_batch_entries, max_batch_bytes);
        peer.in_flight_last_ =
            request.entries_.empty() ? 0 : request.entries_.back().index_;
        peer.sent_at_ = now;
    }
    // Entries need not wait for the reply to a request without any.
    peer.in_flight_ = peer.probing_ || peer.in_flight_last_ >= peer.next_;
    send(to, std::move(request));
}

void consensus_core::send_snapshot(const voter_name& to, progress& peer,
                                   instant now)
{
    bool sent_recently =
        peer.in_flight_ && now - peer.sent_at_ < timing_.election_timeout_;
    if (sent_recently) {
        // Sends a heartbeat so that the follower does not start an election
        // during the snapshot transfer.
        append_request heartbeat;
        heartbeat.previous_index_ = log_->base().index_;
        heartbeat.previous_term_ = log_->base().term_;
        heartbeat.commit_ = 0;
        heartbeat.round_ = round_;
        send(to, std::move(heartbeat));
        return;
    }
    peer.in_flight_ = true;
    peer.sent_at_ = now;
    send(to, snapshot_request{log_->base(), round_});
}

void consensus_core::handle(const append_request& request,
                            const consensus_message& message, instant now)
{
    require_invariant(!is_leader(), "a term must have at most one leader");
    become_follower(message.term_, message.from_, now);
    leader_contact_at_ = now;
    auto term = log_->term_at(request.previous_index_);
    bool matches = term && *term == request.previous_term_;
    // Entries covered by a snapshot are committed, so they match on all
    // replicas.
    if (request.previous_index_ < log_->base().index_)
        matches = true;
    if (fault_ == consensus_fault::skip_previous_entry_check &&
        request.previous_index_ <= log_->last_index())
        matches = true;
    if (!matches) {
        log_index retry =
            std::min(log_->last_index(), request.previous_index_ - 1);
        // Skips all entries of the conflicting term in one round trip.
        if (term) {
            while (retry > log_->base().index_ && log_->term_at(retry) == *term)
                --retry;
        }
        send(message.from_, append_reply{false, retry, request.round_});
        return;
    }
    append_entries(request);
    log_index last_received = request.previous_index_ + request.entries_.size();
    commit_to(std::min(request.commit_, last_received));
    log_index acknowledged = std::max(last_received, log_->base().index_);
    send(message.from_,
         append_reply{true, std::min(acknowledged, log_->last_index()),
                      request.round_});
}

void consensus_core::append_entries(const append_request& request)
{
    for (const log_entry& entry : request.entries_) {
        if (entry.index_ <= log_->base().index_)
            continue;
        auto local_term = log_->term_at(entry.index_);
        if (local_term && *local_term == entry.term_)
            continue;
        if (local_term) {
            require_invariant(entry.index_ > commit_,
                              "a committed entry must not be replaced");
            log_->truncate_from(entry.index_);
            std::erase_if(output_.entries_, [&entry](const log_entry& item) {
                return item.index_ >= entry.index_;
            });
            log_index from = entry.index_;
            if (output_.truncate_from_)
                from = std::min(from, *output_.truncate_from_);
            output_.truncate_from_ = from;
            persisted_index_ = std::min(persisted_index_, entry.index_ - 1);
        }
        output_.entries_.push_back(entry);
        log_->append(entry);
    }
}

void consensus_core::handle(const append_reply& reply,
                            const consensus_message& message, instant now)
{
    auto found = peers_.find(message.from_);
    if (!is_leader() || found == peers_.end())
        return;
    progress& peer = found->second;
    peer.last_contact_at_ = now;
    if (!reply.matched_ || reply.index_ >= peer.in_flight_last_) {
        peer.in_flight_ = false;
        peer.in_flight_last_ = 0;
    }
    peer.round_ = std::max(peer.round_, reply.round_);
    if (!reply.matched_) {
        if (reply.index_ + 1 < peer.next_) {
            peer.next_ = std::max(reply.index_ + 1, peer.match_ + 1);
            peer.probing_ = true;
        }
        send_append(message.from_, now);
        return;
    }
    peer.probing_ = false;
    peer.match_ = std::max(peer.match_, reply.index_);
    peer.next_ = std::max(peer.next_, peer.match_ + 1);
    confirm_reads();
    advance_commit(now);
    bool is_peer = is_leader() && peers_.contains(message.from_);
    if (is_peer && !peer.in_flight_ && peer.next_ <= log_->last_index())
        send_append(message.from_, now);
}

void consensus_core::advance_commit(instant now)
{
    std::vector<log_index> matches;
    for (const voter_name& voter : members().voters_) {
        if (voter == self_) {
            matches.push_back(persisted_index_);
            continue;
        }
        auto found = peers_.find(voter);
        matches.push_back(found == peers_.end() ? 0 : found->second.match_);
    }
    if (fault_ == consensus_fault::count_learners_in_quorum) {
        for (const voter_name& learner : members().learners_)
            matches.push_back(
                peers_.contains(learner) ? peers_.at(learner).match_ : 0);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    log_index quorum_index = matches[quorum() - 1];
    if (fault_ == consensus_fault::commit_without_quorum)
        quorum_index = matches.front();
    if (quorum_index <= commit_)
        return;
    // Entries of earlier terms are committed only through an entry of the
    // current term.
    bool is_current_term = log_->term_at(quorum_index) == hard_.term_ ||
                           fault_ == consensus_fault::commit_earlier_term;
    if (!is_current_term)
        return;
    commit_to(quorum_index);
    confirm_reads();
    bool removed = log_->members_index() <= commit_ && !is_voter(self_);
    // Sends the new commit index at once instead of with the next heartbeat.
    broadcast(now, false);
    if (removed)
        become_follower(hard_.term_, {}, now);
}

void consensus_core::commit_to(log_index index)
{
    for (log_index next = commit_ + 1; next <= index; ++next)
        output_.committed_.push_back(log_->at(next));
    commit_ = std::max(commit_, index);
}

void consensus_core::handle(const snapshot_request& request,
                            const consensus_message& message, instant now)
{
    become_follower(message.term_, message.from_, now);
    leader_contact_at_ = now;
    const log_snapshot& snapshot = request.snapshot_;
    if (snapshot.index_ <= commit_) {
        send(message.from_, append_reply{true, commit_, request.round_});
        return;
    }
    bool agrees = log_->term_at(snapshot.index_) == snapshot.term_;
    if (agrees && snapshot.index_ <= log_->last_index()) {
        log_->compact(snapshot);
    } else {
        log_->reset(snapshot);
        output_.truncate_from_ = snapshot.index_ + 1;
        output_.entries_.clear();
    }
    persisted_index_ = std::min(persisted_index_, log_->last_index());
    commit_ = snapshot.index_;
    output_.committed_.clear();
    output_.snapshot_ = snapshot;
    output_.restore_ = snapshot;
    send(message.from_, append_reply{true, snapshot.index_, request.round_});
}

void consensus_core::compact(log_index index, QByteArray state)
{
    if (index <= log_->base().index_ || index > commit_)
        return;
    log_snapshot snapshot;
    snapshot.index_ = index;
    snapshot.term_ = *log_->term_at(index);
    // The snapshot holds the membership as of its index; later membership
    // entries stay in the log.
    snapshot.members_ = log_->base().members_;
    for (log_index at = log_->first_index(); at <= index; ++at) {
        if (log_->at(at).kind_ == entry_kind::membership)
            snapshot.members_ = from_wire<membership>(log_->at(at).data_);
    }
    snapshot.state_ = std::move(state);
    log_->compact(snapshot);
    output_.snapshot_ = std::move(snapshot);
}

} // namespace dandelioncrank
