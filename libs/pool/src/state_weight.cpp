#include "dandelioncrank/pool/state_weight.hpp"

#include <algorithm>

namespace dandelioncrank::pool {

namespace {

// Copies of the encoded state beside the state itself: the last snapshot, the
// one being written, and a message that carries one, sent or received.
constexpr std::uint64_t encoded_copies = 4;

/// Memory and encoded size of one object, in bytes.
struct object_size
{
    std::uint64_t memory_ = 0;
    std::uint64_t encoded_ = 0;

    [[nodiscard]] constexpr std::uint64_t weight() const
    {
        return memory_ + encoded_copies * encoded_;
    }
};

// Includes the indexes, and the owner's entries for an open job.
constexpr object_size open_job_size{1700, 160};
constexpr object_size final_job_size{1100, 150};
constexpr object_size step_size{240, 30};
constexpr object_size dependency_size{4, 3};
constexpr object_size occurrence_size{100, 8};
constexpr object_size step_record_size{150, 12};
constexpr object_size task_size{56, 20};
constexpr object_size checkpoint_size{100, 30};

std::uint64_t weight_of_text(const std::string& text)
{
    return object_size{text.size(), text.size()}.weight();
}

std::uint64_t weight_of_step(const step_spec& step)
{
    return step_size.weight() +
           step.depends_on_.size() * dependency_size.weight() +
           weight_of_text(step.required_label_) +
           weight_of_text(step.data_rack_);
}

} // namespace

std::uint64_t weight_of_occurrence(const job_spec& spec)
{
    std::uint64_t result = occurrence_size.weight();
    for (const step_spec& step : spec.steps_) {
        std::uint64_t task = task_size.weight();
        if (step.supports_checkpoints_)
            task += checkpoint_size.weight();
        result += step_record_size.weight() + step.count_ * task;
    }
    return result;
}

std::uint64_t initial_weight_of(const job_spec& spec)
{
    std::uint64_t result = open_job_size.weight() +
                           weight_of_text(spec.id_.str()) +
                           weight_of_text(spec.payload_);
    for (const step_spec& step : spec.steps_)
        result += weight_of_step(step);
    return result + weight_of_occurrence(spec);
}

std::uint64_t weight_of(const job_record& job)
{
    std::uint64_t texts =
        weight_of_text(job.accepted_policy_.name_) +
        weight_of_text(job.address_.host_) +
        weight_of_text(job.address_.prefix_) + weight_of_text(job.team_.str()) +
        weight_of_text(job.accepted_by_) + weight_of_text(job.failure_);
    if (job.spec_.steps_.empty())
        return final_job_size.weight() + weight_of_text(job.spec_.id_.str()) +
               texts;
    std::size_t others =
        std::max<std::size_t>(1, job.occurrences_.records().size()) - 1;
    return initial_weight_of(job.spec_) +
           others * weight_of_occurrence(job.spec_) + texts;
}

} // namespace dandelioncrank::pool
