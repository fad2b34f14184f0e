#pragma once

#include <cstdint>
#include <set>

namespace dandelioncrank::pool {

/// Knows which proposals of an owner are undecided: neither applied nor
/// certainly rejected. Time tells nothing about that.
class proposal_tracker
{
  public:
    /// Number of the proposal that is being collected.
    [[nodiscard]] std::uint64_t current() const { return current_; }
    /// Closes the collection of the current proposal and returns its number.
    std::uint64_t close()
    {
        undecided_.insert(current_);
        return current_++;
    }
    void settle(std::uint64_t proposal) { undecided_.erase(proposal); }
    [[nodiscard]] bool is_undecided(std::uint64_t proposal) const
    {
        return proposal == current_ || undecided_.contains(proposal);
    }
    /// Number of proposals that were closed and are undecided.
    [[nodiscard]] std::size_t size() const { return undecided_.size(); }
    /// Forgets the proposals of an owner that has ended; numbers go on.
    void reset()
    {
        undecided_.clear();
        ++current_;
    }

  private:
    std::uint64_t current_ = 1;
    std::set<std::uint64_t> undecided_;
};

} // namespace dandelioncrank::pool
