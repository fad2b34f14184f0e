#include "dandelioncrank/node/daemon_node.hpp"

#include "config_keeper.hpp"
#include "consensus_host.hpp"
#include "control_api.hpp"
#include "dandelioncrank/core/mailbox.hpp"
#include "dandelioncrank/core/overloaded.hpp"
#include "dandelioncrank/gateway/gateway.hpp"
#include "dandelioncrank/http/http_server.hpp"
#include "dandelioncrank/metrics/metric_registry.hpp"
#include "dandelioncrank/peer/peer_server.hpp"
#include "fate_store.hpp"
#include "json_text.hpp"
#include "slot_service.hpp"
#include "state_client.hpp"
#include "state_page.hpp"
#include "zone_service.hpp"

#include <QHostAddress>
#include <QHttpServer>
#include <QHttpServerResponse>
#include <QTimer>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_time = 10ms;
constexpr std::size_t max_fates = 100000;
// How long a starting daemon waits to hear from the peers of its zone.
constexpr duration start_time = 3s;
constexpr duration peer_answer_time = 1s;
constexpr duration settle_limit = 60s;
// Time in which the others hear that this host is leaving.
constexpr auto leave_time = 600ms;
// Time in which callers' open connections are told, by a refusal of their
// next request, that this host is stopping.
constexpr duration tell_time = 2s;

std::uint64_t make_incarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count() /
        100 % 10'000'000);
}

std::vector<host_name> names_of_others(const node_settings& settings)
{
    std::vector<host_name> names;
    for (const peer_setting& item : settings.hosts_) {
        if (item.name_ != settings.host_)
            names.push_back(item.name_);
    }
    return names;
}

host_status make_self(const node_settings& settings, std::uint64_t incarnation)
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
    // Messages of other daemons.
    void take_message(const QByteArray& bytes,
                      const peer_server::responder& reply);
    void handle(const peer_message& message,
                const peer_server::responder& reply);
    void answer_state(const state_request& request,
                      const peer_server::responder& reply);
    void answer_jobs(const jobs_request& request,
                     const peer_server::responder& reply);

    // The spread of announcements and revisions.
    void carry_out(const gossip_actions& actions);
    void update_self();
    void pull_config(const host_name& from);
    void config_changed();
    void state_applied();
    void refresh_table();
    void check_start(instant now);

    // The gateway's questions.
    gateway_hooks make_hooks();
    void take_claim_order(
        const acquire_claim& claim, duration limit,
        const gateway_hooks::post& post,
        const std::function<void(std::optional<claim_result>)>& answer);
    void settle(const settle_claim& item);
    void
    find_fate(const request_id& id, const gateway_hooks::post& post,
              const std::function<void(std::optional<outcome_record>)>& answer);
    void count_request(const request_metrics& figures);

    void start_operator_pages();
    void tick();
    void wait_for_requests(instant give_up);

    part_log log_{"node"};
    node_settings settings_;
    std::uint64_t incarnation_;
    metric_registry metrics_;
    mailbox inbox_;
    peer_directory peers_;
    disseminator gossip_;
    config_keeper config_;
    fate_store fates_;
    std::unique_ptr<consensus_host> voter_;
    state_client state_;
    slot_service slots_;
    zone_service zone_;
    control_api api_;
    rcu_routing_table table_;
    QHttpServer pages_;
    std::unique_ptr<peer_server> peer_server_;
    std::unique_ptr<http_server> control_server_;
    std::unique_ptr<gateway> gateway_;
    QTimer timer_;
    instant started_at_;
    bool serving_ = false;
    bool stopping_ = false;
    instant stop_began_at_{};
    bool pulling_ = false;
    std::function<void()> on_stopped_;
};

daemon_node::implementation::implementation(const node_settings& settings)
    : settings_(settings), incarnation_(make_incarnation()), peers_(settings_),
      gossip_(make_self(settings_, incarnation_), names_of_others(settings_),
              gossip_timing{}),
      fates_(max_fates),
      voter_(settings_.is_voter_
                 ? std::make_unique<consensus_host>(settings_, peers_)
                 : nullptr),
      state_(settings_, peers_, voter_.get()),
      slots_(settings_, peers_, gossip_, metrics_),
      zone_(settings_, peers_, gossip_, state_, voter_.get(), metrics_),
      api_(settings_, peers_, gossip_, config_, state_, zone_, voter_.get(),
           [this](const endpoint_info& info, std::uint64_t sequence) {
               gossip_actions out;
               gossip_.announce(info, sequence, steady_now(), out);
               carry_out(out);
           }),
      started_at_(steady_now())
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
            take_message(bytes, reply);
        });
    control_server_ = std::make_unique<http_server>(
        settings_.control_address_, settings_.limits_,
        [this](const http_request& request,
               const std::shared_ptr<responder>& reply) {
            metrics_.count("control_calls");
            api_.handle(request, [reply](http_response response) {
                (*reply)(std::move(response));
            });
        });
    if (settings_.is_gateway_) {
        gateway_options options;
        options.host_ = settings_.host_;
        options.address_ = settings_.caller_address_;
        options.loops_ = settings_.loops_;
        options.sharing_hosts_ = static_cast<int>(settings_.hosts_.size());
        options.limits_ = settings_.limits_;
        options.incarnation_ = incarnation_;
        gateway_ = std::make_unique<gateway>(options, table_, make_hooks());
    }
    start_operator_pages();
    refresh_table();
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_time);
    log_.info("Started in zone '" + settings_.zone_.str() + "'.");
}

// --- Messages of other daemons

void daemon_node::implementation::take_message(
    const QByteArray& bytes, const peer_server::responder& reply)
{
    auto message = decode_message<peer_message>(
        bytes, peer_version, [this](const std::string& fault) {
            metrics_.count("bad_peer_messages");
            log_.warning("A message could not be read: " + fault + ".");
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
    // Whoever is behind asks for the configuration before long.
    if (message.revision_ > config_.revision())
        pull_config(message.from_);
    auto done = [&reply] { reply(to_wire(slot_answer{})); };
    std::visit(
        overloaded{
            [&](const gossip_message& item) {
                gossip_actions out;
                gossip_.receive(item, steady_now(), out);
                done();
                carry_out(out);
            },
            [&](const consensus_message& item) {
                done();
                if (voter_)
                    voter_->receive(item, steady_now());
            },
            [&](const state_request& item) { answer_state(item, reply); },
            [&](const config_request& item) {
                reply(to_wire(config_answer{
                    config_.revision(), config_.changed_after(item.have_)}));
            },
            [&](const slot_request_message& item) {
                slots_.take_order(
                    item, [reply](std::optional<slot_decision> decision) {
                        slot_answer answer;
                        if (decision)
                            answer.decision_.push_back(*decision);
                        reply(to_wire(answer));
                    });
            },
            [&](const slot_return_message& item) {
                slots_.take_return(item);
                done();
            },
            [&](const slot_withdraw_message& item) {
                slots_.take_withdrawal(item);
                done();
            },
            [&](const slot_report_message& item) {
                slots_.take_report(item);
                done();
            },
            [&](const fate_request& item) {
                reply(to_wire(fate_answer{fates_.find(item.id_)}));
            },
            [&](const jobs_request& item) { answer_jobs(item, reply); },
            [&](const api_request& item) {
                api_.handle_passed(item, [reply](const http_response& answer) {
                    reply(to_wire(answer));
                });
            }},
        message.payload_);
}

void daemon_node::implementation::answer_state(
    const state_request& request, const peer_server::responder& reply)
{
    if (!voter_) {
        reply(to_wire(state_answer{}));
        return;
    }
    voter_->propose(
        request.command_, steady_now(),
        [reply](const state_answer& answer) { reply(to_wire(answer)); });
}

void daemon_node::implementation::answer_jobs(
    const jobs_request& request, const peer_server::responder& reply)
{
    jobs_answer answer;
    // Only a leader is sure to have applied everything committed.
    if (voter_ && voter_->is_leader()) {
        answer.known_ = true;
        for (const auto& [id, job] : voter_->state().jobs()) {
            if (job.zone_ == request.zone_ && !is_final(job.record_.state_))
                answer.records_.push_back(job.record_);
        }
    }
    reply(to_wire(answer));
}

// --- Announcements and revisions

void daemon_node::implementation::carry_out(const gossip_actions& actions)
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
                    slots_.endpoint_changed(item.info_);
                    table_changed = true;
                },
                [&](const endpoint_expired& item) {
                    slots_.endpoint_gone(item.info_);
                    table_changed = true;
                },
                [&](const host_reachable&) { hosts_changed = true; },
                [&](const host_unreachable& item) {
                    log_.warning("Host '" + item.name_.str() + "' is silent.");
                    slots_.host_lost(item.name_);
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
    carry_out(out);
    slots_.refresh_owners();
}

void daemon_node::implementation::pull_config(const host_name& from)
{
    if (pulling_)
        return;
    pulling_ = true;
    peers_.ask<config_answer>(
        from, config_request{config_.revision()}, peer_answer_time,
        [this](std::optional<config_answer> answer) {
            pulling_ = false;
            if (answer)
                config_.offer(answer->revision_, answer->texts_);
        });
}

void daemon_node::implementation::state_applied()
{
    const config_store& store = voter_->state().config();
    config_.offer(store.revision(), store.texts());
}

void daemon_node::implementation::config_changed()
{
    log_.info("Configuration " + std::to_string(config_.revision()) +
              " is in force.");
    metrics_.gauge("config_revision", static_cast<double>(config_.revision()));
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

// A daemon that starts does not serve before it knows a configuration as
// new as its peers' in the zone, or they stay silent.
void daemon_node::implementation::check_start(instant now)
{
    if (serving_ || stopping_)
        return;
    bool heard_all = true;
    for (const peer_setting& item : settings_.hosts_) {
        bool own_zone =
            item.zone_ == settings_.zone_ && item.name_ != settings_.host_;
        heard_all =
            heard_all && (!own_zone || gossip_.has_heard_from(item.name_));
    }
    bool waited = now - started_at_ >= start_time;
    bool current = config_.revision() >= gossip_.newest_known_revision();
    if (!current || (!heard_all && !waited))
        return;
    serving_ = true;
    log_.info("Serves with configuration " +
              std::to_string(config_.revision()) + ".");
    refresh_table();
    update_self();
}

// --- The gateway's questions

gateway_hooks daemon_node::implementation::make_hooks()
{
    gateway_hooks hooks;
    hooks.request_slot_ =
        [this](const slot_request_message& order,
               const gateway_hooks::post& post,
               const std::function<void(slot_decision)>& answer) {
            inbox_.post([this, order, post, answer] {
                slots_.order(order,
                             [post, answer](const slot_decision& decision) {
                                 post([answer, decision] { answer(decision); });
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
        [this](const acquire_claim& claim, duration limit,
               const gateway_hooks::post& post,
               const std::function<void(std::optional<claim_result>)>& answer) {
            inbox_.post([this, claim, limit, post, answer] {
                take_claim_order(claim, limit, post, answer);
            });
        };
    hooks.settle_ = [this](const settle_claim& item) {
        inbox_.post([this, item] { settle(item); });
    };
    hooks.record_outcome_ = [this](const outcome_record& record,
                                   const request_metrics& figures) {
        inbox_.post([this, record, figures] {
            fates_.record(record);
            count_request(figures);
        });
    };
    hooks.find_outcome_ =
        [this](
            const request_id& id, const gateway_hooks::post& post,
            const std::function<void(std::optional<outcome_record>)>& answer) {
            inbox_.post(
                [this, id, post, answer] { find_fate(id, post, answer); });
        };
    return hooks;
}

void daemon_node::implementation::take_claim_order(
    const acquire_claim& claim, duration limit, const gateway_hooks::post& post,
    const std::function<void(std::optional<claim_result>)>& answer)
{
    state_.run(
        claim, limit,
        [this, claim, post, answer](const command_outcome& outcome) {
            std::optional<claim_result> result;
            if (outcome.end_ == command_end::committed)
                result = std::get<claim_result>(outcome.reply_);
            // The claim may be committed yet, but nothing will be sent
            // for it.
            if (outcome.end_ == command_end::unsure)
                settle(
                    {claim.key_, claim.request_, request_outcome::not_run, {}});
            post([answer, result] { answer(result); });
        });
}

void daemon_node::implementation::settle(const settle_claim& item)
{
    state_.run(item, settle_limit, [this](const command_outcome& outcome) {
        if (outcome.end_ != command_end::committed)
            metrics_.count("unsettled_claims");
    });
}

// Any entry host may have served the request.
void daemon_node::implementation::find_fate(
    const request_id& id, const gateway_hooks::post& post,
    const std::function<void(std::optional<outcome_record>)>& answer)
{
    auto own = fates_.find(id);
    std::vector<host_name> others = peers_.others();
    if (own || others.empty()) {
        post([answer, own] { answer(own); });
        return;
    }
    // Shared by the answers of all hosts.
    struct search
    {
        std::size_t open_ = 0;
        bool found_ = false;
    };
    auto state = std::make_shared<search>();
    state->open_ = others.size();
    for (const host_name& host : others) {
        peers_.ask<fate_answer>(
            host, fate_request{id}, peer_answer_time,
            [state, post, answer](std::optional<fate_answer> said) {
                --state->open_;
                if (state->found_)
                    return;
                std::optional<outcome_record> record;
                if (said)
                    record = said->record_;
                state->found_ = record.has_value();
                if (state->found_ || state->open_ == 0)
                    post([answer, record] { answer(record); });
            });
    }
}

void daemon_node::implementation::count_request(const request_metrics& figures)
{
    std::string name = to_text(figures.request_outcome_);
    std::replace(name.begin(), name.end(), '-', '_');
    metrics_.count("requests_" + name);
    if (figures.request_outcome_ == request_outcome::completed) {
        metrics_.time("request", figures.total_);
        metrics_.time("request_wait", figures.queued_);
    }
}

// --- Operators' pages, time and the planned stop

void daemon_node::implementation::start_operator_pages()
{
    pages_.route("/state", [this] {
        dump_sources sources{settings_, gossip_,      config_, slots_,
                             zone_,     voter_.get(), peers_};
        return QHttpServerResponse(
            "application/json",
            QByteArray::fromStdString(to_json_text(make_state_dump(sources))));
    });
    pages_.route("/metrics", [this] {
        return QHttpServerResponse(
            "text/plain; version=0.0.4",
            QByteArray::fromStdString(metrics_.to_text()));
    });
    const host_port& address = settings_.operator_address_;
    auto port = pages_.listen(QHostAddress(to_qt(address.host_)),
                              static_cast<quint16>(address.port_));
    if (port == 0)
        throw std::system_error(std::make_error_code(std::errc::address_in_use),
                                "listen on " + address.to_text());
}

void daemon_node::implementation::tick()
{
    instant now = steady_now();
    if (voter_)
        voter_->tick(now);
    gossip_actions out;
    gossip_.tick(now, out);
    carry_out(out);
    slots_.tick(now);
    zone_.tick(now);
    check_start(now);
}

void daemon_node::implementation::begin_stop(std::function<void()> on_done)
{
    if (stopping_)
        return;
    log_.info("Stops as planned.");
    stopping_ = true;
    stop_began_at_ = steady_now();
    on_stopped_ = std::move(on_done);
    zone_.stop();
    if (voter_)
        voter_->transfer_leadership(steady_now());
    update_self();
    // Callers are still answered while the others hear of it.
    instant give_up = steady_now() + settings_.stop_time_;
    QTimer::singleShot(leave_time, &inbox_, [this, give_up] {
        refresh_table();
        if (gateway_)
            gateway_->stop_accepting();
        wait_for_requests(give_up);
    });
}

void daemon_node::implementation::wait_for_requests(instant give_up)
{
    std::size_t open = gateway_ ? gateway_->in_flight() : 0;
    instant now = steady_now();
    // Callers with open connections get a while to be told.
    bool told = !gateway_ || now >= stop_began_at_ + tell_time;
    if ((open > 0 || !told) && now < give_up) {
        QTimer::singleShot(20ms, &inbox_,
                           [this, give_up] { wait_for_requests(give_up); });
        return;
    }
    if (open > 0)
        log_.warning("Stops with " + std::to_string(open) +
                     " requests in flight: the stop time is over.");
    else
        log_.info("Nothing is in flight.");
    // Last slots and settlements leave with the next turns of the loop.
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
