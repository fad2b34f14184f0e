#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank::test {

/// One completed operation on a text whose versions rise by one.
struct text_operation
{
    enum class kind
    {
        /// A submit that was accepted as this version.
        write,
        /// A read, or a conflict that named this version.
        read
    };

    kind kind_ = kind::read;
    instant start_;
    instant end_;
    std::uint64_t version_ = 0;
    std::string body_;
    /// Body is not known for a conflict's version.
    bool body_known_ = true;
};

/// A submit whose answer never arrived.
struct unacknowledged_write
{
    instant start_;
    std::string body_;
};

/// Checks that a history of one text is linearizable. Versions order the
/// writes, so the check needs no search: real time has to agree with the
/// versions. Returns what is wrong, or nothing.
[[nodiscard]] std::optional<std::string> check_text_history(
    const std::vector<text_operation>& operations,
    const std::vector<unacknowledged_write>& unacknowledged_writes);

} // namespace dandelioncrank::test
