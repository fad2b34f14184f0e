#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/logging/part_log.hpp"
#include "dandelioncrank/node/node_settings.hpp"
#include "dandelioncrank/state/replicated_state.hpp"
#include "dandelioncrank/storage/voter_storage.hpp"
#include "peer_directory.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandelioncrank {

/// Runs this host's replica: its core, its disk and its copy of the state.
class consensus_host
{
  public:
    /// The reply of a committed command, or what is known instead.
    using answer_handler = std::function<void(state_answer)>;

    /// Opens the data folder. Throws storage_error.
    consensus_host(const node_settings& settings, peer_directory& peers);
    ~consensus_host();

    void receive(const consensus_message& message, instant now);
    void tick(instant now);

    /// Has a command committed; answers at once if this replica does not
    /// lead.
    void propose(const QByteArray& command, instant now,
                 answer_handler on_answer);

    bool replace_voter(const voter_name& old, const voter_name& next,
                       const std::string& address, instant now);
    void hand_over(instant now);

    [[nodiscard]] const replicated_state& state() const { return *state_; }
    [[nodiscard]] replica_status status() const;
    [[nodiscard]] log_index applied() const { return applied_; }
    [[nodiscard]] host_name leader() const;
    [[nodiscard]] bool is_leader() const;
    /// Why this voter has stopped; empty while it works.
    [[nodiscard]] const std::string& failure() const { return failure_; }

    /// Called after each change of the state.
    std::function<void()> on_applied_;

    [[nodiscard]] static host_name host_of(const voter_name& voter);

  private:
    struct waiting
    {
        term_number term_ = 0;
        instant deadline_;
        answer_handler on_answer_;
    };

    voter_name choose_identity(bool first) const;
    void drain(instant now);
    void drain_once(consensus_output output, instant now);
    void apply(const log_entry& entry);
    void expire(instant now);
    void fail(const std::string& reason);

    part_log log_{"voter"};
    const node_settings& settings_;
    peer_directory& peers_;
    std::unique_ptr<voter_storage> storage_;
    std::unique_ptr<consensus_core> core_;
    std::unique_ptr<replicated_state> state_;
    log_index applied_ = 0;
    std::map<log_index, waiting> waiting_;
    std::string failure_;
    replica_role last_role_ = replica_role::follower;
    bool draining_ = false;
};

} // namespace dandelioncrank
