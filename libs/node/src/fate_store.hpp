#pragma once

#include "dandelioncrank/gateway/gateway_hooks.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace dandelioncrank {

/// Fates of the requests that this entry host served last.
class fate_store
{
  public:
    explicit fate_store(std::size_t most);

    void record(const outcome_record& record);
    [[nodiscard]] std::optional<outcome_record>
    find(const request_id& id) const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

  private:
    std::size_t most_;
    std::unordered_map<request_id, outcome_record> records_;
    std::deque<request_id> order_;
};

} // namespace dandelioncrank
