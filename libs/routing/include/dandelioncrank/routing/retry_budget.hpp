#pragma once

namespace dandelioncrank {

/// Limits retries to a percentage of first attempts, so that retries do not
/// amplify an overload.
class retry_budget
{
  public:
    explicit retry_budget(int percent);

    void set_percent(int percent) { percent_ = percent; }
    void count_first_attempt();
    /// Consumes budget for one retry. Returns false if not enough is left.
    [[nodiscard]] bool try_retry();

  private:
    int percent_;
    /// In hundredths of a retry.
    int tokens_;
};

} // namespace dandelioncrank
