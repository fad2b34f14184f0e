#include "dandelioncrank/pool/worker_confirmation.hpp"

namespace dandelioncrank::pool {

confirmation judge_confirmation(const worker_info& announced,
                                const call_result& result)
{
    const auto* answer = std::get_if<call_answer>(&result);
    if (answer == nullptr)
        return confirmation::unanswered;
    if (answer->verdict_ == call_verdict::other_incarnation)
        return confirmation::refuted;
    bool names_itself =
        answer->verdict_ == call_verdict::done && answer->incarnation_ != 0;
    if (!names_itself)
        return confirmation::unanswered;
    return answer->incarnation_ == announced.incarnation_
               ? confirmation::confirmed
               : confirmation::refuted;
}

} // namespace dandelioncrank::pool
