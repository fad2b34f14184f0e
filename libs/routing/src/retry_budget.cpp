#include "dandelioncrank/routing/retry_budget.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// An idle service can save up a limited burst of retries.
constexpr int tokens_per_retry = 100;
constexpr int max_tokens = 20 * tokens_per_retry;
constexpr int initial_tokens = 10 * tokens_per_retry;

} // namespace

retry_budget::retry_budget(int percent)
    : percent_(percent), tokens_(percent > 0 ? initial_tokens : 0)
{
}

void retry_budget::count_first_attempt()
{
    tokens_ = std::min(max_tokens, tokens_ + percent_);
}

bool retry_budget::try_retry()
{
    if (tokens_ < tokens_per_retry)
        return false;
    tokens_ -= tokens_per_retry;
    return true;
}

} // namespace dandelioncrank
