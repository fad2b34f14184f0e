#pragma once

#include "dandelioncrank/state/state_commands.hpp"

#include <deque>
#include <map>

namespace dandelioncrank {

struct claim_record
{
    request_id request_;
    host_name host_;
    std::uint64_t digest_ = 0;
    std::chrono::sys_seconds at_{};
    bool settled_ = false;
    request_outcome request_outcome_ = request_outcome::unknown;
    QByteArray answer_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(request_, host_, digest_, at_, settled_, request_outcome_,
                answer_);
    }
};

/// Claims on requests that may run at most once, by idempotency key.
///
/// A claim expires one day after it was acquired, so clients must not reuse a
/// key after that. A claim whose request did not run is removed when it is
/// settled, so that a retry can run.
class claim_table
{
  public:
    claim_result acquire(const acquire_claim& request,
                         std::chrono::sys_seconds at);
    claim_result settle(const settle_claim& request);

    /// Removes claims that are older than the retention period.
    void expire(std::chrono::sys_seconds now);

    [[nodiscard]] std::size_t size() const { return claims_.size(); }
    [[nodiscard]] std::optional<claim_record>
    find(const std::string& key) const;

    template <class Archive>
    void fields(Archive& archive)
    {
        std::vector<std::string> order(insertion_order_.begin(),
                                       insertion_order_.end());
        archive(claims_, order);
        insertion_order_.assign(order.begin(), order.end());
    }

  private:
    std::map<std::string, claim_record> claims_;
    std::deque<std::string> insertion_order_;
};

} // namespace dandelioncrank
