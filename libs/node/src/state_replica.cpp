#include "state_replica.hpp"

#include <QRandomGenerator>

namespace dandelioncrank {

namespace {

// A data directory without a stored identity becomes a new voter, even if the
// host was a voter before: with a lost disk, earlier votes and acknowledged
// log entries cannot be honored.
replica_bootstrap make_bootstrap(const node_settings& settings,
                                 const peer_directory& peers)
{
    replica_bootstrap bootstrap;
    std::string suffix = "0";
    if (settings.bootstrap_) {
        for (const host_name& host : peers.voters())
            bootstrap.members_.voters_.insert(voter_name(host.str() + ".0"));
    } else {
        auto number = QRandomGenerator::global()->generate();
        suffix = QString::number(number, 16).toStdString();
    }
    bootstrap.identity_ = voter_name(settings.host_.str() + '.' + suffix);
    return bootstrap;
}

} // namespace

state_replica::state_replica(const node_settings& settings,
                             peer_directory& peers)
    : replica_(std::make_unique<replica<state_machine>>(
          settings.data_dir_, make_bootstrap(settings, peers),
          QRandomGenerator::global()->generate64(), steady_now(),
          [&peers](const consensus_message& message) {
              peers.post(host_of(message.to_), message);
          }))
{
    replica_->on_applied_ = [this] {
        if (on_applied_)
            on_applied_();
    };
}

state_replica::~state_replica() = default;

host_name state_replica::host_of(const voter_name& voter)
{
    return host_name(voter.str().substr(0, voter.str().rfind('.')));
}

replica_status state_replica::status() const
{
    return replica_->status();
}

host_name state_replica::leader() const
{
    return host_of(replica_->status().leader_);
}

void state_replica::receive(const consensus_message& message, instant now)
{
    replica_->receive(message, now);
}

void state_replica::tick(instant now)
{
    replica_->tick(now);
}

void state_replica::propose(const QByteArray& command, instant now,
                            response_handler on_response)
{
    replica_->propose(
        command, now,
        [this, handler = std::move(on_response)](
            commit_result result, const std::optional<state_reply>& reply) {
            host_name known = failure().empty() ? leader() : host_name();
            switch (result) {
            case commit_result::committed:
                handler({state_response_kind::done, {}, reply.value()});
                return;
            case commit_result::rejected:
                handler({state_response_kind::not_leader, known, {}});
                return;
            case commit_result::unknown:
                handler({state_response_kind::unknown, known, {}});
                return;
            }
        });
}

void state_replica::read(instant now,
                         std::function<void(bool granted)> on_answer)
{
    replica_->read(now, std::move(on_answer));
}

bool state_replica::replace_voter(const voter_name& old, const voter_name& next,
                                  const std::string& address, instant now)
{
    return replica_->replace_voter(old, next, address, now);
}

void state_replica::transfer_leadership(instant now)
{
    replica_->transfer_leadership(now);
}

} // namespace dandelioncrank
