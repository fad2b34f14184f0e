#include "fake_cluster.hpp"

#include "dandelioncrank/core/invariant.hpp"

#include <algorithm>
#include <stdexcept>
#include <tuple>

namespace dandelioncrank::test {

namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 20ms;
constexpr duration reply_timeout = 2s;

[[noreturn]] void fail(const std::string& what)
{
    throw std::logic_error(what);
}

} // namespace

bool fake_cluster::event::operator<(const event& other) const
{
    return std::tie(other.at_, other.sequence_) < std::tie(at_, sequence_);
}

fake_cluster::fake_cluster(cluster_options options)
    : options_(std::move(options)), random_(options_.seed_)
{
    membership members;
    for (int i = 0; i < options_.voters_; ++i) {
        int index = add_host();
        members.voters_.insert(hosts_[static_cast<std::size_t>(index)].name_);
    }
    for (host& item : hosts_)
        item.disk_.snapshot_.members_ = members;
    for (int i = 0; i < options_.voters_; ++i)
        restart(i);
}

fake_cluster::~fake_cluster() = default;

int fake_cluster::add_host()
{
    int index = hosts();
    host item;
    item.name_ = voter_name("v" + std::to_string(index));
    index_[item.name_] = index;
    hosts_.push_back(std::move(item));
    return index;
}

void fake_cluster::at(instant when, std::function<void()> action)
{
    events_.push({when, ++sequence_, std::move(action)});
}

void fake_cluster::run_until(instant end)
{
    while (!events_.empty() && events_.top().at_ <= end) {
        event next = events_.top();
        events_.pop();
        now_ = next.at_;
        next.action_();
    }
    now_ = end;
}

duration fake_cluster::random_delay()
{
    auto range = static_cast<std::uint64_t>(options_.mean_delay_.count()) * 2;
    return duration(static_cast<duration::rep>(random_() % (range + 1)));
}

bool fake_cluster::chance(int per_mille)
{
    return static_cast<int>(random_() % 1000) < per_mille;
}

bool fake_cluster::is_up(int index) const
{
    return hosts_[static_cast<std::size_t>(index)].core_ != nullptr;
}

int fake_cluster::leader() const
{
    int best = -1;
    term_number term = 0;
    for (int i = 0; i < hosts(); ++i) {
        if (!is_up(i) || !status(i).leader_.str().size())
            continue;
        replica_status item = status(i);
        if (item.role_ == replica_role::leader && item.term_ >= term) {
            best = i;
            term = item.term_;
        }
    }
    return best;
}

replica_status fake_cluster::status(int index) const
{
    return hosts_[static_cast<std::size_t>(index)].core_->status();
}

term_number fake_cluster::highest_term() const
{
    term_number highest = 0;
    for (int i = 0; i < hosts(); ++i) {
        if (is_up(i))
            highest = std::max(highest, status(i).term_);
    }
    return highest;
}

// --- Hosts

void fake_cluster::crash(int index)
{
    host& item = hosts_[static_cast<std::size_t>(index)];
    item.core_.reset();
    item.state_.reset();
    item.pending_proposals_.clear();
    item.is_storing_ = false;
    ++item.incarnation_;
}

void fake_cluster::restart(int index)
{
    if (is_up(index))
        return;
    host& item = hosts_[static_cast<std::size_t>(index)];
    persistent_state state{item.name_, item.disk_.hard_state_,
                           item.disk_.snapshot_, item.disk_.entries_};
    item.core_ = std::make_unique<consensus_core>(
        std::move(state), consensus_timing{}, random_(), now_, options_.fault_);
    item.state_ = std::make_unique<replicated_state>();
    item.applied_ = item.disk_.snapshot_.index_;
    // The revision may go back across a restart, but not within the lifetime
    // of a process.
    item.revision_seen_ = 0;
    ++item.incarnation_;
    process_output(index);
    tick(index, item.incarnation_);
}

void fake_cluster::lose_disk(int index)
{
    crash(index);
    hosts_[static_cast<std::size_t>(index)].disk_ = {};
}

void fake_cluster::block_link(int from, int to)
{
    blocked_links_.insert({from, to});
}

void fake_cluster::heal()
{
    blocked_links_.clear();
}

void fake_cluster::tick(int index, int incarnation)
{
    host& item = hosts_[static_cast<std::size_t>(index)];
    if (!item.core_ || item.incarnation_ != incarnation)
        return;
    item.core_->tick(now_);
    process_output(index);
    at(now_ + tick_interval,
       [this, index, incarnation] { tick(index, incarnation); });
}

void fake_cluster::store(host& target, const consensus_output& output)
{
    disk& disk_state = target.disk_;
    if (output.hard_state_)
        disk_state.hard_state_ = *output.hard_state_;
    if (output.snapshot_) {
        disk_state.snapshot_ = *output.snapshot_;
        std::erase_if(disk_state.entries_, [&](const log_entry& entry) {
            return entry.index_ <= output.snapshot_->index_;
        });
    }
    if (output.truncate_from_) {
        std::erase_if(disk_state.entries_, [&](const log_entry& entry) {
            return entry.index_ >= *output.truncate_from_;
        });
    }
    for (const log_entry& entry : output.entries_) {
        if (entry.index_ > disk_state.snapshot_.index_)
            disk_state.entries_.push_back(entry);
    }
}

// A crash during a write leaves a prefix of it on disk.
bool fake_cluster::store_part_and_crash(int index,
                                        const consensus_output& output)
{
    bool crashes = faults_allowed_ && output.needs_sync() && chance(2);
    if (!crashes)
        return false;
    consensus_output part;
    part.hard_state_ = output.hard_state_;
    if (chance(500)) {
        part.snapshot_ = output.snapshot_;
        part.truncate_from_ = output.truncate_from_;
        std::size_t kept = random_() % (output.entries_.size() + 1);
        part.entries_.assign(output.entries_.begin(),
                             output.entries_.begin() +
                                 static_cast<std::ptrdiff_t>(kept));
    }
    store(hosts_[static_cast<std::size_t>(index)], part);
    crash(index);
    at(now_ + 100ms + random_delay() * 100, [this, index] { restart(index); });
    return true;
}

void fake_cluster::process_output(int index)
{
    for (int turn = 0; turn < 100; ++turn) {
        host& item = hosts_[static_cast<std::size_t>(index)];
        if (!item.core_ || item.is_storing_)
            return;
        consensus_output output = item.core_->take_output();
        bool empty = !output.needs_sync() && output.messages_.empty() &&
                     output.committed_.empty() &&
                     output.confirmed_reads_.empty() &&
                     output.failed_reads_.empty() && !output.restore_;
        if (empty)
            break;
        if (store_part_and_crash(index, output))
            return;
        if (options_.has_disk_threads_ && output.needs_sync()) {
            begin_store(index, std::move(output));
            break;
        }
        store(item, output);
        duration sync = output.needs_sync() ? random_delay() / 4 : duration();
        finish_output(index, output, sync);
    }
    check_leaders();
}

void fake_cluster::begin_store(int index, consensus_output output)
{
    host& item = hosts_[static_cast<std::size_t>(index)];
    for (const consensus_message& message : output.take_messages_before_sync())
        deliver(message, duration::zero());
    item.is_storing_ = true;
    int incarnation = item.incarnation_;
    // A crash before the end of the write loses it.
    at(now_ + random_delay(),
       [this, index, incarnation, output = std::move(output)] {
           host& writer = hosts_[static_cast<std::size_t>(index)];
           if (!writer.core_ || writer.incarnation_ != incarnation)
               return;
           writer.is_storing_ = false;
           store(writer, output);
           finish_output(index, output, duration::zero());
           process_output(index);
       });
}

void fake_cluster::finish_output(int index, const consensus_output& output,
                                 duration sync)
{
    host& item = hosts_[static_cast<std::size_t>(index)];
    for (const consensus_message& message : output.messages_)
        deliver(message, sync);
    if (output.restore_) {
        item.state_->restore(output.restore_->state_);
        item.applied_ = output.restore_->index_;
        ++snapshots_installed_;
    }
    for (const log_entry& entry : output.committed_)
        apply(index, entry);
    for (const confirmed_read& read : output.confirmed_reads_) {
        auto found = read_tokens_.find(read.token_);
        if (found != read_tokens_.end() && item.applied_ >= read.index_)
            finish_read(found->second, index);
    }
    if (item.core_->log_size() > options_.snapshot_threshold_entries_)
        item.core_->compact(item.applied_, item.state_->snapshot());
    item.core_->persisted(output.last_index_, now_);
}

void fake_cluster::deliver(const consensus_message& message, duration extra)
{
    auto from = index_.find(message.from_);
    auto to = index_.find(message.to_);
    if (from == index_.end() || to == index_.end())
        return;
    int source = from->second;
    int target = to->second;
    if (blocked_links_.contains({source, target}) ||
        chance(options_.lost_per_mille_))
        return;
    int copies = chance(options_.duplicated_per_mille_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        // Messages pass through the codec, as between real hosts.
        QByteArray bytes = to_wire(message);
        at(now_ + extra + random_delay(), [this, target, bytes] {
            host& item = hosts_[static_cast<std::size_t>(target)];
            if (!item.core_)
                return;
            item.core_->receive(from_wire<consensus_message>(bytes), now_);
            process_output(target);
        });
    }
}

// --- Cluster invariants

void fake_cluster::check_leaders()
{
    for (int i = 0; i < hosts(); ++i) {
        if (!is_up(i))
            continue;
        replica_status item = status(i);
        if (item.role_ != replica_role::leader)
            continue;
        auto [found, fresh] = leaders_.try_emplace(item.term_, item.self_);
        if (found->second != item.self_)
            fail("term " + std::to_string(item.term_) + " has two leaders");
    }
}

void fake_cluster::check_committed(const log_entry& entry,
                                   const replicated_state& state)
{
    QByteArray bytes = to_wire(entry);
    std::uint64_t hash = stable_hash(
        {bytes.constData(), static_cast<std::size_t>(bytes.size())});
    auto [found, fresh] = committed_.try_emplace(entry.index_, hash);
    if (found->second != hash)
        fail("index " + std::to_string(entry.index_) +
             " was committed with two different entries");
    // Hashing covers the whole state, so only every 32nd index is checked.
    if (entry.index_ % 32 != 0)
        return;
    std::uint64_t after = state.hash();
    auto [known, first] = state_hashes_.try_emplace(entry.index_, after);
    if (known->second != after)
        fail("replica states differ after index " +
             std::to_string(entry.index_));
}

void fake_cluster::apply(int index, const log_entry& entry)
{
    host& item = hosts_[static_cast<std::size_t>(index)];
    if (entry.index_ != item.applied_ + 1)
        fail("log entry was applied out of order");
    item.applied_ = entry.index_;
    state_reply reply;
    if (entry.kind_ == entry_kind::command)
        reply = item.state_->apply(from_wire<state_command>(entry.data_));
    check_committed(entry, *item.state_);
    std::uint64_t revision = item.state_->config().revision();
    if (revision < item.revision_seen_)
        fail("configuration revision went back within one process");
    item.revision_seen_ = revision;
    auto found = item.pending_proposals_.find(entry.index_);
    if (found == item.pending_proposals_.end())
        return;
    auto [term, number] = found->second;
    item.pending_proposals_.erase(found);
    if (term == entry.term_)
        finish(number, reply);
}

// --- Operators

bool fake_cluster::replace(int old, int next)
{
    int leader_index = leader();
    if (leader_index < 0)
        return false;
    host& item = hosts_[static_cast<std::size_t>(leader_index)];
    bool accepted = item.core_->replace_voter(
        hosts_[static_cast<std::size_t>(old)].name_,
        hosts_[static_cast<std::size_t>(next)].name_, "", now_);
    process_output(leader_index);
    return accepted;
}

bool fake_cluster::is_voter(int index) const
{
    int leader_index = leader();
    return leader_index >= 0 &&
           status(leader_index)
               .members_.voters_.contains(
                   hosts_[static_cast<std::size_t>(index)].name_);
}

bool fake_cluster::replacement_done(int old) const
{
    int leader_index = leader();
    return leader_index >= 0 && !is_voter(old) &&
           !status(leader_index).members_.replacement_;
}

void fake_cluster::transfer_leadership()
{
    int leader_index = leader();
    if (leader_index < 0)
        return;
    hosts_[static_cast<std::size_t>(leader_index)].core_->transfer_leadership(
        now_);
    process_output(leader_index);
}

// --- Clients

void fake_cluster::start_client(int client, instant stops_at)
{
    clients_[client] = stops_at;
    next_operation(client);
}

void fake_cluster::read_at(int index)
{
    std::uint64_t number = ++next_number_;
    operation item;
    item.client_ = -1;
    item.start_ = now_;
    item.is_read_ = true;
    operations_[number] = item;
    clients_[-1] = instant::min();
    std::uint64_t token = ++next_token_;
    read_tokens_[token] = number;
    hosts_[static_cast<std::size_t>(index)].core_->request_read(token, now_);
    process_output(index);
}

state_change fake_cluster::make_change(int client)
{
    std::string number = std::to_string(next_number_);
    if (random_() % 3 == 0) {
        acquire_claim claim;
        claim.key_ = "k" + std::to_string(random_() % 20);
        claim.request_ = request_id("q" + number);
        claim.host_ = host_name("c" + std::to_string(client));
        claim.digest_ = 1;
        return claim;
    }
    submit_config submit;
    submit.request_ = request_id("q" + number);
    submit.author_ = "c" + std::to_string(client);
    submit.checked_revision_ = known_revision_;
    submit.change_ = {"leon", known_version_, {"leon.yaml", "body" + number}};
    return submit;
}

void fake_cluster::next_operation(int client)
{
    if (now_ >= clients_[client])
        return;
    std::uint64_t number = ++next_number_;
    operation item;
    item.client_ = client;
    item.start_ = now_;
    item.is_read_ = random_() % 4 == 0;
    item.change_ = make_change(client);
    operations_[number] = item;
    try_operation(number, 1);
}

// A retry goes to any host with the same request id.
void fake_cluster::try_operation(std::uint64_t number, int attempt)
{
    operation& item = operations_.at(number);
    if (item.done_)
        return;
    int client = item.client_;
    if (attempt > 8) {
        item.done_ = true;
        at(now_ + 10ms, [this, client] { next_operation(client); });
        return;
    }
    int index = leader();
    if (index < 0 || random_() % 4 == 0)
        index = static_cast<int>(random_() % hosts_.size());
    host& target = hosts_[static_cast<std::size_t>(index)];
    bool sent = false;
    if (target.core_ && item.is_read_) {
        std::uint64_t token = ++next_token_;
        read_tokens_[token] = number;
        sent = target.core_->request_read(token, now_);
        process_output(index);
    } else if (target.core_) {
        state_command command{std::chrono::sys_seconds(10000s), item.change_};
        auto proposed_index = target.core_->propose(to_wire(command), now_);
        sent = proposed_index.has_value();
        if (proposed_index)
            target.pending_proposals_[*proposed_index] = {
                target.core_->status().term_, number};
        process_output(index);
    }
    duration wait = sent ? reply_timeout : 100ms;
    at(now_ + wait,
       [this, number, attempt] { try_operation(number, attempt + 1); });
}

void fake_cluster::finish(std::uint64_t number, const state_reply& reply)
{
    operation& item = operations_.at(number);
    if (item.done_)
        return;
    const auto* submit = std::get_if<submit_result>(&reply);
    if (submit != nullptr && submit->outcome_ == submit_outcome::stale_check) {
        auto& change = std::get<submit_config>(item.change_);
        change.checked_revision_ = submit->revision_;
        return;
    }
    item.done_ = true;
    if (submit != nullptr)
        record_submit(item, *submit);
    if (const auto* claim = std::get_if<claim_result>(&reply))
        record_claim(item, *claim);
    int client = item.client_;
    at(now_ + random_delay() * 4, [this, client] { next_operation(client); });
}

void fake_cluster::record_submit(const operation& item,
                                 const submit_result& result)
{
    const auto& change = std::get<submit_config>(item.change_);
    known_version_ = std::max(known_version_, result.version_);
    known_revision_ = std::max(known_revision_, result.revision_);
    text_operation entry;
    entry.start_ = item.start_;
    entry.end_ = now_;
    entry.version_ = result.version_;
    if (result.outcome_ == submit_outcome::accepted) {
        entry.kind_ = text_operation::kind::write;
        entry.body_ = change.change_.text_.body_;
        accepted_[result.version_] = entry.body_;
    } else {
        // A cached result may be older than this attempt, so the body of its
        // version is not known.
        entry.body_known_ = false;
    }
    history_.push_back(entry);
}

void fake_cluster::record_claim(const operation& item,
                                const claim_result& result)
{
    const auto& claim = std::get<acquire_claim>(item.change_);
    if (result.outcome_ != claim_outcome::granted)
        return;
    auto [found, fresh] =
        claim_holders_.try_emplace(claim.key_, claim.request_);
    if (found->second != claim.request_)
        fail("key " + claim.key_ + " was granted to two requests");
}

void fake_cluster::finish_read(std::uint64_t number, int index)
{
    operation& item = operations_.at(number);
    if (item.done_)
        return;
    item.done_ = true;
    const config_store& config =
        hosts_[static_cast<std::size_t>(index)].state_->config();
    text_operation entry;
    entry.start_ = item.start_;
    entry.end_ = now_;
    auto found = config.texts().find("leon");
    if (found != config.texts().end()) {
        entry.version_ = found->second.version_;
        entry.body_ = found->second.text_.body_;
    }
    history_.push_back(entry);
    int client = item.client_;
    at(now_ + random_delay() * 4, [this, client] { next_operation(client); });
}

// --- End of a run

void fake_cluster::verify_convergence()
{
    faults_allowed_ = false;
    options_.lost_per_mille_ = 0;
    heal();
    for (int i = 0; i < hosts(); ++i)
        restart(i);
    instant deadline = now_ + 60s;
    auto converged = [this] {
        int leader_index = leader();
        if (leader_index < 0)
            return false;
        replica_status leader_status = status(leader_index);
        for (int i = 0; i < hosts(); ++i) {
            replica_status item = status(i);
            bool is_voter = leader_status.members_.voters_.contains(item.self_);
            if (is_voter && (item.commit_ != leader_status.last_index_ ||
                             item.term_ != leader_status.term_))
                return false;
        }
        return true;
    };
    while (!converged()) {
        if (now_ >= deadline)
            fail(
                "replicas did not converge within 60 s after all faults ended");
        run_until(now_ + 100ms);
    }
    const config_store& config =
        hosts_[static_cast<std::size_t>(leader())].state_->config();
    auto text = config.texts().find("leon");
    std::uint64_t version =
        text == config.texts().end() ? 0 : text->second.version_;
    if (!accepted_.empty() && accepted_.rbegin()->first > version)
        fail("an accepted change was lost");
    for (const auto& [key, request] : claim_holders_) {
        auto stored =
            hosts_[static_cast<std::size_t>(leader())].state_->claims().find(
                key);
        if (!stored || stored->request_ != request)
            fail("a granted claim was lost");
    }
    std::vector<unacknowledged_write> unacknowledged;
    for (const auto& [number, item] : operations_) {
        const auto* submit = std::get_if<submit_config>(&item.change_);
        if (submit != nullptr && !item.is_read_)
            unacknowledged.push_back(
                {item.start_, submit->change_.text_.body_});
    }
    if (auto fault = check_text_history(history_, unacknowledged))
        fail("history: " + *fault);
}

} // namespace dandelioncrank::test
