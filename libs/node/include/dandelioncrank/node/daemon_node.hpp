#pragma once

#include "dandelioncrank/node/node_settings.hpp"

#include <functional>
#include <memory>

namespace dandelioncrank {

/// One daemon with the components of its roles. They run in the thread that
/// creates the daemon; callers are served by additional threads.
class daemon_node
{
  public:
    /// Throws std::system_error, storage_error or findings_error.
    explicit daemon_node(const node_settings& settings);
    ~daemon_node();

    daemon_node(const daemon_node&) = delete;
    daemon_node& operator=(const daemon_node&) = delete;

    /// Starts a graceful shutdown. Calls on_done once no requests are in
    /// flight or the stop time has elapsed.
    void begin_stop(std::function<void()> on_done);

  private:
    class implementation;

    std::unique_ptr<implementation> implementation_;
};

} // namespace dandelioncrank
