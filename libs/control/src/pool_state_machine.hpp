#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <vector>

namespace dandelioncrank::control {

/// Adapts the pool's state to the state machine of a replica; a command is a
/// pool_batch.
class pool_state_machine
{
  public:
    using reply = std::vector<pool::pool_reply>;

    reply apply(const QByteArray& command)
    {
        reply replies;
        for (const pool::pool_command& item :
             from_wire<pool::pool_batch>(command))
            replies.push_back(state_.apply(item));
        return replies;
    }

    [[nodiscard]] QByteArray snapshot() const { return state_.snapshot(); }
    void restore(const QByteArray& bytes) { state_.restore(bytes); }

    [[nodiscard]] const pool::pool_state& state() const { return state_; }

  private:
    pool::pool_state state_;
};

} // namespace dandelioncrank::control
