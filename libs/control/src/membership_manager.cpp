#include "membership_manager.hpp"

#include "dandelioncrank/core/overloaded.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

constexpr duration review_interval = 100ms;

} // namespace

membership_manager::membership_manager(replica<pool_state_machine>& replica,
                                       const control_settings& settings,
                                       metric_registry& metrics)
    : replica_(replica), settings_(settings), metrics_(metrics)
{
}

void membership_manager::record_hello(const hello& item, instant now)
{
    last_hello_at_[item.voter_] = now;
    zones_[item.address_] = item.zone_;
}

std::vector<std::string> membership_manager::heard_since(instant time) const
{
    std::vector<std::string> addresses;
    for (const auto& [identity, at] : last_hello_at_) {
        if (at > time)
            addresses.push_back(address_of(identity));
    }
    return addresses;
}

std::set<zone_name> membership_manager::zones() const
{
    std::set<zone_name> result;
    for (const auto& item : zones_)
        result.insert(item.second);
    return result;
}

void membership_manager::review(instant now)
{
    if (!replica_.is_leader() || now - reviewed_at_ < review_interval)
        return;
    reviewed_at_ = now;
    auto change = next_membership_change(make_view(now));
    if (change && !apply(*change, now))
        metrics_.count("member_steps_refused");
}

membership_view membership_manager::make_view(instant now) const
{
    replica_status status = replica_.status();
    membership_view view;
    view.members_ = status.members_;
    view.self_ = status.self_;
    view.last_hello_at_ = last_hello_at_;
    view.zones_ = zones_;
    view.zones_[settings_.internal_address_.to_text()] = settings_.zone_;
    view.target_voters_ = 2 * settings_.tolerated_hosts_ + 1;
    view.catch_up_time_ = settings_.catch_up_time_;
    view.now_ = now;
    for (const auto* group :
         {&status.members_.voters_, &status.members_.learners_}) {
        for (const voter_name& identity : *group) {
            if (auto heard = replica_.last_contact_at(identity))
                view.last_response_at_[identity] = *heard;
        }
    }
    return view;
}

bool membership_manager::apply(const membership_change& change, instant now)
{
    return std::visit(
        overloaded{[&](const add_learner_change& item) {
                       log_.event("Adding control host as learner.",
                                  {{"member", item.identity_.str()}});
                       return replica_.add_learner(
                           item.identity_, address_of(item.identity_), now);
                   },
                   [&](const promote_learner_change& item) {
                       log_.event("Promoting learner to voter.",
                                  {{"member", item.identity_.str()}});
                       return replica_.promote_learner(item.identity_, now);
                   },
                   [&](const replace_voter_change& item) {
                       log_.event("Replacing voter.",
                                  {{"old", item.old_.str()},
                                   {"new", item.new_.str()}});
                       return replica_.replace_voter(
                           item.old_, item.new_, address_of(item.new_), now);
                   },
                   [&](const remove_member_change& item) {
                       log_.event("Removing member.",
                                  {{"member", item.identity_.str()}});
                       return replica_.remove_member(item.identity_, now);
                   }},
        change);
}

} // namespace dandelioncrank::control
