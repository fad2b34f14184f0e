#include "dandelioncrank/pool/loss_record.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

using namespace std::chrono_literals;

constexpr duration first_probation = 1s;
// The probation grows with each loss, so that work which crashes its worker
// only after a while is watched for long enough after a few losses.
constexpr int probation_growth = 8;
constexpr duration max_probation = 64s;
// Losses in a row with nothing else to blame, from which a task is given up.
constexpr std::uint32_t max_sole_losses = 2;
// Losses in a row from which a task is given up even if something else may
// always have been to blame: a smaller number if it was suspected of them all.
constexpr std::uint32_t max_suspected_losses = 4;
constexpr std::uint32_t max_losses = 5;
// Lapsed runs from which a task is started apart from others: its workers may
// have crashed, which shows only once they are back.
constexpr std::uint32_t max_unsuspicious_lapses = 2;
// Number of losses that are kept for the log.
constexpr std::size_t max_kept_losses = 8;

} // namespace

std::string to_text(incarnation_end_cause value)
{
    switch (value) {
    case incarnation_end_cause::unspecified:
        return "unspecified";
    case incarnation_end_cause::left:
        return "left";
    case incarnation_end_cause::crashed:
        return "crashed";
    case incarnation_end_cause::disturbed:
        break;
    }
    return "disturbed";
}

duration loss_record::probation() const
{
    duration result = first_probation;
    for (std::uint32_t i = 1; i < suspected_count_ && result < max_probation;
         ++i)
        result *= probation_growth;
    return std::min(result, max_probation);
}

bool loss_record::has_loss_at(const std::string& address) const
{
    return std::any_of(losses_.begin(), losses_.end(),
                       [&address](const worker_loss& item) {
                           return item.address_ == address;
                       });
}

bool loss_record::is_to_blame() const
{
    return sole_count_ >= max_sole_losses ||
           suspected_count_ >= max_suspected_losses || count_ >= max_losses;
}

void loss_record::add(const worker_loss& loss, duration age)
{
    if (age >= max_probation) {
        count_ = 0;
        suspected_count_ = 0;
        sole_count_ = 0;
    }
    ++count_;
    suspected_count_ += loss.is_suspected_ ? 1 : 0;
    is_suspect_ = is_suspect_ || loss.is_suspected_;
    sole_count_ += loss.is_sole_ ? 1 : 0;
    losses_.push_back(loss);
    if (losses_.size() > max_kept_losses)
        losses_.erase(losses_.begin());
}

void loss_record::add_lapse()
{
    ++lapses_;
    is_suspect_ = is_suspect_ || lapses_ >= max_unsuspicious_lapses;
}

std::string to_text(const loss_record& value)
{
    std::string text;
    for (const worker_loss& item : value.losses_)
        text += (text.empty() ? "run " : ", run ") + std::to_string(item.run_) +
                " on " + item.worker_.str() + " (incarnation " +
                std::to_string(item.incarnation_) +
                (item.is_sole_        ? ", nothing else to blame)"
                 : item.is_suspected_ ? ")"
                                      : ", not suspected)");
    return text;
}

duration usual_crash_age()
{
    return first_probation;
}

} // namespace dandelioncrank::pool
