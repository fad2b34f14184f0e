#pragma once

#include "dandelioncrank/gateway/gateway_hooks.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace dandelioncrank {

/// Outcomes of the requests that this entry host served most recently.
class outcome_store
{
  public:
    explicit outcome_store(std::size_t max_value);

    void record(const outcome_record& record);
    [[nodiscard]] std::optional<outcome_record>
    find(const request_id& id) const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

  private:
    std::size_t capacity_;
    std::unordered_map<request_id, outcome_record> records_;
    std::deque<request_id> request_;
};

} // namespace dandelioncrank
