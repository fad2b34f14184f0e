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

/// New body of one text: the budget or one town.
struct text_change
{
    std::string subject_;
    /// Version that the change is based on; 0 for a new text.
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
    /// Revision against which the change was validated.
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
    /// Ownership epoch of the scheduler; records of older epochs are ignored.
    std::uint64_t epoch_ = 0;
    /// Set for a submit. If the id already exists, the record is not stored
    /// and the reply holds the existing one, to detect a retry.
    bool is_new_ = false;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, record_, epoch_, is_new_);
    }
};

/// Claims the exclusive right to send a request with this idempotency key.
struct acquire_claim
{
    std::string key_;
    request_id request_;
    host_name host_;
    /// Hash of the request, to distinguish a retry from a different request.
    std::uint64_t digest_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(key_, request_, host_, digest_);
    }
};

/// Records the fate of a claimed request.
struct settle_claim
{
    std::string key_;
    request_id request_;
    request_outcome request_outcome_ = request_outcome::unknown;
    /// Response as sent to the first caller; empty if it is too large.

    QByteArray answer_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(key_, request_, request_outcome_, answer_);
    }
};

/// Makes a host the owner of the workers of a zone.
struct acquire_zone
{
    zone_name zone_;
    host_name host_;
    /// Distinguishes one start of the host from the next.
    std::uint64_t nonce_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, host_, nonce_);
    }
};

/// No-op command; its reply follows every command committed before it.
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
    /// Wall-clock time of the leader when it proposed the command.
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
    /// The stored text already has this body.
    unchanged,
    /// Another change to the same text was accepted first.
    conflict,
    /// Another text changed after the validation; validate and submit again.
    stale_check
};

[[nodiscard]] std::string to_text(submit_outcome value);

struct submit_result
{
    submit_outcome outcome_ = submit_outcome::accepted;
    std::uint64_t revision_ = 0;
    std::string subject_;
    /// Current version and its author.
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
    /// False if the id already exists, the job has ended, or the record comes
    /// from an older owner.
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
    /// The caller may send the request once.
    granted,
    /// An earlier request used the key; request_outcome_ and answer_ are its
    /// result.
    settled,
    /// An earlier request with this key is still in progress.
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
