#include "loss_description.hpp"

#include "dandelioncrank/core/json.hpp"

#include <QJsonObject>

namespace dandelioncrank::control {

namespace {

// Maximum number of entries in each list of the state dump.
constexpr std::size_t max_listed = 50;

void describe_suspects_of(const pool::job_record& job, QJsonArray& result)
{
    for (const auto& [k, occurrence] : job.occurrences_.records()) {
        const auto& steps = occurrence.steps_;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            for (const auto& [index, losses] : steps[s].losses_) {
                if (!losses.is_suspect_ ||
                    static_cast<std::size_t>(result.size()) >= max_listed)
                    continue;
                QJsonObject entry;
                entry["task"] = to_qt(
                    pool::to_text(pool::task_ref{job.spec_.id_, k, s, index}));
                entry["losses"] = to_qt(to_text(losses));
                result.append(entry);
            }
        }
    }
}

} // namespace

QJsonArray describe_given_up(const pool::pool_state& state)
{
    QJsonArray result;
    for (const pool::job_record* job : state.given_up_jobs(max_listed)) {
        QJsonObject entry;
        entry["job"] = to_qt(job->spec_.id_.str());
        entry["reason"] = to_qt(job->failure_);
        result.append(entry);
    }
    return result;
}

QJsonArray describe_suspects(const pool::pool_state& state)
{
    QJsonArray result;
    for (const job_id& id : state.active_jobs())
        describe_suspects_of(*state.find_job(id), result);
    return result;
}

} // namespace dandelioncrank::control
