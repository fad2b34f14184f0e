#pragma once

#include "dandelioncrank/manifest/configuration.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace dandelioncrank {

/// What a gateway has to know of one service before it asks for a slot.
struct service_route
{
    service_rule rule_;
    /// A service that it depends on and that no endpoint serves.
    std::string missing_dependency_;
};

/// Read-only picture of the configuration for the path of a request.
struct routing_table
{
    zone_name zone_;
    std::uint64_t revision_ = 0;
    /// This daemon knows a configuration that is new enough.
    bool serving_ = false;
    bool stopping_ = false;
    std::unordered_map<std::string, service_route> services_;
};

/// The table in force. Readers take no lock (read-copy-update); each
/// reading thread registers itself once with a rcu_reader.
class rcu_routing_table
{
  public:
    rcu_routing_table();
    ~rcu_routing_table();

    rcu_routing_table(const rcu_routing_table&) = delete;
    rcu_routing_table& operator=(const rcu_routing_table&) = delete;

    /// Replaces the table and waits until nobody reads the old one.
    void replace(std::unique_ptr<const routing_table> next);

    /// Calls with the table; it must not be kept beyond the call.
    void read(const std::function<void(const routing_table&)>& use) const;

  private:
    std::atomic<const routing_table*> table_;
};

/// Registers the present thread as a reader while it lives.
class rcu_reader
{
  public:
    rcu_reader();
    ~rcu_reader();

    rcu_reader(const rcu_reader&) = delete;
    rcu_reader& operator=(const rcu_reader&) = delete;
};

} // namespace dandelioncrank
