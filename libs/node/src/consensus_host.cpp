#include "consensus_host.hpp"

#include <QRandomGenerator>

namespace dandelioncrank {

namespace {

// A folder without an identity is a new voter, whatever its host held
// before: promises made from a lost disk cannot be kept.
replica_bootstrap make_origin(const node_settings& settings,
                              const peer_directory& peers)
{
    replica_bootstrap origin;
    std::string suffix = "0";
    if (settings.bootstrap_) {
        for (const host_name& host : peers.voters())
            origin.members_.voters_.insert(voter_name(host.str() + ".0"));
    } else {
        auto number = QRandomGenerator::global()->generate();
        suffix = QString::number(number, 16).toStdString();
    }
    origin.identity_ = voter_name(settings.host_.str() + '.' + suffix);
    return origin;
}

} // namespace

consensus_host::consensus_host(const node_settings& settings,
                               peer_directory& peers)
    : replica_(std::make_unique<replica<state_machine>>(
          settings.data_dir_, make_origin(settings, peers),
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

consensus_host::~consensus_host() = default;

host_name consensus_host::host_of(const voter_name& voter)
{
    return host_name(voter.str().substr(0, voter.str().rfind('.')));
}

replica_status consensus_host::status() const
{
    return replica_->status();
}

host_name consensus_host::leader() const
{
    return host_of(replica_->status().leader_);
}

void consensus_host::receive(const consensus_message& message, instant now)
{
    replica_->receive(message, now);
}

void consensus_host::tick(instant now)
{
    replica_->tick(now);
}

void consensus_host::propose(const QByteArray& command, instant now,
                             answer_handler on_answer)
{
    replica_->propose(
        command, now,
        [this, handler = std::move(on_answer)](
            commit_result end, const std::optional<state_reply>& reply) {
            host_name known = failure().empty() ? leader() : host_name();
            switch (end) {
            case commit_result::committed:
                handler({state_answer_kind::done, {}, reply.value()});
                return;
            case commit_result::rejected:
                handler({state_answer_kind::not_leader, known, {}});
                return;
            case commit_result::unknown:
                handler({state_answer_kind::unsure, known, {}});
                return;
            }
        });
}

bool consensus_host::replace_voter(const voter_name& old,
                                   const voter_name& next,
                                   const std::string& address, instant now)
{
    return replica_->replace_voter(old, next, address, now);
}

void consensus_host::transfer_leadership(instant now)
{
    replica_->transfer_leadership(now);
}

} // namespace dandelioncrank
