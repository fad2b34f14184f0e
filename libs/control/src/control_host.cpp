#include "dandelioncrank/control/control_host.hpp"

#include "client_service.hpp"
#include "dandelioncrank/control/membership_planner.hpp"
#include "dandelioncrank/core/json.hpp"
#include "dandelioncrank/peer/peer_metrics.hpp"
#include "dandelioncrank/peer/peer_server.hpp"
#include "dandelioncrank/replica/replica.hpp"
#include "disk_thread.hpp"
#include "evacuation_service.hpp"
#include "group_log.hpp"
#include "loop_report.hpp"
#include "membership_manager.hpp"
#include "peer_registry.hpp"
#include "pool_report.hpp"
#include "worker_service.hpp"

#include <QAbstractEventDispatcher>
#include <QJsonArray>
#include <QJsonObject>
#include <QRandomGenerator>
#include <QTimer>

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 20ms;
// Minimum interval between two runs of the pool owner; each run visits every
// worker.
constexpr auto owner_interval = 8ms;
// Hellos are more frequent while no leader is known.
constexpr duration hello_interval = 400ms;
constexpr duration leaderless_hello_interval = 100ms;
constexpr duration hello_timeout = 400ms;
// Workers are not assigned to a control host whose last hello is older.
constexpr duration control_host_timeout = 1500ms;
// An entry host whose last hello is older is considered gone.
constexpr duration entry_host_timeout = 2s;
// Added to the hello interval for each entry host. The leader thus answers at
// most 500 hellos per second, and with the maximum below every entry host sends
// two before its knowledge of the leader expires.
constexpr auto hello_interval_per_entry_host = 2ms;
constexpr std::chrono::milliseconds max_entry_hello_interval = 500ms;
// Time that a graceful shutdown waits for another host to become the leader.
constexpr duration leadership_transfer_timeout = 1500ms;
// Interval at which the gauges of the state are updated.
constexpr duration state_report_interval = 500ms;

peer_limits limits_of_peers(const control_settings& settings)
{
    peer_limits limits = peer_limits_of(settings.buffer_bytes_);
    limits.connections_ = settings.peer_connections();
    return limits;
}

} // namespace

class control_host::implementation
{
  public:
    implementation(control_host& host, const control_settings& settings,
                   worker_caller call_worker, metric_registry& metrics);

    [[nodiscard]] worker_service& workers() { return *workers_; }
    [[nodiscard]] evacuation_service& evacuations() { return *evacuations_; }
    [[nodiscard]] activity_meter& meter() { return meter_; }
    void put_config(const pool::pool_config& config,
                    response_handler on_response);
    void read_config(response_handler on_response);
    void add_seeds(const std::vector<host_port>& seeds);
    void begin_stop(std::function<void()> on_done);
    [[nodiscard]] std::string describe() const;

  private:
    // Messages from other daemons.
    void receive_message(const QByteArray& bytes,
                         const peer_server::responder& reply);
    void handle(const hello& item, const peer_server::responder& reply);
    void handle(const consensus_message& item,
                const peer_server::responder& reply);
    void handle(const client_call& item, const peer_server::responder& reply);
    void handle(const relayed_announcements& item,
                const peer_server::responder& reply);
    void send_hellos(instant now);

    // Pool ownership.
    void role_changed();
    void acquire_pool();
    void schedule_owner();
    void run_owner();
    void execute(pool::owner_output output);
    void log_events(const std::vector<pool::owner_event>& events);
    void send_calls(const std::vector<pool::worker_call>& calls);
    void tick();
    /// Updates the gauges of the state.
    void report_state(instant now);

    [[nodiscard]] bool is_leader() const { return replica_->is_leader(); }
    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_->machine().state();
    }
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] control_response redirect_to_leader() const;
    /// Returns the control address of the host with an internal address.
    [[nodiscard]] std::string
    control_address_of(const std::string& internal_address) const;
    /// Returns the control addresses of the other control hosts that are live.
    [[nodiscard]] std::vector<std::string> live_hosts() const;
    /// Relays announcements that were acknowledged on the leader's behalf.
    void relay_announcements(instant now);
    std::chrono::milliseconds entry_hello_interval(const std::string& entry);

    component_logger log_{"control"};
    control_host& host_;
    control_settings settings_;
    worker_caller call_worker_;
    metric_registry& metrics_;
    activity_meter meter_{control_activity_names()};
    loop_report loop_report_;
    peer_registry peers_;
    std::unique_ptr<replica<pool_state_machine>> replica_;
    std::unique_ptr<group_log> group_;
    std::unique_ptr<client_service> clients_;
    std::unique_ptr<pool::pool_owner> owner_;
    std::uint64_t owned_term_ = 0;
    bool acquiring_pool_ = false;
    bool owner_scheduled_ = false;
    instant owner_last_run_at_{};
    std::unique_ptr<worker_service> workers_;
    std::unique_ptr<evacuation_service> evacuations_;
    std::map<std::string, instant> entry_hello_at_;
    std::unique_ptr<membership_manager> membership_;
    instant hellos_sent_at_{};
    QObject context_;
    QTimer timer_;
    std::unique_ptr<peer_server> server_;
    /// Ends before the members that its handlers use.
    disk_thread disk_;
    std::function<void()> on_stopped_;
    instant stop_began_at_{};
    bool failure_reported_ = false;
    instant state_reported_at_{};
};

control_host::implementation::implementation(control_host& host,
                                             const control_settings& settings,
                                             worker_caller call_worker,
                                             metric_registry& metrics)
    : host_(host), settings_(settings), call_worker_(std::move(call_worker)),
      metrics_(metrics), loop_report_(meter_, metrics),
      peers_(settings.internal_address_.to_text())
{
    add_seeds(settings_.seeds_);
    bool is_seed =
        std::find(settings_.seeds_.begin(), settings_.seeds_.end(),
                  settings_.control_address_) != settings_.seeds_.end();
    const std::string& self = peers_.self();
    std::uint64_t random = QRandomGenerator::global()->generate64();
    replica_bootstrap origin;
    if (settings_.bootstrap_ && is_seed) {
        // On the first start, the seeds are the initial voters.
        origin.identity_ = make_identity(self, "0");
        origin.members_.voters_.insert(origin.identity_);
        for (const std::string& other : peers_.control_hosts())
            origin.members_.voters_.insert(make_identity(other, "0"));
    } else {
        origin.identity_ =
            make_identity(self, QString::number(random, 16).toStdString());
    }
    instant now = steady_now();
    replica_ = std::make_unique<replica<pool_state_machine>>(
        settings_.data_dir_, origin, random, now,
        [this](const consensus_message& message) {
            peers_.post(address_of(message.to_), message);
        });
    membership_ =
        std::make_unique<membership_manager>(*replica_, settings_, metrics_);
    group_ = std::make_unique<group_log>(*replica_, metrics_, meter_);
    group_->on_flush_ = [this] { schedule_owner(); };
    clients_ = std::make_unique<client_service>(*replica_, *group_, metrics_,
                                                settings_.weight_limit_);
    owner_ = std::make_unique<pool::pool_owner>(state(), settings_.timing_,
                                                settings_.weight_limit_);
    owner_->around_plan_ = [this](const std::function<void()>& plan) {
        activity_meter::scope scope(meter_, planning);
        plan();
    };
    workers_ = std::make_unique<worker_service>(
        *replica_, *group_, *owner_, call_worker_, metrics_,
        settings_.control_address_.to_text());
    workers_->redirect_to_leader_ = [this] { return redirect_to_leader(); };
    workers_->live_hosts_ = [this] { return live_hosts(); };
    workers_->on_owner_work_ = [this] { schedule_owner(); };
    evacuations_ = std::make_unique<evacuation_service>(state(), *group_,
                                                        metrics_, settings_);
    evacuations_->is_leader_ = [this] { return is_leader(); };
    evacuations_->redirect_to_leader_ = [this] { return redirect_to_leader(); };
    evacuations_->host_zones_ = [this] { return membership_->zones(); };
    replica_->on_role_changed_ = [this] { role_changed(); };
    replica_->on_applied_ = [this] {
        owner_->state_changed();
        owner_->observe_contacts(steady_now());
        group_->schedule_flush();
    };
    server_ = std::make_unique<peer_server>(
        settings_.internal_listen_.port_ != 0 ? settings_.internal_listen_
                                              : settings_.internal_address_,
        [this](const QByteArray& bytes, const peer_server::responder& reply) {
            receive_message(bytes, reply);
        },
        limits_of_peers(settings_));
    replica_->disk_executor_ = [this](std::function<void()> write,
                                      std::function<void(instant)> on_done) {
        instant began = steady_now();
        disk_.run(std::move(write), [this, began, on_done](instant done_at) {
            activity_meter::scope scope(meter_, consensus);
            metrics_.record_duration("disk_write", done_at - began);
            on_done(done_at);
        });
    };
    auto* dispatcher = QAbstractEventDispatcher::instance();
    QObject::connect(dispatcher, &QAbstractEventDispatcher::aboutToBlock,
                     &context_, [this] { meter_.switch_to(idle); });
    QObject::connect(dispatcher, &QAbstractEventDispatcher::awake, &context_,
                     [this] { meter_.switch_to(input_output); });
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &context_, [this] { tick(); });
    timer_.start(tick_interval);
}

// --- Messages from other daemons

void control_host::implementation::receive_message(
    const QByteArray& bytes, const peer_server::responder& reply)
{
    auto message = decode_message<control_message>(
        bytes, control_protocol_version, [this](const std::string& fault) {
            metrics_.count("bad_peer_messages");
            log_.warning("Cannot decode peer message: " + fault + ".");
        });
    if (!message) {
        reply(std::nullopt);
        return;
    }
    std::visit([&](const auto& item) { handle(item, reply); },
               message->payload_);
}

void control_host::implementation::handle(const hello& item,
                                          const peer_server::responder& reply)
{
    activity_meter::scope scope(meter_, hellos);
    if (!item.voter_.empty()) {
        peers_.add_control_host(item.address_);
        membership_->record_hello(item, steady_now());
    }
    hello_response response;
    response.is_leader_ = is_leader();
    response.is_configured_ = state().config().version_ > 0;
    response.leader_ = leader_address();
    response.control_hosts_.assign(peers_.control_hosts().begin(),
                                   peers_.control_hosts().end());
    response.control_hosts_.push_back(peers_.self());
    if (item.voter_.empty())
        response.hello_interval_ms_ =
            entry_hello_interval(item.address_).count();
    reply(to_wire(response));
}

// The hello interval grows with the number of entry hosts.
std::chrono::milliseconds
control_host::implementation::entry_hello_interval(const std::string& entry)
{
    instant now = steady_now();
    entry_hello_at_[entry] = now;
    std::erase_if(entry_hello_at_, [now](const auto& item) {
        return now - item.second > entry_host_timeout;
    });
    auto count = static_cast<std::int64_t>(entry_hello_at_.size());
    return std::min(count * hello_interval_per_entry_host,
                    max_entry_hello_interval);
}

void control_host::implementation::handle(const consensus_message& item,
                                          const peer_server::responder& reply)
{
    activity_meter::scope scope(meter_, consensus);
    // An empty acknowledgement: the reply to a consensus message is sent as a
    // message of its own.
    reply(to_wire(hello_response{}));
    replica_->receive(item, steady_now());
    group_->schedule_flush();
}

void control_host::implementation::handle(const client_call& item,
                                          const peer_server::responder& reply)
{
    activity_meter::scope scope(meter_, client_calls);
    clients_->serve(item, [reply](const client_response& response) {
        reply(to_wire(response));
    });
}

void control_host::implementation::handle(const relayed_announcements& item,
                                          const peer_server::responder& reply)
{
    activity_meter::scope scope(meter_, announcements);
    // An empty acknowledgement.
    reply(to_wire(hello_response{}));
    workers_->receive_relayed(item, steady_now());
    schedule_owner();
}

void control_host::implementation::relay_announcements(instant now)
{
    std::vector<relayed_announcement> batch = workers_->take_batch(now);
    std::string leader = leader_address();
    // Without a leader the batch is dropped; the workers' next announcements
    // replace it.
    if (!batch.empty() && !leader.empty() && !is_leader())
        peers_.post(leader, relayed_announcements{std::move(batch)});
}

std::vector<std::string> control_host::implementation::live_hosts() const
{
    std::vector<std::string> hosts;
    for (const std::string& address :
         membership_->heard_since(steady_now() - control_host_timeout))
        hosts.push_back(control_address_of(address));
    return hosts;
}

void control_host::implementation::send_hellos(instant now)
{
    bool has_no_leader = leader_address().empty();
    duration interval =
        has_no_leader ? leaderless_hello_interval : hello_interval;
    if (now - hellos_sent_at_ < interval)
        return;
    hellos_sent_at_ = now;
    hello message{peers_.self(), replica_->status().self_, settings_.zone_};
    for (const std::string& address : peers_.control_hosts()) {
        peers_.request<hello_response>(
            address, message, hello_timeout,
            [this](std::optional<hello_response> response) {
                if (!response)
                    return;
                for (const std::string& other : response->control_hosts_)
                    peers_.add_control_host(other);
            });
    }
}

void control_host::implementation::add_seeds(
    const std::vector<host_port>& seeds)
{
    // The internal port is the same on every host.
    for (const host_port& seed : seeds)
        peers_.add_control_host(
            host_port{seed.host_, settings_.internal_address_.port_}.to_text());
}

std::string control_host::implementation::leader_address() const
{
    voter_name leader = replica_->status().leader_;
    return leader.empty() ? std::string() : address_of(leader);
}

std::string control_host::implementation::control_address_of(
    const std::string& internal_address) const
{
    // Ports are the same on every host.
    findings faults;
    host_port address =
        parse_host_port(internal_address, "control host", faults);
    address.port_ = settings_.control_address_.port_;
    return address.to_text();
}

control_response control_host::implementation::redirect_to_leader() const
{
    std::string leader = leader_address();
    if (leader.empty() || is_leader())
        return {control_outcome::unavailable, {}, {}};
    return {control_outcome::redirect, control_address_of(leader), {}};
}

// --- Workers and operators

void control_host::implementation::put_config(const pool::pool_config& config,
                                              response_handler on_response)
{
    if (!is_leader()) {
        on_response(redirect_to_leader());
        return;
    }
    std::uint64_t version = config.version_;
    group_->enqueue(pool::put_config{config}, [this, version, on_response](
                                                  commit_result end,
                                                  pool::pool_reply reply) {
        bool committed = end == commit_result::committed;
        std::string outcome = "unsure";
        if (committed)
            outcome =
                reply == pool::pool_reply::applied ? "in force" : "not newer";
        log_.event("Configuration submitted.",
                   {{"version", std::to_string(version)},
                    {"outcome", outcome},
                    {"held", std::to_string(state().config().version_)}});
        on_response(committed ? control_response{control_outcome::done, {}, {}}
                              : redirect_to_leader());
    });
}

void control_host::implementation::read_config(response_handler on_response)
{
    if (!is_leader()) {
        on_response(redirect_to_leader());
        return;
    }
    group_->read_barrier([this, on_response](bool granted) {
        if (granted)
            on_response({control_outcome::done, {}, state().config().text_});
        else
            on_response({control_outcome::unavailable, {}, {}});
    });
}

// --- Pool ownership

void control_host::implementation::role_changed()
{
    bool was_owner = owned_term_ != 0;
    bool remains_owner = is_leader() && replica_->status().term_ == owned_term_;
    if (!remains_owner)
        clients_->end_leadership();
    if (was_owner && !remains_owner) {
        log_.event("Lost ownership of the pool.",
                   {{"term", std::to_string(owned_term_)}});
        owner_->end();
        owned_term_ = 0;
        workers_->complete_removals(false);
        workers_->complete_registrations(false, steady_now());
    }
    group_->schedule_flush();
}

// The pool is acquired once this term has committed an entry: only then does
// the state hold every run that an earlier owner may have started. Until then
// the read barrier fails and is retried.
void control_host::implementation::acquire_pool()
{
    if (!is_leader() || owned_term_ != 0 || acquiring_pool_)
        return;
    acquiring_pool_ = true;
    group_->read_barrier([this](bool granted) {
        acquiring_pool_ = false;
        if (!granted || !is_leader() || owned_term_ != 0)
            return;
        owned_term_ = replica_->status().term_;
        owner_->begin(owned_term_, steady_now());
        log_.event(
            "Acquired ownership of the pool.",
            {{"term", std::to_string(owned_term_)},
             {"workers", std::to_string(state().workers().size())},
             {"active_jobs", std::to_string(state().active_jobs().size())}});
    });
}

// A host that wakes from a suspension steps down before it orders anything: its
// quorum may have another leader by now.
void control_host::implementation::run_owner()
{
    replica_->tick(steady_now());
    if (owned_term_ == 0 || !is_leader())
        return;
    activity_meter::scope scope(meter_, sessions);
    workers_->complete_removals(true);
    workers_->complete_registrations(true, steady_now());
    owner_last_run_at_ = steady_now();
    owner_->tick(owner_last_run_at_, wall_milliseconds());
    execute(owner_->take_output());
}

void control_host::implementation::schedule_owner()
{
    if (owned_term_ == 0 || owner_scheduled_)
        return;
    owner_scheduled_ = true;
    auto delay = std::chrono::ceil<std::chrono::milliseconds>(
        time_left(steady_now(), owner_last_run_at_ + owner_interval));
    QTimer::singleShot(delay, Qt::PreciseTimer, &context_, [this] {
        owner_scheduled_ = false;
        run_owner();
    });
}

void control_host::implementation::execute(pool::owner_output output)
{
    log_events(output.events_);
    send_calls(output.calls_);
    std::uint64_t term = owned_term_;
    if (!output.observations_.empty())
        group_->enqueue_all(std::move(output.observations_), term,
                            [this, term, proposal = output.proposal_] {
                                if (owned_term_ == term)
                                    owner_->proposal_settled(proposal,
                                                             steady_now());
                                schedule_owner();
                            });
    if (!output.starts_.empty())
        group_->enqueue_all(std::move(output.starts_), term, [this, term] {
            if (owned_term_ == term)
                owner_->starts_resolved();
            group_->schedule_flush();
        });
}

void control_host::implementation::log_events(
    const std::vector<pool::owner_event>& events)
{
    activity_meter::scope scope(meter_, logging);
    for (const pool::owner_event& event : events) {
        if (event.counter_ != nullptr)
            metrics_.count(event.counter_);
        log_.event(event.message_ + ".",
                   {{"job", event.subject_},
                    {"term", std::to_string(owned_term_)},
                    {"applied", std::to_string(replica_->applied())}});
    }
}

void control_host::implementation::send_calls(
    const std::vector<pool::worker_call>& calls)
{
    activity_meter::scope scope(meter_, worker_calls);
    for (const pool::worker_call& call : calls) {
        metrics_.count("worker_calls");
        std::uint64_t id = call.id_;
        std::uint64_t term = owned_term_;
        call_worker_(call, [this, id, term](const pool::call_result& result) {
            if (owned_term_ != term)
                return;
            activity_meter::scope result_scope(meter_, sessions);
            owner_->handle_result(id, result, steady_now());
            group_->schedule_flush();
        });
    }
}

void control_host::implementation::report_state(instant now)
{
    if (now - state_reported_at_ < state_report_interval)
        return;
    state_reported_at_ = now;
    report_pool(state(), *owner_, settings_.weight_limit_, metrics_);
    update_peer_metrics(server_->status(), metrics_);
}

void control_host::implementation::tick()
{
    instant now = steady_now();
    loop_report_.tick(now);
    report_state(now);
    activity_meter::scope scope(meter_, consensus);
    replica_->tick(now);
    if (!replica_->failure().empty() && !failure_reported_) {
        failure_reported_ = true;
        if (host_.on_failure_)
            host_.on_failure_();
    }
    send_hellos(now);
    relay_announcements(now);
    membership_->review(now);
    acquire_pool();
    group_->schedule_flush();
    if (!on_stopped_)
        return;
    if (is_leader())
        replica_->transfer_leadership(now);
    if (!is_leader() || now - stop_began_at_ > leadership_transfer_timeout) {
        auto handler = std::exchange(on_stopped_, nullptr);
        handler();
    }
}

void control_host::implementation::begin_stop(std::function<void()> on_done)
{
    log_.event("Graceful shutdown started.",
               {{"leads", is_leader() ? "yes" : "no"}});
    stop_began_at_ = steady_now();
    on_stopped_ = std::move(on_done);
}

std::string control_host::implementation::describe() const
{
    replica_status status = replica_->status();
    QJsonObject object;
    object["host"] = to_qt(settings_.host_.str());
    object["zone"] = to_qt(settings_.zone_.str());
    object["role"] = to_qt(to_text(status.role_));
    object["term"] = static_cast<qint64>(status.term_);
    object["leader"] = to_qt(status.leader_.str());
    object["commit"] = static_cast<qint64>(status.commit_);
    object["applied"] = static_cast<qint64>(replica_->applied());
    describe_pool(state(), *owner_, settings_.weight_limit_, object);
    QJsonArray voters;
    for (const voter_name& identity : status.members_.voters_)
        voters.append(to_qt(identity.str()));
    object["voters"] = voters;
    QJsonArray learners;
    for (const voter_name& identity : status.members_.learners_)
        learners.append(to_qt(identity.str()));
    object["learners"] = learners;
    return to_compact_json(object);
}

// --- Public interface

control_host::control_host(const control_settings& settings,
                           worker_caller call_worker, metric_registry& metrics)
    : implementation_(std::make_unique<implementation>(
          *this, settings, std::move(call_worker), metrics))
{
}

control_host::~control_host() = default;

activity_meter& control_host::meter()
{
    return implementation_->meter();
}

void control_host::announce_worker(const pool::worker_info& info,
                                   std::int64_t clock_ms,
                                   std::uint64_t sequence,
                                   duration cold_remaining,
                                   response_handler on_response)
{
    implementation_->workers().announce(info, clock_ms, sequence,
                                        cold_remaining, on_response);
}

void control_host::remove_worker(const worker_name& worker,
                                 std::int64_t incarnation,
                                 response_handler on_response)
{
    implementation_->workers().remove(worker, incarnation, on_response);
}

void control_host::put_config(const pool::pool_config& config,
                              response_handler on_response)
{
    implementation_->put_config(config, std::move(on_response));
}

void control_host::set_evacuation(const zone_name& zone, bool is_evacuated,
                                  response_handler on_response)
{
    implementation_->evacuations().set(zone, is_evacuated, on_response);
}

void control_host::read_config(response_handler on_response)
{
    implementation_->read_config(std::move(on_response));
}

void control_host::add_seeds(const std::vector<host_port>& seeds)
{
    implementation_->add_seeds(seeds);
}

void control_host::begin_stop(std::function<void()> on_done)
{
    implementation_->begin_stop(std::move(on_done));
}

std::string control_host::describe() const
{
    return implementation_->describe();
}

} // namespace dandelioncrank::control
