#include "dandelioncrank/state/claim_table.hpp"

namespace dandelioncrank {

namespace {

constexpr std::chrono::hours retention(24);

claim_result describe(claim_outcome outcome, const claim_record& record)
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

claim_result claim_table::take(const take_claim& request,
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
        order_.push_back(request.key_);
        return describe(claim_outcome::granted, record);
    }
    const claim_record& known = found->second;
    if (known.digest_ != request.digest_)
        return describe(claim_outcome::mismatch, known);
    // The same proposal may be committed twice; it is one claim.
    if (known.request_ == request.request_ && known.host_ == request.host_ &&
        !known.settled_)
        return describe(claim_outcome::granted, known);
    return describe(
        known.settled_ ? claim_outcome::settled : claim_outcome::open, known);
}

claim_result claim_table::settle(const settle_claim& request)
{
    auto found = claims_.find(request.key_);
    bool own =
        found != claims_.end() && found->second.request_ == request.request_;
    if (!own)
        return {claim_outcome::mismatch,
                request.request_,
                request_outcome::unknown,
                {}};
    claim_record& record = found->second;
    if (record.settled_)
        return describe(claim_outcome::settled, record);
    if (request.request_outcome_ == request_outcome::not_run) {
        claim_result result = describe(claim_outcome::settled, record);
        result.request_outcome_ = request_outcome::not_run;
        claims_.erase(found);
        return result;
    }
    record.settled_ = true;
    record.request_outcome_ = request.request_outcome_;
    record.answer_ = request.answer_;
    return describe(claim_outcome::settled, record);
}

void claim_table::expire(std::chrono::sys_seconds now)
{
    while (!order_.empty()) {
        auto found = claims_.find(order_.front());
        bool keep =
            found != claims_.end() && found->second.at_ + retention > now;
        if (keep)
            return;
        if (found != claims_.end())
            claims_.erase(found);
        order_.pop_front();
    }
}

} // namespace dandelioncrank
