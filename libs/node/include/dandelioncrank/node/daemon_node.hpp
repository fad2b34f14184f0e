#pragma once

#include "dandelioncrank/node/node_settings.hpp"

#include <functional>
#include <memory>

namespace dandelioncrank {

/// One daemon: everything that its roles need, in the thread that creates
/// it, plus the threads that serve callers.
class daemon_node
{
  public:
    /// Throws std::system_error, storage_error or findings_error.
    explicit daemon_node(const node_settings& settings);
    ~daemon_node();

    daemon_node(const daemon_node&) = delete;
    daemon_node& operator=(const daemon_node&) = delete;

    /// Begins the planned stop; on_done is called once nothing is in flight
    /// or the stop time is over.
    void begin_stop(std::function<void()> on_done);

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank
