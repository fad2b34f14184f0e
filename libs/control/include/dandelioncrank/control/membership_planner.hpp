#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/core/name.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank::control {

/// Address of the host of a voter: identities are "ADDRESS/SUFFIX", and a
/// host that lost its disk comes back under another suffix.
[[nodiscard]] std::string address_of(const voter_name& voter);
[[nodiscard]] voter_name make_identity(const std::string& address,
                                       const std::string& suffix);

struct add_learner_change
{
    voter_name identity_;
};

struct promote_learner_change
{
    voter_name identity_;
};

struct replace_voter_change
{
    voter_name old_;
    voter_name new_;
};

struct remove_member_change
{
    voter_name identity_;
};

using membership_change =
    std::variant<add_learner_change, promote_learner_change,
                 replace_voter_change, remove_member_change>;

/// What the leader knows when it looks after the group's members.
struct membership_view
{
    membership members_;
    voter_name self_;
    /// When each control host last said its identity.
    std::map<voter_name, instant> last_hello_at_;
    /// When each member last answered the leader.
    std::map<voter_name, instant> last_response_at_;
    /// Availability zone of each control host, by address.
    std::map<std::string, zone_name> zones_;
    /// Twice the hosts that may be lost at once, and one.
    std::size_t target_voters_ = 3;
    /// Time after the loss of a host by which the next loss is to be borne.
    duration catch_up_time_ = std::chrono::seconds(4);
    instant now_{};
};

/// The next change of members, if one is due: hosts that are new learn, a
/// host without its disk takes its old identity's place, learners vote until
/// there are as many voters as wanted, no zone with half of them, and a voter
/// that is silent gives its vote to a learner in time for the next loss.
[[nodiscard]] std::optional<membership_change>
next_membership_change(const membership_view& view);

} // namespace dandelioncrank::control
