#include "fate_store.hpp"

namespace dandelioncrank {

fate_store::fate_store(std::size_t most) : most_(most) {}

void fate_store::record(const outcome_record& record)
{
    auto [found, fresh] = records_.insert_or_assign(record.id_, record);
    if (fresh)
        order_.push_back(record.id_);
    while (records_.size() > most_) {
        records_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<outcome_record> fate_store::find(const request_id& id) const
{
    auto found = records_.find(id);
    if (found == records_.end())
        return std::nullopt;
    return found->second;
}

} // namespace dandelioncrank
