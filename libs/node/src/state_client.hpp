#pragma once

#include "consensus_host.hpp"
#include "peer_directory.hpp"

#include <QObject>

namespace dandelioncrank {

/// How far a command got before the time was up.
enum class command_end
{
    committed,
    /// It was never taken by a leader.
    refused,
    /// It may still be committed; asking again is safe.
    unsure
};

struct command_outcome
{
    command_end end_ = command_end::refused;
    state_reply reply_;
};

/// Has commands committed from any daemon: finds the leader, and asks again
/// after lost answers. Every command may be asked for twice: the state
/// gives the same answer again.
class state_client : public QObject
{
  public:
    using handler = std::function<void(command_outcome)>;

    state_client(const node_settings& settings, peer_directory& peers,
                 consensus_host* own);

    void run(state_change change, duration limit, handler on_outcome);

  private:
    struct attempt
    {
        QByteArray command_;
        instant deadline_;
        handler on_outcome_;
        bool unsure_ = false;
    };

    void try_once(const std::shared_ptr<attempt>& item);
    void take_answer(const std::shared_ptr<attempt>& item,
                     const std::optional<state_answer>& answer);
    host_name choose_target();

    host_name self_;
    peer_directory& peers_;
    consensus_host* own_;
    host_name leader_;
    std::size_t next_voter_ = 0;
};

} // namespace dandelioncrank
