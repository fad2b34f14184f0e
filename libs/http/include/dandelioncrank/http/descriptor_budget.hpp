#pragma once

#include <cstddef>

namespace dandelioncrank {

/// Counts the open connections of a process against its file descriptor limit,
/// so that descriptors remain for files and for connections to peer daemons.
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
    /// While true, connections are closed after their next response, and idle
    /// ones immediately.
    [[nodiscard]] bool is_nearly_exhausted() const
    {
        return open_ * 100 >= descriptors_ * nearly_exhausted_percent;
    }
    /// While true, no connection is opened or accepted.
    [[nodiscard]] bool is_exhausted() const
    {
        return open_ * 100 >= descriptors_ * exhausted_percent;
    }

  private:
    // Percentages of the descriptor limit; the remainder is reserved for files
    // and peer connections.
    static constexpr std::size_t nearly_exhausted_percent = 60;
    static constexpr std::size_t exhausted_percent = 85;

    std::size_t descriptors_;
    std::size_t open_ = 0;
};

} // namespace dandelioncrank
