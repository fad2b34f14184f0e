#include "state_client.hpp"

#include <QTimer>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration response_timeout = 4s;
constexpr auto retry_interval = 50ms;

} // namespace

state_client::state_client(const node_settings& settings, peer_directory& peers,
                           state_replica* local_replica)
    : self_(settings.host_), peers_(peers), local_replica_(local_replica)
{
}

void state_client::execute(state_change change, duration limit,
                           handler on_outcome)
{
    state_command command{wall_now(), std::move(change)};
    // Shared by the callbacks of consecutive attempts.
    auto item = std::make_shared<pending_command>();
    item->command_ = to_wire(command);
    item->deadline_ = steady_now() + limit;
    item->on_outcome_ = std::move(on_outcome);
    try_send(item);
}

host_name state_client::choose_target()
{
    if (local_replica_ != nullptr && local_replica_->is_leader())
        return self_;
    if (local_replica_ != nullptr && !local_replica_->leader().empty())
        return local_replica_->leader();
    if (!leader_.empty())
        return leader_;
    std::vector<host_name> voters = peers_.voters();
    if (voters.empty())
        return {};
    return voters[next_voter_++ % voters.size()];
}

void state_client::try_send(const std::shared_ptr<pending_command>& item)
{
    instant now = steady_now();
    if (now >= item->deadline_) {
        item->on_outcome_({item->may_be_committed_ ? command_status::unknown
                                                   : command_status::rejected,
                           {}});
        return;
    }
    host_name target = choose_target();
    if (target == self_ && local_replica_ != nullptr) {
        local_replica_->propose(item->command_, now,
                                [this, item](state_response response) {
                                    handle_response(item, response);
                                });
        return;
    }
    duration limit = std::min(response_timeout, item->deadline_ - now);
    peers_.call<state_response>(
        target, state_request{item->command_}, limit,
        [this, item](std::optional<state_response> response) {
            handle_response(item, response);
        });
}

void state_client::handle_response(
    const std::shared_ptr<pending_command>& item,
    const std::optional<state_response>& response)
{
    if (response && response->kind_ == state_response_kind::done) {
        item->on_outcome_({command_status::committed, response->reply_});
        return;
    }
    // Without a response, the command may have been committed.
    bool is_rejected =
        response && response->kind_ == state_response_kind::not_leader;
    item->may_be_committed_ = item->may_be_committed_ || !is_rejected;
    leader_ = response ? response->leader_ : host_name();
    QTimer::singleShot(retry_interval, this, [this, item] { try_send(item); });
}

} // namespace dandelioncrank
