#include "dandelioncrank/control/member_planner.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// A control host that said hello within this time is there.
constexpr duration present_time = 1500ms;
// Part of the time to catch up after which a silent voter's vote goes to a
// learner, in percent: the group has to bear the next loss once that time is
// over, and the election and the change take their part of it.
constexpr int replace_percent = 50;
// A learner that does not answer for so long is not waited for.
constexpr duration give_up_time = 3s;

bool is_silent(const member_view& view, const voter_name& who, duration limit)
{
    auto heard = view.heard_at_.find(who);
    return heard != view.heard_at_.end() && view.now_ - heard->second > limit;
}

bool is_present(const member_view& view, const voter_name& who)
{
    auto greeted = view.greeted_at_.find(who);
    return greeted != view.greeted_at_.end() &&
           view.now_ - greeted->second < present_time;
}

/// The identity under which the host of a member is present now, if it is
/// another one: the member's disk is gone.
std::optional<voter_name> successor_of(const member_view& view,
                                       const voter_name& member)
{
    for (const auto& [who, at] : view.greeted_at_) {
        bool same_host = address_of(who) == address_of(member);
        if (same_host && who != member && is_present(view, who))
            return who;
    }
    return std::nullopt;
}

bool is_usable_learner(const member_view& view, const voter_name& who)
{
    return is_present(view, who) && !is_silent(view, who, present_time);
}

/// Voters in the zone of a host, without the one that would be replaced.
std::size_t voters_beside(const member_view& view, const voter_name& who,
                          const voter_name* replaced)
{
    auto zone = view.zones_.find(address_of(who));
    std::size_t count = 0;
    for (const voter_name& voter : view.members_.voters_) {
        if (replaced != nullptr && voter == *replaced)
            continue;
        auto other = view.zones_.find(address_of(voter));
        bool known = zone != view.zones_.end() && other != view.zones_.end();
        count += known && other->second == zone->second;
    }
    return count;
}

/// The learner whose vote spreads the voters best; none if its zone would
/// then hold half of the wanted voters.
std::optional<voter_name> best_learner(const member_view& view,
                                       const voter_name* replaced)
{
    std::optional<voter_name> best;
    std::size_t least = view.wanted_voters_ / 2;
    for (const voter_name& learner : view.members_.learners_) {
        if (!is_usable_learner(view, learner))
            continue;
        std::size_t beside = voters_beside(view, learner, replaced);
        if (beside < least) {
            least = beside;
            best = learner;
        }
    }
    return best;
}

} // namespace

std::string address_of(const voter_name& voter)
{
    return voter.str().substr(0, voter.str().rfind('/'));
}

voter_name make_identity(const std::string& address, const std::string& suffix)
{
    return voter_name(address + '/' + suffix);
}

std::optional<member_step> next_member_step(const member_view& view)
{
    const membership& members = view.members_;
    if (members.replacement_) {
        const voter_name& next = members.replacement_->new_;
        bool is_hopeless =
            successor_of(view, next) || is_silent(view, next, give_up_time);
        if (!members.voters_.contains(next) && is_hopeless)
            return remove_member_step{next};
        return std::nullopt;
    }
    for (const voter_name& voter : members.voters_) {
        if (auto next = successor_of(view, voter); next && voter != view.self_)
            return replace_voter_step{voter, *next};
    }
    for (const voter_name& learner : members.learners_) {
        if (successor_of(view, learner))
            return remove_member_step{learner};
    }
    for (const auto& [who, at] : view.greeted_at_) {
        bool is_member =
            members.voters_.contains(who) || members.learners_.contains(who);
        if (!is_member && is_present(view, who))
            return add_learner_step{who};
    }
    if (members.voters_.size() < view.wanted_voters_) {
        if (auto next = best_learner(view, nullptr))
            return promote_step{*next};
    }
    for (const voter_name& voter : members.voters_) {
        duration limit = view.catch_up_time_ * replace_percent / 100;
        if (!is_silent(view, voter, limit))
            continue;
        if (auto next = best_learner(view, &voter))
            return replace_voter_step{voter, *next};
    }
    return std::nullopt;
}

} // namespace dandelioncrank::control
