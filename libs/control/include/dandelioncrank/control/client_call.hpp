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
    /// Asks how many jobs of the queue wait.
    count_waiting
};

[[nodiscard]] std::string to_text(client_verb value);

/// A client's call as an entry host has read it.
struct client_call
{
    /// Names the call in the logs of all hosts; never used for another one.
    std::string request_id_;
    client_verb verb_ = client_verb::show;
    pool::queue_access access_;
    /// Of a submit; without one, fault_ tells why.
    std::optional<pool::job_spec> order_;
    std::string fault_;
    /// An earlier attempt at this call may have been carried out.
    bool may_have_executed_ = false;
    /// How often the entry host has asked a leader, this time included.
    std::uint32_t attempt_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(request_id_, verb_, access_, order_, fault_, may_have_executed_,
                attempt_);
    }
};

enum class client_outcome
{
    /// Stored, shown, cancelled or counted.
    done,
    unknown_route,
    unknown_key,
    unknown_job,
    /// The order can never be used; fault_ tells why.
    invalid,
    /// Nothing of it was done and nothing will be; come back later.
    unavailable,
    /// It may have been done; asking again tells.
    unsure,
    /// Another host leads; nothing was done here.
    not_leader
};

[[nodiscard]] std::string to_text(client_outcome value);

struct client_response
{
    client_outcome outcome_ = client_outcome::not_leader;
    std::string fault_;
    /// Of a job: whether a task was ever started, and its phase.
    bool has_begun_ = false;
    pool::job_phase phase_ = pool::job_phase::open;
    std::uint64_t waiting_jobs_ = 0;
    duration retry_after_{};
    /// Where the leader is, if that is known.
    std::string leader_;
    /// Configuration by which the call was decided; 0 if it was not.
    std::uint64_t config_version_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(outcome_, fault_, has_begun_, phase_, waiting_jobs_,
                retry_after_, leader_, config_version_);
    }
};

/// What a client may be told. After an attempt that may have been carried
/// out a refusal proves nothing: the configuration may have changed between.
[[nodiscard]] client_response client_visible_response(const client_call& call,
                                                      client_response response);

} // namespace dandelioncrank::control
