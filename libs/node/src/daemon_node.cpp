#include "dandelioncrank/node/daemon_node.hpp"

#include "active_config.hpp"
#include "control_api.hpp"
#include "dandelioncrank/core/mailbox.hpp"
#include "dandelioncrank/core/overloaded.hpp"
#include "dandelioncrank/gateway/gateway.hpp"
#include "dandelioncrank/http/buffer_metrics.hpp"
#include "dandelioncrank/http/http_server.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/peer/peer_metrics.hpp"
#include "dandelioncrank/peer/peer_server.hpp"
#include "json_conversion.hpp"
#include "memory_limits.hpp"
#include "outcome_store.hpp"
#include "slot_service.hpp"
#include "state_client.hpp"
#include "state_dump.hpp"
#include "state_replica.hpp"
#include "zone_service.hpp"

#include <QTimer>

#include <algorithm>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 10ms;
// Connections to the operator address.
constexpr std::size_t operator_connections = 64;
// Maximum wait at startup for messages from the other hosts of the zone.
constexpr duration startup_peer_timeout = 3s;
constexpr duration peer_response_timeout = 1s;
constexpr duration settle_timeout = 60s;
// Time for the announcement that this host is leaving to reach other hosts.
constexpr auto leave_propagation_delay = 600ms;
// Time for callers with open connections to learn of the shutdown, by the
// refusal of their next request.
constexpr duration caller_notice_time = 2s;

std::uint64_t make_incarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count() /
        100 % 10'000'000);
}

std::vector<host_name> names_of_other_hosts(const node_settings& settings)
{
    std::vector<host_name> names;
    for (const peer_setting& item : settings.hosts_) {
        if (item.name_ != settings.host_)
            names.push_back(item.name_);
    }
    return names;
}

host_status make_initial_status(const node_settings& settings,
                                std::uint64_t incarnation)
{
    host_status self;
    self.name_ = settings.host_;
    self.zone_ = settings.zone_;
    self.incarnation_ = incarnation;
    self.is_gateway_ = settings.is_gateway_;
    self.is_scheduler_ = settings.is_scheduler_;
    self.is_voter_ = settings.is_voter_;
    return self;
}

} // namespace

class daemon_node::implementation
{
  public:
    explicit implementation(const node_settings& settings);

    void begin_stop(std::function<void()> on_done);

  private:
    // Messages from other daemons.
    void receive_message(const QByteArray& bytes,
                         const peer_server::responder& reply);
    void handle(const peer_message& message,
                const peer_server::responder& reply);
    void handle_state_request(const state_request& request,
                              const peer_server::responder& reply);
    void handle_jobs_request(const jobs_request& request,
                             const peer_server::responder& reply);

    // Gossip and configuration.
    void apply_actions(const gossip_actions& actions);
    void update_self();
    void pull_config(const host_name& from);
    void config_changed();
    void state_applied();
    void refresh_table();
    void check_readiness(instant now);

    // Requests from the gateway threads.
    gateway_hooks make_hooks();
    void acquire_request_claim(
        const acquire_claim& claim, duration limit,
        const gateway_hooks::post& post,
        const std::function<void(std::optional<claim_result>)>& callback);
    void settle(const settle_claim& item);
    void find_outcome(
        const request_id& id, const gateway_hooks::post& post,
        const std::function<void(std::optional<outcome_record>)>& callback);
    void count_request(const request_metrics& request_stats);

    void start_operator_server();
    [[nodiscard]] http_response operator_response(const http_request& request);
    void tick();
    void wait_for_drain(instant deadline);

    component_logger log_{"node"};
    node_settings settings_;
    std::uint64_t incarnation_;
    metric_registry metrics_;
    mailbox inbox_;
    peer_directory peers_;
    disseminator gossip_;
    active_config config_;
    outcome_store outcomes_;
    std::unique_ptr<state_replica> voter_;
    state_client state_;
    slot_service slots_;
    zone_service zone_;
    control_api api_;
    rcu_routing_table table_;
    /// Of the connections to the control and the operator address.
    buffer_budget buffers_;
    std::unique_ptr<http_server> operator_server_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<http_server> control_server_;
    std::unique_ptr<gateway> gateway_;
    QTimer timer_;
    instant started_at_;
    bool serving_ = false;
    bool stopping_ = false;
    instant stop_began_at_{};
    bool config_pull_pending_ = false;
    std::function<void()> on_stopped_;
};

daemon_node::implementation::implementation(const node_settings& settings)
    : settings_(settings), incarnation_(make_incarnation()), peers_(settings_),
      gossip_(make_initial_status(settings_, incarnation_),
              names_of_other_hosts(settings_), gossip_timing{}),
      outcomes_(stored_outcomes_of(settings_)),
      voter_(settings_.is_voter_
                 ? std::make_unique<state_replica>(settings_, peers_)
                 : nullptr),
      state_(settings_, peers_, voter_.get()),
      slots_(settings_, peers_, gossip_, metrics_),
      zone_(settings_, peers_, gossip_, state_, voter_.get(), metrics_),
      api_(settings_, peers_, gossip_, config_, state_, zone_, voter_.get(),
           [this](const endpoint_info& info, std::uint64_t sequence) {
               gossip_actions out;
               gossip_.announce(info, sequence, steady_now(), out);
               apply_actions(out);
           }),
      buffers_(buffers_of_loop(settings_)), started_at_(steady_now())
{
    config_.on_change_ = [this] { config_changed(); };
    zone_.on_ownership_change_ = [this] { update_self(); };
    if (voter_) {
        voter_->on_applied_ = [this] { state_applied(); };
        state_applied();
    }
    peer_server_ = std::make_unique<peer_server>(
        settings_.peer_address_,
        [this](const QByteArray& bytes, const peer_server::responder& reply) {
            receive_message(bytes, reply);
        },
        peer_limits_of(settings_.buffer_bytes_));
    control_server_ = std::make_unique<http_server>(
        settings_.control_address_, settings_.limits_,
        [this](const http_request& request,
               const std::shared_ptr<responder>& reply) {
            metrics_.count("control_calls");
            api_.handle(request, [reply](http_response response) {
                (*reply)(std::move(response));
            });
        });
    control_server_->set_buffer_budget(buffers_);
    if (settings_.is_gateway_) {
        gateway_options options;
        options.host_ = settings_.host_;
        options.address_ = settings_.caller_address_;
        options.loops_ = settings_.loops_;
        options.sharing_hosts_ = static_cast<int>(settings_.hosts_.size());
        options.limits_ = settings_.limits_;
        options.buffer_bytes_ = buffers_of_loop(settings_);
        options.incarnation_ = incarnation_;
        gateway_ = std::make_unique<gateway>(options, table_, make_hooks());
    }
    start_operator_server();
    refresh_table();
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_interval);
    log_.info("Started in zone '" + settings_.zone_.str() + "'.");
}

// --- Messages from other daemons

void daemon_node::implementation::receive_message(
    const QByteArray& bytes, const peer_server::responder& reply)
{
    auto message = decode_message<peer_message>(
        bytes, peer_protocol_version, [this](const std::string& fault) {
            metrics_.count("bad_peer_messages");
            log_.warning("Failed to decode a peer message: " + fault + ".");
        });
    if (!message) {
        reply(std::nullopt);
        return;
    }
    handle(*message, reply);
}

void daemon_node::implementation::handle(const peer_message& message,
                                         const peer_server::responder& reply)
{
    metrics_.count("peer_messages");
    // A newer revision at the sender means that this daemon is behind.
    if (message.revision_ > config_.revision())
        pull_config(message.from_);
    auto acknowledge = [&reply] { reply(to_wire(slot_response{})); };
    std::visit(
        overloaded{
            [&](const gossip_message& item) {
                gossip_actions out;
                gossip_.receive(item, steady_now(), out);
                acknowledge();
                apply_actions(out);
            },
            [&](const consensus_message& item) {
                acknowledge();
                if (voter_)
                    voter_->receive(item, steady_now());
            },
            [&](const state_request& item) {
                handle_state_request(item, reply);
            },
            [&](const config_request& item) {
                reply(to_wire(config_response{
                    config_.revision(),
                    config_.changed_after(item.known_revision_)}));
            },
            [&](const slot_request_message& item) {
                slots_.handle_request(
                    item, [reply](std::optional<slot_decision> decision) {
                        slot_response response;
                        if (decision)
                            response.decision_.push_back(*decision);
                        reply(to_wire(response));
                    });
            },
            [&](const slot_return_message& item) {
                slots_.handle_return(item);
                acknowledge();
            },
            [&](const slot_withdraw_message& item) {
                slots_.handle_withdrawal(item);
                acknowledge();
            },
            [&](const slot_report_message& item) {
                slots_.handle_report(item);
                acknowledge();
            },
            [&](const outcome_request& item) {
                reply(to_wire(outcome_response{outcomes_.find(item.id_)}));
            },
            [&](const jobs_request& item) { handle_jobs_request(item, reply); },
            [&](const api_request& item) {
                api_.handle_forwarded(item,
                                      [reply](const http_response& response) {
                                          reply(to_wire(response));
                                      });
            }},
        message.payload_);
}

void daemon_node::implementation::handle_state_request(
    const state_request& request, const peer_server::responder& reply)
{
    if (!voter_) {
        reply(to_wire(state_response{}));
        return;
    }
    voter_->propose(
        request.command_, steady_now(),
        [reply](const state_response& response) { reply(to_wire(response)); });
}

void daemon_node::implementation::handle_jobs_request(
    const jobs_request& request, const peer_server::responder& reply)
{
    jobs_response response;
    // Only the leader is certain to have applied all committed entries.
    if (voter_ && voter_->is_leader()) {
        response.is_authoritative_ = true;
        for (const auto& [id, job] : voter_->state().jobs()) {
            if (job.zone_ == request.zone_ && !is_final(job.record_.state_))
                response.records_.push_back(job.record_);
        }
    }
    reply(to_wire(response));
}

// --- Gossip and configuration

void daemon_node::implementation::apply_actions(const gossip_actions& actions)
{
    bool table_changed = false;
    bool hosts_changed = false;
    for (const gossip_action& action : actions) {
        std::visit(
            overloaded{
                [&](const gossip_send& item) {
                    peers_.post(item.to_, item.message_);
                },
                [&](const endpoint_changed& item) {
                    slots_.update_endpoint(item.info_);
                    table_changed = true;
                },
                [&](const endpoint_expired& item) {
                    slots_.remove_endpoint(item.info_);
                    table_changed = true;
                },
                [&](const host_reachable&) { hosts_changed = true; },
                [&](const host_unreachable& item) {
                    log_.warning("Host '" + item.name_.str() +
                                 "' is unreachable.");
                    slots_.handle_host_loss(item.name_);
                },
                [&](const config_outdated& item) { pull_config(item.from_); }},
            action);
    }
    if (hosts_changed)
        slots_.refresh_owners();
    if (table_changed)
        refresh_table();
}

void daemon_node::implementation::update_self()
{
    host_status self = gossip_.self();
    self.revision_ = config_.revision();
    self.serving_ = serving_;
    self.leaving_ = stopping_;
    self.zone_epoch_ = zone_.epoch();
    gossip_actions out;
    gossip_.update_self(self, steady_now(), out);
    apply_actions(out);
    slots_.refresh_owners();
}

void daemon_node::implementation::pull_config(const host_name& from)
{
    if (config_pull_pending_)
        return;
    config_pull_pending_ = true;
    peers_.call<config_response>(
        from, config_request{config_.revision()}, peer_response_timeout,
        [this](std::optional<config_response> response) {
            config_pull_pending_ = false;
            if (response)
                config_.update(response->revision_, response->texts_);
        });
}

void daemon_node::implementation::state_applied()
{
    const config_store& store = voter_->state().config();
    config_.update(store.revision(), store.texts());
}

void daemon_node::implementation::config_changed()
{
    log_.info("Configuration " + std::to_string(config_.revision()) +
              " is in force.");
    metrics_.set_gauge("config_revision",
                       static_cast<double>(config_.revision()));
    peers_.set_revision(config_.revision());
    slots_.configure(config_.rules());
    zone_.configure(config_.rules());
    refresh_table();
    update_self();
}

void daemon_node::implementation::refresh_table()
{
    auto next = std::make_unique<routing_table>();
    next->zone_ = settings_.zone_;
    next->revision_ = config_.revision();
    next->serving_ = serving_;
    next->stopping_ = stopping_;
    for (const auto& [name, rule] : config_.rules().services_) {
        service_route route{rule, {}};
        for (const service_name& dependency : rule.depends_on_) {
            if (!slots_.is_served(dependency))
                route.missing_dependency_ = dependency.str();
        }
        next->services_.emplace(name.str(), std::move(route));
    }
    table_.replace(std::move(next));
}

// A starting daemon serves requests only once its configuration is as recent as
// the newest revision known from its peers. It first waits for a message from
// each peer of the zone, for at most startup_peer_timeout.
void daemon_node::implementation::check_readiness(instant now)
{
    if (serving_ || stopping_)
        return;
    bool heard_from_all = true;
    for (const peer_setting& item : settings_.hosts_) {
        bool own_zone =
            item.zone_ == settings_.zone_ && item.name_ != settings_.host_;
        heard_from_all =
            heard_from_all && (!own_zone || gossip_.has_heard_from(item.name_));
    }
    bool timed_out = now - started_at_ >= startup_peer_timeout;
    bool current = config_.revision() >= gossip_.newest_known_revision();
    if (!current || (!heard_from_all && !timed_out))
        return;
    serving_ = true;
    log_.info("Ready to serve with configuration " +
              std::to_string(config_.revision()) + ".");
    refresh_table();
    update_self();
}

// --- Requests from the gateway threads

gateway_hooks daemon_node::implementation::make_hooks()
{
    gateway_hooks hooks;
    hooks.request_slot_ =
        [this](const slot_request_message& request,
               const gateway_hooks::post& post,
               const std::function<void(slot_decision)>& callback) {
            inbox_.post([this, request, post, callback] {
                slots_.request_slot(
                    request, [post, callback](const slot_decision& decision) {
                        post([callback, decision] { callback(decision); });
                    });
            });
        };
    hooks.withdraw_ = [this](const slot_request_id& id,
                             const service_name& service) {
        inbox_.post([this, id, service] { slots_.withdraw(id, service); });
    };
    hooks.return_slot_ = [this](const slot_returned& item,
                                const service_name& service) {
        inbox_.post(
            [this, item, service] { slots_.return_slot(item, service); });
    };
    hooks.claim_ =
        [this](
            const acquire_claim& claim, duration limit,
            const gateway_hooks::post& post,
            const std::function<void(std::optional<claim_result>)>& callback) {
            inbox_.post([this, claim, limit, post, callback] {
                acquire_request_claim(claim, limit, post, callback);
            });
        };
    hooks.settle_ = [this](const settle_claim& item) {
        inbox_.post([this, item] { settle(item); });
    };
    hooks.record_outcome_ = [this](const outcome_record& record,
                                   const request_metrics& request_stats) {
        inbox_.post([this, record, request_stats] {
            outcomes_.record(record);
            count_request(request_stats);
        });
    };
    hooks.find_outcome_ =
        [this](const request_id& id, const gateway_hooks::post& post,
               const std::function<void(std::optional<outcome_record>)>&
                   callback) {
            inbox_.post([this, id, post, callback] {
                find_outcome(id, post, callback);
            });
        };
    return hooks;
}

void daemon_node::implementation::acquire_request_claim(
    const acquire_claim& claim, duration limit, const gateway_hooks::post& post,
    const std::function<void(std::optional<claim_result>)>& callback)
{
    state_.execute(
        claim, limit,
        [this, claim, post, callback](const command_outcome& outcome) {
            std::optional<claim_result> result;
            if (outcome.status_ == command_status::committed)
                result = std::get<claim_result>(outcome.reply_);
            // The claim may still be committed, but no request will be
            // sent for it.
            if (outcome.status_ == command_status::unknown)
                settle(
                    {claim.key_, claim.request_, request_outcome::not_run, {}});
            post([callback, result] { callback(result); });
        });
}

void daemon_node::implementation::settle(const settle_claim& item)
{
    state_.execute(item, settle_timeout,
                   [this](const command_outcome& outcome) {
                       if (outcome.status_ != command_status::committed)
                           metrics_.count("unsettled_claims");
                   });
}

// Any entry host may have served the request, so all of them are asked.
void daemon_node::implementation::find_outcome(
    const request_id& id, const gateway_hooks::post& post,
    const std::function<void(std::optional<outcome_record>)>& callback)
{
    auto local_record = outcomes_.find(id);
    std::vector<host_name> other_hosts = peers_.other_hosts();
    if (local_record || other_hosts.empty()) {
        post([callback, local_record] { callback(local_record); });
        return;
    }
    // Shared by the response handlers of all hosts.
    struct search
    {
        std::size_t remaining_ = 0;
        bool found_ = false;
    };
    auto state = std::make_shared<search>();
    state->remaining_ = other_hosts.size();
    for (const host_name& host : other_hosts) {
        peers_.call<outcome_response>(
            host, outcome_request{id}, peer_response_timeout,
            [state, post, callback](std::optional<outcome_response> response) {
                --state->remaining_;
                if (state->found_)
                    return;
                std::optional<outcome_record> record;
                if (response)
                    record = response->record_;
                state->found_ = record.has_value();
                if (state->found_ || state->remaining_ == 0)
                    post([callback, record] { callback(record); });
            });
    }
}

void daemon_node::implementation::count_request(
    const request_metrics& request_stats)
{
    std::string name = to_text(request_stats.request_outcome_);
    std::replace(name.begin(), name.end(), '-', '_');
    metrics_.count("requests_" + name);
    if (request_stats.request_outcome_ == request_outcome::completed) {
        metrics_.record_duration("request", request_stats.total_);
        metrics_.record_duration("request_wait", request_stats.queued_);
    }
}

// --- Operator server, timer and graceful shutdown

void daemon_node::implementation::start_operator_server()
{
    http_limits limits = settings_.limits_;
    limits.connections_ = std::min(limits.connections_, operator_connections);
    operator_server_ = std::make_unique<http_server>(
        settings_.operator_address_, limits,
        [this](const http_request& request,
               const std::shared_ptr<responder>& reply) {
            (*reply)(operator_response(request));
        });
    operator_server_->set_buffer_budget(buffers_);
}

http_response
daemon_node::implementation::operator_response(const http_request& request)
{
    std::string path = request.target_.substr(0, request.target_.find('?'));
    if (request.method_ != "GET" && request.method_ != "HEAD")
        return json_response(404, "{}");
    if (path == "/state") {
        dump_sources sources{settings_, gossip_,      config_, slots_,
                             zone_,     voter_.get(), peers_};
        return json_response(200, serialize_json(make_state_dump(sources)));
    }
    if (path != "/metrics")
        return json_response(404, "{}");
    std::vector<const buffer_budget*> budgets{&buffers_};
    if (gateway_) {
        for (const buffer_budget* budget : gateway_->buffers())
            budgets.push_back(budget);
    }
    update_buffer_metrics(budgets, metrics_);
    update_peer_metrics(peer_server_->status(), metrics_);
    http_response response;
    response.headers_.set("Content-Type", "text/plain; version=0.0.4");
    response.body_ = metrics_.to_text();
    return response;
}

void daemon_node::implementation::tick()
{
    instant now = steady_now();
    if (voter_)
        voter_->tick(now);
    gossip_actions out;
    gossip_.tick(now, out);
    apply_actions(out);
    slots_.tick(now);
    zone_.tick(now);
    check_readiness(now);
}

void daemon_node::implementation::begin_stop(std::function<void()> on_done)
{
    if (stopping_)
        return;
    log_.info("Graceful shutdown started.");
    stopping_ = true;
    stop_began_at_ = steady_now();
    on_stopped_ = std::move(on_done);
    zone_.stop();
    if (voter_)
        voter_->transfer_leadership(steady_now());
    update_self();
    // Requests are still served until other hosts have learned of the shutdown.
    instant deadline = steady_now() + settings_.stop_time_;
    QTimer::singleShot(leave_propagation_delay, &inbox_, [this, deadline] {
        refresh_table();
        if (gateway_)
            gateway_->stop_accepting();
        wait_for_drain(deadline);
    });
}

void daemon_node::implementation::wait_for_drain(instant deadline)
{
    std::size_t in_flight = gateway_ ? gateway_->in_flight() : 0;
    instant now = steady_now();
    // Callers with open connections need time to learn of the shutdown.
    bool callers_notified =
        !gateway_ || now >= stop_began_at_ + caller_notice_time;
    if ((in_flight > 0 || !callers_notified) && now < deadline) {
        QTimer::singleShot(20ms, &inbox_,
                           [this, deadline] { wait_for_drain(deadline); });
        return;
    }
    if (in_flight > 0)
        log_.warning("Stopping with " + std::to_string(in_flight) +
                     " requests in flight: the stop time has elapsed.");
    else
        log_.info("Nothing is in flight.");
    // The event loop still has to send the last slot returns and settlements.
    QTimer::singleShot(200ms, &inbox_, [this] {
        timer_.stop();
        on_stopped_();
    });
}

daemon_node::daemon_node(const node_settings& settings)
    : implementation_(std::make_unique<implementation>(settings))
{
}

daemon_node::~daemon_node() = default;

void daemon_node::begin_stop(std::function<void()> on_done)
{
    implementation_->begin_stop(std::move(on_done));
}

} // namespace dandelioncrank
