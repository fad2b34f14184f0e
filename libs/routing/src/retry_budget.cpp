#include "dandelioncrank/routing/retry_budget.hpp"

#include <algorithm>

namespace dandelioncrank {

namespace {

// Retries that an idle service may make at once.
constexpr int cost_of_retry = 100;
constexpr int max_tokens = 20 * cost_of_retry;
constexpr int first_tokens = 10 * cost_of_retry;

} // namespace

retry_budget::retry_budget(int percent)
    : percent_(percent), tokens_(percent > 0 ? first_tokens : 0)
{
}

void retry_budget::count_fresh_request()
{
    tokens_ = std::min(max_tokens, tokens_ + percent_);
}

bool retry_budget::try_retry()
{
    if (tokens_ < cost_of_retry)
        return false;
    tokens_ -= cost_of_retry;
    return true;
}

} // namespace dandelioncrank
