#pragma once

#include "dandelioncrank/pool/job_model.hpp"

#include <cstdint>
#include <map>

namespace dandelioncrank::pool {

/// Fencing tokens of the calls of one owner: its term, and below it a count for
/// each worker. The first call with a raised token that reaches a worker makes
/// all calls void that were sent before, whichever incarnation they were sent
/// to: a worker does nothing for a token below the highest that it has seen.
class fencing_tokens
{
  public:
    /// Counts anew in a higher term, and raises all tokens in the same one.
    void begin(std::uint64_t term);
    /// Returns the token of the next call to a worker.
    [[nodiscard]] std::uint64_t token_for(const worker_name& worker) const;
    /// Makes the calls void that the worker has not received before its next
    /// one.
    void raise(const worker_name& worker);
    /// The same for a call that got no answer and may still be carried out.
    void record_lost_call(const worker_name& worker, instant now);
    /// Until when calls of before the last raise may be carried out by an
    /// incarnation that has not received a later one.
    [[nodiscard]] instant late_until(const worker_name& worker) const;

  private:
    struct entry
    {
        void raise();

        std::uint64_t count_ = 0;
        instant late_until_{};
    };

    entry& entry_of(const worker_name& worker);

    std::uint64_t term_ = 0;
    /// What holds for all workers without an entry.
    entry default_;
    std::map<worker_name, entry> entries_;
};

} // namespace dandelioncrank::pool
