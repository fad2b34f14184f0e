#pragma once

#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank::test {

/// Completed operation on one text. Each accepted write increments the
/// version by one.
struct text_operation
{
    enum class kind
    {
        /// A submit that created this version.
        write,
        /// A read, or a submit that was rejected with this version.
        read
    };

    kind kind_ = kind::read;
    instant start_;
    instant end_;
    std::uint64_t version_ = 0;
    std::string body_;
    /// False for a rejected submit, which reports no body.
    bool body_known_ = true;
};

/// A submit that may have taken effect although no reply arrived.
struct unacknowledged_write
{
    instant start_;
    std::string body_;
};

/// Checks that the history of one text is linearizable. The versions order
/// the writes, so no search is needed: the order in real time must agree with
/// the versions. Returns the violation, or nothing.
[[nodiscard]] std::optional<std::string> check_text_history(
    const std::vector<text_operation>& operations,
    const std::vector<unacknowledged_write>& unacknowledged_writes);

} // namespace dandelioncrank::test
