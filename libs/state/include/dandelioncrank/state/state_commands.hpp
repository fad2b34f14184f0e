#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/core/wire.hpp"
#include "dandelioncrank/manifest/config_checker.hpp"
#include "dandelioncrank/routing/request_outcome.hpp"
#include "dandelioncrank/scheduling/scheduling_types.hpp"

#include <QByteArray>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandelioncrank {

/// A new body for one text: the budget's or one town's.
struct text_change
{
    std::string subject_;
    /// Version that the operator has seen; 0 for a new text.
    std::uint64_t replaces_ = 0;
    config_text text_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(subject_, replaces_, text_);
    }
};

struct submit_config
{
    request_id request_;
    std::string author_;
    /// Revision against which the text was checked.
    std::uint64_t checked_revision_ = 0;
    text_change change_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(request_, author_, checked_revision_, change_);
    }
};

struct put_job
{
    zone_name zone_;
    job_record record_;
    /// Scheduler's ownership; older owners are ignored.
    std::uint64_t epoch_ = 0;
    /// A submit: the id must be new or belong to the same job.
    bool is_new_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, record_, epoch_, is_new_);
    }
};

/// Asks for the only right to send a request with this key.
struct acquire_claim
{
    std::string key_;
    request_id request_;
    host_name host_;
    /// Hash of the request, to tell a resend from another request.
    std::uint64_t digest_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(key_, request_, host_, digest_);
    }
};

/// Says what became of a claimed request.
struct settle_claim
{
    std::string key_;
    request_id request_;
    request_outcome request_outcome_ = request_outcome::unknown;
    /// The answer as the first caller got it; empty if it is too large.
    QByteArray answer_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(key_, request_, request_outcome_, answer_);
    }
};

/// Makes a host the owner of a zone's workers.
struct acquire_zone
{
    zone_name zone_;
    host_name host_;
    /// Tells one start of the host from the next.
    std::uint64_t nonce_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, host_, nonce_);
    }
};

/// Answers a read after everything that was committed before it.
struct read_barrier
{
    template <class Archive>
    void fields(Archive&)
    {
    }
};

using state_change = std::variant<submit_config, put_job, acquire_claim,
                                  settle_claim, acquire_zone, read_barrier>;

struct state_command
{
    /// Wall time of the host that led when it was proposed.
    std::chrono::sys_seconds at_{};
    state_change change_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(at_, change_);
    }
};

enum class submit_outcome
{
    accepted,
    /// The text says this already.
    unchanged,
    /// Another change to the same text came first.
    conflict,
    /// Another text changed since the check; check and send again.
    stale_check
};

[[nodiscard]] std::string to_text(submit_outcome value);

struct submit_result
{
    submit_outcome outcome_ = submit_outcome::accepted;
    std::uint64_t revision_ = 0;
    std::string subject_;
    /// Version in force now, and who wrote it.
    std::uint64_t version_ = 0;
    std::string author_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(outcome_, revision_, subject_, version_, author_);
    }
};

struct job_result
{
    /// False for a doubled id of another job or an older owner's record.
    bool accepted_ = false;
    job_record record_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(accepted_, record_);
    }
};

enum class claim_outcome
{
    /// This request may be sent, once.
    granted,
    /// The key belongs to an earlier request, see its fate.
    settled,
    /// The earlier request is still under way.
    open,
    /// The key was used for a different request.
    mismatch
};

struct claim_result
{
    claim_outcome outcome_ = claim_outcome::granted;
    request_id request_;
    request_outcome request_outcome_ = request_outcome::unknown;
    QByteArray answer_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(outcome_, request_, request_outcome_, answer_);
    }
};

struct zone_result
{
    std::uint64_t epoch_ = 0;
    host_name owner_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(epoch_, owner_);
    }
};

struct barrier_result
{
    std::uint64_t revision_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(revision_);
    }
};

using state_reply = std::variant<barrier_result, submit_result, job_result,
                                 claim_result, zone_result>;

} // namespace dandelioncrank
