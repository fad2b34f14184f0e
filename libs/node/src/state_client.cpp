#include "state_client.hpp"

#include <QTimer>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration answer_time = 4s;
constexpr auto retry_time = 50ms;

} // namespace

state_client::state_client(const node_settings& settings, peer_directory& peers,
                           consensus_host* own)
    : self_(settings.host_), peers_(peers), own_(own)
{
}

void state_client::run(state_change change, duration limit, handler on_outcome)
{
    state_command command{wall_now(), std::move(change)};
    // Shared by the callbacks of one attempt after another.
    auto item = std::make_shared<attempt>();
    item->command_ = to_wire(command);
    item->deadline_ = steady_now() + limit;
    item->on_outcome_ = std::move(on_outcome);
    try_once(item);
}

host_name state_client::choose_target()
{
    if (own_ != nullptr && own_->is_leader())
        return self_;
    if (own_ != nullptr && !own_->leader().empty())
        return own_->leader();
    if (!leader_.empty())
        return leader_;
    std::vector<host_name> voters = peers_.voters();
    if (voters.empty())
        return {};
    return voters[next_voter_++ % voters.size()];
}

void state_client::try_once(const std::shared_ptr<attempt>& item)
{
    instant now = steady_now();
    if (now >= item->deadline_) {
        item->on_outcome_(
            {item->unsure_ ? command_end::unsure : command_end::refused, {}});
        return;
    }
    host_name target = choose_target();
    if (target == self_ && own_ != nullptr) {
        own_->propose(item->command_, now, [this, item](state_answer answer) {
            take_answer(item, answer);
        });
        return;
    }
    duration limit = std::min(answer_time, item->deadline_ - now);
    peers_.ask<state_answer>(target, state_request{item->command_}, limit,
                             [this, item](std::optional<state_answer> answer) {
                                 take_answer(item, answer);
                             });
}

void state_client::take_answer(const std::shared_ptr<attempt>& item,
                               const std::optional<state_answer>& answer)
{
    if (answer && answer->kind_ == state_answer_kind::done) {
        item->on_outcome_({command_end::committed, answer->reply_});
        return;
    }
    // No answer at all may hide a commit.
    bool sure = answer && answer->kind_ == state_answer_kind::not_leader;
    item->unsure_ = item->unsure_ || !sure;
    leader_ = answer ? answer->leader_ : host_name();
    QTimer::singleShot(retry_time, this, [this, item] { try_once(item); });
}

} // namespace dandelioncrank
