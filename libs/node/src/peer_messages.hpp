#pragma once

#include "dandelioncrank/consensus/consensus_types.hpp"
#include "dandelioncrank/dissemination/gossip_message.hpp"
#include "dandelioncrank/gateway/gateway_hooks.hpp"
#include "dandelioncrank/state/config_store.hpp"
#include "dandelioncrank/state/state_commands.hpp"

#include <map>
#include <variant>
#include <vector>

namespace dandelioncrank {

/// Asks a voter to commit a command.
struct state_request
{
    QByteArray command_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(command_);
    }
};

enum class state_response_kind
{
    done,
    /// Retry at the given leader or, if empty, at another voter.
    not_leader,
    /// The command may or may not be committed later.
    unknown
};

struct state_response
{
    state_response_kind kind_ = state_response_kind::not_leader;
    host_name leader_;
    state_reply reply_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(kind_, leader_, reply_);
    }
};

/// Requests all configuration texts changed after a revision.
struct config_request
{
    std::uint64_t known_revision_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(known_revision_);
    }
};

struct config_response
{
    std::uint64_t revision_ = 0;
    std::map<std::string, stored_text> texts_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(revision_, texts_);
    }
};

struct slot_return_message
{
    service_name service_;
    slot_request_id id_;
    slot_outcome outcome_ = slot_outcome::succeeded;
    duration run_time_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(service_, id_, outcome_, run_time_);
    }
};

struct slot_withdraw_message
{
    service_name service_;
    slot_request_id id_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(service_, id_);
    }
};

struct slot_report_message
{
    slot_request_id id_;
    service_name service_;
    endpoint_name endpoint_;
    std::string route_;
    duration age_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_, service_, endpoint_, route_, age_);
    }
};

/// Response to a slot_request_message, with at most one decision. It is empty
/// if the host does not own the slots of the service.
struct slot_response
{
    std::vector<slot_decision> decision_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(decision_);
    }
};

struct outcome_request
{
    request_id id_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(id_);
    }
};

struct outcome_response
{
    std::optional<outcome_record> record_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(record_);
    }
};

/// Requests the records of a zone's unfinished jobs, for its new owner.
struct jobs_request
{
    zone_name zone_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_);
    }
};

struct jobs_response
{
    bool is_authoritative_ = false;
    std::vector<job_record> records_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(is_authoritative_, records_);
    }
};

/// API request of an operator or worker, forwarded to the zone's owner.
struct api_request
{
    std::string method_;
    std::string target_;
    std::string body_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(method_, target_, body_);
    }
};

using peer_payload =
    std::variant<gossip_message, consensus_message, state_request,
                 config_request, slot_request_message, slot_return_message,
                 slot_withdraw_message, slot_report_message, outcome_request,
                 jobs_request, api_request>;

/// Version of the protocol between daemons.
inline constexpr std::uint32_t peer_protocol_version = 1;

struct peer_message
{
    std::uint32_t version_ = peer_protocol_version;
    host_name from_;
    /// Revision of the configuration in force at the sender.
    std::uint64_t revision_ = 0;
    peer_payload payload_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(version_, from_, revision_, payload_);
    }
};

} // namespace dandelioncrank
