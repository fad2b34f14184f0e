#pragma once

#include "dandelioncrank/node/node_settings.hpp"
#include "dandelioncrank/replica/replica.hpp"
#include "dandelioncrank/state/replicated_state.hpp"
#include "peer_directory.hpp"

#include <functional>
#include <memory>
#include <string>

namespace dandelioncrank {

/// Adapts replicated_state to the state machine interface of replica. Commands
/// are encoded state_command messages.
class state_machine
{
  public:
    using reply = state_reply;

    reply apply(const QByteArray& command)
    {
        return state_.apply(from_wire<state_command>(command));
    }

    [[nodiscard]] QByteArray snapshot() const { return state_.snapshot(); }
    void restore(const QByteArray& bytes) { state_.restore(bytes); }

    [[nodiscard]] const replicated_state& state() const { return state_; }

  private:
    replicated_state state_;
};

/// This host's replica of the replicated state. The settings name the initial
/// members.
class state_replica
{
  public:
    /// Receives the reply of a committed command, or the status if it was not
    /// committed.
    using response_handler = std::function<void(state_response)>;

    /// Opens the data directory. Throws storage_error.
    state_replica(const node_settings& settings, peer_directory& peers);
    ~state_replica();

    void receive(const consensus_message& message, instant now);
    void tick(instant now);

    /// Proposes a command. Responds at once if this replica is not the
    /// leader.
    void propose(const QByteArray& command, instant now,
                 response_handler on_response);

    /// Linearizable read: calls the handler once the state reflects every
    /// command committed before this call; `granted` is false if this replica
    /// is not the leader or cannot reach a quorum.
    void read(instant now, std::function<void(bool granted)> on_answer);

    bool replace_voter(const voter_name& old, const voter_name& next,
                       const std::string& address, instant now);
    void transfer_leadership(instant now);

    [[nodiscard]] const replicated_state& state() const
    {
        return replica_->machine().state();
    }
    [[nodiscard]] replica_status status() const;
    [[nodiscard]] log_index applied() const { return replica_->applied(); }
    [[nodiscard]] host_name leader() const;
    [[nodiscard]] bool is_leader() const { return replica_->is_leader(); }
    /// Reason why this voter has stopped; empty while it runs.
    [[nodiscard]] const std::string& failure() const
    {
        return replica_->failure();
    }

    /// Called after each change of the state.
    std::function<void()> on_applied_;

    [[nodiscard]] static host_name host_of(const voter_name& voter);

  private:
    std::unique_ptr<replica<state_machine>> replica_;
};

} // namespace dandelioncrank
