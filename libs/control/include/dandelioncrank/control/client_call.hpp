#pragma once

#include "dandelioncrank/pool/pool_state.hpp"

#include <optional>
#include <string>

namespace dandelioncrank::control {

enum class client_verb
{
    submit,
    show,
    cancel,
    /// Returns the number of waiting jobs in the queue.
    count_waiting
};

[[nodiscard]] std::string to_text(client_verb value);

/// A client's call as parsed by an entry host.
struct client_call
{
    /// Unique ID of the call in the logs of all hosts; never reused.
    std::string request_id_;
    client_verb verb_ = client_verb::show;
    pool::queue_access access_;

    /// The job to submit; if a submit has none, fault_ holds the reason.
    std::optional<pool::job_spec> spec_;
    std::string fault_;
    /// An earlier attempt at this call may have been executed.
    bool may_have_executed_ = false;
    /// Number of times the entry host has sent the call to a leader, including
    /// the current attempt.
    std::uint32_t attempt_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(request_id_, verb_, access_, spec_, fault_, may_have_executed_,
                attempt_);
    }
};

enum class client_call_outcome
{
    /// The job was stored, shown or cancelled, or the jobs were counted.
    done,
    unknown_route,
    unknown_key,
    unknown_job,
    /// The job spec is permanently invalid; fault_ holds the reason.
    invalid,
    /// The call was not executed and will not be; the client may retry later.
    unavailable,
    /// The call may have been executed; a retry reveals the result.
    unsure,
    /// Another host is the leader; nothing was executed on this host.
    not_leader
};

[[nodiscard]] std::string to_text(client_call_outcome value);

struct client_response
{
    client_call_outcome outcome_ = client_call_outcome::not_leader;
    std::string fault_;
    /// For a job: whether any task was ever started, and the job's phase.
    bool has_started_ = false;
    pool::job_phase phase_ = pool::job_phase::open;
    std::uint64_t waiting_jobs_ = 0;
    duration retry_after_{};
    /// Internal address of the leader, if known.
    std::string leader_;
    /// Version of the configuration that decided the call; 0 if none did.
    std::uint64_t config_version_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(outcome_, fault_, has_started_, phase_, waiting_jobs_,
                retry_after_, leader_, config_version_);
    }
};

/// Returns the response that the client may see. If an earlier attempt may have
/// been executed, a refusal becomes unsure: it proves nothing, because the
/// configuration may have changed between the attempts.
[[nodiscard]] client_response client_visible_response(const client_call& call,
                                                      client_response response);

} // namespace dandelioncrank::control
