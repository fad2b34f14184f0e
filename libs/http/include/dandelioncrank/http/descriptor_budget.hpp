#pragma once

#include <cstddef>

namespace dandelioncrank {

/// Counts the connections of a process against the descriptors it may have,
/// so that files and the group's own links always find some.
class descriptor_budget
{
  public:
    explicit descriptor_budget(std::size_t descriptors)
        : descriptors_(descriptors)
    {
    }

    void opened() { ++open_; }
    void closed() { --open_; }
    [[nodiscard]] std::size_t open() const { return open_; }
    /// Connections are closed with their answers, idle ones at once.
    [[nodiscard]] bool is_nearly_exhausted() const
    {
        return open_ * 100 >= descriptors_ * nearly_exhausted_percent;
    }
    /// No connection is opened or taken.
    [[nodiscard]] bool is_exhausted() const
    {
        return open_ * 100 >= descriptors_ * exhausted_percent;
    }

  private:
    // Shares of the descriptors; the rest is for files and the group's links.
    static constexpr std::size_t nearly_exhausted_percent = 60;
    static constexpr std::size_t exhausted_percent = 85;

    std::size_t descriptors_;
    std::size_t open_ = 0;
};

} // namespace dandelioncrank
