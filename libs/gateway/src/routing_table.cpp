#include "dandelioncrank/gateway/routing_table.hpp"

#include <urcu/urcu-memb.h>

namespace dandelioncrank {

rcu_routing_table::rcu_routing_table() : table_(new routing_table) {}

rcu_routing_table::~rcu_routing_table()
{
    delete table_.load();
}

void rcu_routing_table::replace(std::unique_ptr<const routing_table> next)
{
    const routing_table* old = table_.exchange(next.release());
    urcu_memb_synchronize_rcu();
    delete old;
}

void rcu_routing_table::read(
    const std::function<void(const routing_table&)>& use) const
{
    urcu_memb_read_lock();
    use(*table_.load(std::memory_order_acquire));
    urcu_memb_read_unlock();
}

rcu_reader::rcu_reader()
{
    urcu_memb_register_thread();
}

rcu_reader::~rcu_reader()
{
    urcu_memb_unregister_thread();
}

} // namespace dandelioncrank
