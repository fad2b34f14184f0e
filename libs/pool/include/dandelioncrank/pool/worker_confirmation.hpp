#pragma once

#include "dandelioncrank/pool/worker_calls.hpp"

namespace dandelioncrank::pool {

/// What a hold call to the address of an announced worker says of it.
enum class confirmation
{
    /// The announced incarnation answers there.
    confirmed,
    /// Another worker or incarnation answers there.
    refuted,
    /// No answer tells.
    unanswered
};

[[nodiscard]] confirmation judge_confirmation(const worker_info& announced,
                                              const call_result& result);

} // namespace dandelioncrank::pool
