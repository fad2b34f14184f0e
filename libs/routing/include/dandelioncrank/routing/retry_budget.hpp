#pragma once

namespace dandelioncrank {

/// Allows retries only as a share of fresh requests, so that retries cannot
/// multiply an overload.
class retry_budget
{
  public:
    explicit retry_budget(int percent);

    void set_percent(int percent) { percent_ = percent; }
    void count_first_attempt();
    /// True if a retry may go; it is then counted.
    [[nodiscard]] bool try_retry();

  private:
    int percent_;
    /// Hundredths of a retry.
    int tokens_;
};

} // namespace dandelioncrank
