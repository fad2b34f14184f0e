#include "dandelioncrank/state/claim_table.hpp"

namespace dandelioncrank {

namespace {

constexpr std::chrono::hours claim_retention(24);

claim_result make_result(claim_outcome outcome, const claim_record& record)
{
    return {outcome, record.request_, record.request_outcome_, record.answer_};
}

} // namespace

std::optional<claim_record> claim_table::find(const std::string& key) const
{
    auto found = claims_.find(key);
    if (found == claims_.end())
        return std::nullopt;
    return found->second;
}

claim_result claim_table::acquire(const acquire_claim& request,
                                  std::chrono::sys_seconds at)
{
    auto found = claims_.find(request.key_);
    if (found == claims_.end()) {
        claim_record record;
        record.request_ = request.request_;
        record.host_ = request.host_;
        record.digest_ = request.digest_;
        record.at_ = at;
        claims_.emplace(request.key_, record);
        insertion_order_.push_back(request.key_);
        return make_result(claim_outcome::granted, record);
    }
    const claim_record& existing = found->second;
    if (existing.digest_ != request.digest_)
        return make_result(claim_outcome::mismatch, existing);
    // A retried proposal may be committed twice; both are the same claim.
    if (existing.request_ == request.request_ &&
        existing.host_ == request.host_ && !existing.settled_)
        return make_result(claim_outcome::granted, existing);
    return make_result(existing.settled_ ? claim_outcome::settled
                                         : claim_outcome::open,
                       existing);
}

claim_result claim_table::settle(const settle_claim& request)
{
    auto found = claims_.find(request.key_);
    bool is_owner =
        found != claims_.end() && found->second.request_ == request.request_;
    if (!is_owner)
        return {claim_outcome::mismatch,
                request.request_,
                request_outcome::unknown,
                {}};
    claim_record& record = found->second;
    if (record.settled_)
        return make_result(claim_outcome::settled, record);
    if (request.request_outcome_ == request_outcome::not_run) {
        claim_result result = make_result(claim_outcome::settled, record);
        result.request_outcome_ = request_outcome::not_run;
        claims_.erase(found);
        return result;
    }
    record.settled_ = true;
    record.request_outcome_ = request.request_outcome_;
    record.answer_ = request.answer_;
    return make_result(claim_outcome::settled, record);
}

void claim_table::expire(std::chrono::sys_seconds now)
{
    while (!insertion_order_.empty()) {
        auto found = claims_.find(insertion_order_.front());
        bool keep =
            found != claims_.end() && found->second.at_ + claim_retention > now;
        if (keep)
            return;
        if (found != claims_.end())
            claims_.erase(found);
        insertion_order_.pop_front();
    }
}

} // namespace dandelioncrank
