#pragma once

#include "peer_directory.hpp"
#include "state_replica.hpp"

#include <QObject>

namespace dandelioncrank {

/// Status of a command when it finished or its time limit elapsed.
enum class command_status
{
    committed,
    /// No leader accepted the command.
    rejected,
    /// The command may still be committed; retrying is safe.
    unknown
};

struct command_outcome
{
    command_status status_ = command_status::rejected;
    state_reply reply_;
};

/// Commits commands from any daemon: finds the leader and retries when a
/// response is lost. A command may be proposed more than once; commands are
/// idempotent, and the state gives the same reply again.
class state_client : public QObject
{
  public:
    using handler = std::function<void(command_outcome)>;

    state_client(const node_settings& settings, peer_directory& peers,
                 state_replica* local_replica);

    void execute(state_change change, duration limit, handler on_outcome);

  private:
    struct pending_command
    {
        QByteArray command_;
        instant deadline_;
        handler on_outcome_;
        bool may_be_committed_ = false;
    };

    void try_send(const std::shared_ptr<pending_command>& item);
    void handle_response(const std::shared_ptr<pending_command>& item,
                         const std::optional<state_response>& response);
    host_name choose_target();

    host_name self_;
    peer_directory& peers_;
    state_replica* local_replica_;
    host_name leader_;
    std::size_t next_voter_ = 0;
};

} // namespace dandelioncrank
