#include "outcome_store.hpp"

namespace dandelioncrank {

outcome_store::outcome_store(std::size_t max_value) : capacity_(max_value) {}

void outcome_store::record(const outcome_record& record)
{
    auto [found, inserted] = records_.insert_or_assign(record.id_, record);
    if (inserted)
        request_.push_back(record.id_);
    while (records_.size() > capacity_) {
        records_.erase(request_.front());
        request_.pop_front();
    }
}

std::optional<outcome_record> outcome_store::find(const request_id& id) const
{
    auto found = records_.find(id);
    if (found == records_.end())
        return std::nullopt;
    return found->second;
}

} // namespace dandelioncrank
