#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/state/replicated_state.hpp"
#include "history_checker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::test {

struct cluster_options
{
    std::uint64_t seed_ = 1;
    int voters_ = 3;
    consensus_fault fault_ = consensus_fault::none;
    /// Messages lost and duplicated, per thousand.
    int lost_per_mille_ = 0;
    int duplicated_per_mille_ = 0;
    duration mean_delay_ = std::chrono::milliseconds(5);
    std::size_t snapshot_threshold_entries_ = 40;
    /// Messages, ticks and proposals reach a replica while its disk writes.
    bool has_disk_threads_ = false;
};

/// Simulated cluster in virtual time: replicas with in-memory disks on a
/// simulated network, and clients that submit, read and claim. Checks the
/// invariants of the whole cluster and throws std::logic_error or
/// invariant_violation on the first violation.
class fake_cluster
{
  public:
    explicit fake_cluster(cluster_options options);
    ~fake_cluster();

    void at(instant when, std::function<void()> action);
    void run_until(instant end);

    // Faults and repairs that take effect at the current time.
    void crash(int index);
    void restart(int index);
    void lose_disk(int index);
    /// Silently drops all messages from one host to another.
    void block_link(int from, int to);
    void heal();

    /// Submits a voter replacement to the current leader. Returns true if the
    /// leader has appended it or it is already pending.
    bool replace(int old, int next);
    int add_host();
    [[nodiscard]] bool is_voter(int index) const;
    [[nodiscard]] bool replacement_done(int old) const;
    void transfer_leadership();

    // Clients.
    void start_client(int client, instant stops_at);
    /// Starts one read at one host; its result, if any, is recorded in the
    /// history.
    void read_at(int index);

    /// Restarts all hosts, ends all faults and checks that the replicas
    /// converge and that no accepted change or granted claim is lost.
    void verify_convergence();

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] int hosts() const { return static_cast<int>(hosts_.size()); }
    [[nodiscard]] bool is_up(int index) const;
    [[nodiscard]] int leader() const;
    [[nodiscard]] std::size_t accepted() const { return accepted_.size(); }
    [[nodiscard]] term_number highest_term() const;
    [[nodiscard]] replica_status status(int index) const;
    [[nodiscard]] std::uint64_t snapshots_installed() const
    {
        return snapshots_installed_;
    }

  private:
    struct disk
    {
        hard_state hard_state_;
        log_snapshot snapshot_;
        std::vector<log_entry> entries_;
    };

    struct host
    {
        voter_name name_;
        disk disk_;
        std::unique_ptr<consensus_core> core_;
        std::unique_ptr<replicated_state> state_;
        log_index applied_ = 0;
        std::uint64_t revision_seen_ = 0;
        std::map<log_index, std::pair<term_number, std::uint64_t>>
            pending_proposals_;
        int incarnation_ = 0;
        bool is_storing_ = false;
    };

    struct operation
    {
        int client_ = 0;
        instant start_;
        state_change change_;
        bool is_read_ = false;
        bool done_ = false;
    };

    struct event
    {
        instant at_;
        std::uint64_t sequence_;
        std::function<void()> action_;

        bool operator<(const event& other) const;
    };

    /// Carries out an output that is on disk.
    void finish_output(int index, const consensus_output& output,
                       duration sync);
    void begin_store(int index, consensus_output output);
    void tick(int index, int incarnation);
    void process_output(int index);
    void store(host& target, const consensus_output& output);
    bool store_part_and_crash(int index, const consensus_output& output);
    void deliver(const consensus_message& message, duration extra);
    void apply(int index, const log_entry& entry);
    void check_committed(const log_entry& entry, const replicated_state& state);
    void check_leaders();

    void next_operation(int client);
    void try_operation(std::uint64_t number, int attempt);
    void finish(std::uint64_t number, const state_reply& reply);
    void finish_read(std::uint64_t number, int index);
    void record_submit(const operation& item, const submit_result& result);
    void record_claim(const operation& item, const claim_result& result);
    state_change make_change(int client);

    duration random_delay();
    bool chance(int per_mille);

    cluster_options options_;
    std::mt19937_64 random_;
    std::vector<host> hosts_;
    std::map<voter_name, int> index_;
    std::set<std::pair<int, int>> blocked_links_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    instant now_{std::chrono::hours(1)};

    std::map<term_number, voter_name> leaders_;
    std::map<log_index, std::uint64_t> committed_;
    std::map<log_index, std::uint64_t> state_hashes_;
    std::map<std::uint64_t, operation> operations_;
    std::map<std::uint64_t, std::uint64_t> read_tokens_;
    std::map<int, instant> clients_;
    std::map<std::uint64_t, std::string> accepted_;
    std::map<std::string, request_id> claim_holders_;
    std::vector<text_operation> history_;
    std::uint64_t next_number_ = 0;
    std::uint64_t next_token_ = 0;
    std::uint64_t known_version_ = 0;
    std::uint64_t known_revision_ = 0;
    std::uint64_t snapshots_installed_ = 0;
    bool faults_allowed_ = true;
};

} // namespace dandelioncrank::test
