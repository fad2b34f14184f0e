#pragma once

#include "dandelioncrank/manifest/configuration.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace dandelioncrank {

/// Data on one service that a gateway needs before it requests a slot.
struct service_route
{
    service_rule rule_;
    /// Name of a dependency that no endpoint serves, or empty.
    std::string missing_dependency_;
};

/// Read-only snapshot of the configuration for request processing.
struct routing_table
{
    zone_name zone_;
    std::uint64_t revision_ = 0;
    /// Whether this daemon has a sufficiently recent configuration.
    bool serving_ = false;
    bool stopping_ = false;
    std::unordered_map<std::string, service_route> services_;
};

/// Holds the current routing table. Reads are lock-free (read-copy-update);
/// each reading thread must hold an rcu_reader.
class rcu_routing_table
{
  public:
    rcu_routing_table();
    ~rcu_routing_table();

    rcu_routing_table(const rcu_routing_table&) = delete;
    rcu_routing_table& operator=(const rcu_routing_table&) = delete;

    /// Replaces the table and blocks until no thread reads the old one.
    void replace(std::unique_ptr<const routing_table> next);

    /// Calls the function with the table, which is valid only during the call.
    void read(const std::function<void(const routing_table&)>& use) const;

  private:
    std::atomic<const routing_table*> table_;
};

/// Registers the current thread as an RCU reader for its lifetime.
class rcu_reader
{
  public:
    rcu_reader();
    ~rcu_reader();

    rcu_reader(const rcu_reader&) = delete;
    rcu_reader& operator=(const rcu_reader&) = delete;
};

} // namespace dandelioncrank
