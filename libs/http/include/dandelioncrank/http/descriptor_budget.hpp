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
    [[nodiscard]] bool is_scarce() const
    {
        return open_ * 100 >= descriptors_ * scarce_percent;
    }
    /// No connection is opened or taken.
    [[nodiscard]] bool is_spent() const
    {
        return open_ * 100 >= descriptors_ * spent_percent;
    }

  private:
    // Shares of the descriptors; the rest is for files and the group's links.
    static constexpr std::size_t scarce_percent = 60;
    static constexpr std::size_t spent_percent = 85;

    std::size_t descriptors_;
    std::size_t open_ = 0;
};

} // namespace dandelioncrank
