#include "dandelioncrank/control/control_host.hpp"

#include "client_service.hpp"
#include "dandelioncrank/control/member_planner.hpp"
#include "dandelioncrank/core/overloaded.hpp"
#include "dandelioncrank/peer/peer_server.hpp"
#include "dandelioncrank/replica/replica.hpp"
#include "group_log.hpp"
#include "peer_book.hpp"
#include "worker_service.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>
#include <QTimer>

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_time = 20ms;
// Pause between two turns of the pool's owner: each looks at every worker.
constexpr auto owner_pause = 8ms;
constexpr duration member_review_time = 100ms;
// A host that knows no leader asks more often.
constexpr duration hello_time = 400ms;
constexpr duration lost_hello_time = 100ms;
constexpr duration hello_limit = 400ms;
// A control host that greeted within this time is there for workers.
constexpr duration host_fresh_time = 1500ms;
// An entry host that has not asked for so long is gone.
constexpr duration entry_gone_time = 2s;
// Pause that each entry host adds: the leader answers 500 a second at most,
// and every host asks twice in the time in which its belief is fresh.
constexpr auto pause_per_entry = 2ms;
constexpr std::chrono::milliseconds longest_entry_pause = 500ms;
// How long a planned stop waits for another host to lead.
constexpr duration hand_over_time = 1500ms;

} // namespace

class control_host::implementation
{
  public:
    implementation(control_host& host, const control_settings& settings,
                   worker_caller call_worker, metric_registry& metrics);

    [[nodiscard]] worker_service& workers() { return *workers_; }
    void put_config(const pool::pool_config& config, answer_handler on_answer);
    void read_config(answer_handler on_answer);
    void add_seeds(const std::vector<host_port>& seeds);
    void begin_stop(std::function<void()> on_done);
    [[nodiscard]] std::string describe() const;

  private:
    // Messages of other daemons.
    void take_message(const QByteArray& bytes, const peer_server::reply& reply);
    void handle(const hello& item, const peer_server::reply& reply);
    void handle(const consensus_message& item, const peer_server::reply& reply);
    void handle(const client_call& item, const peer_server::reply& reply);
    void handle(const worker_signs& item, const peer_server::reply& reply);
    void greet_others(instant now);

    // Owning the pool.
    void role_changed();
    void take_over();
    void schedule_owner();
    void run_owner();
    void carry_out(pool::owner_output output);
    void review_members(instant now);
    void tick();

    [[nodiscard]] bool leads() const { return replica_->is_leader(); }
    [[nodiscard]] const pool::pool_state& state() const
    {
        return replica_->machine().state();
    }
    [[nodiscard]] std::string leader_address() const;
    [[nodiscard]] control_answer elsewhere() const;
    /// Where workers and operators reach the host of an internal address.
    [[nodiscard]] std::string
    control_address_of(const std::string& internal) const;
    /// Where workers reach the other control hosts that are there.
    [[nodiscard]] std::vector<std::string> present_hosts() const;
    /// Passes on what was acknowledged in the leader's name.
    void tell_leader(instant now);
    std::chrono::milliseconds entry_pause(const std::string& entry);

    part_log log_{"control"};
    control_host& host_;
    control_settings settings_;
    worker_caller call_worker_;
    metric_registry& metrics_;
    peer_book peers_;
    std::unique_ptr<replica<pool_machine>> replica_;
    std::unique_ptr<group_log> group_;
    std::unique_ptr<client_service> clients_;
    std::unique_ptr<pool::pool_owner> owner_;
    std::uint64_t owned_term_ = 0;
    bool taking_over_ = false;
    bool owner_scheduled_ = false;
    instant owner_ran_at_{};
    std::unique_ptr<worker_service> workers_;
    std::map<std::string, instant> entries_heard_at_;
    std::map<voter_name, instant> greeted_at_;
    std::map<std::string, zone_name> zones_;
    instant members_reviewed_at_{};
    instant greeted_others_at_{};
    QObject context_;
    QTimer timer_;
    std::unique_ptr<peer_server> server_;
    std::function<void()> on_stopped_;
    instant stop_began_at_{};
    bool failure_reported_ = false;
};

control_host::implementation::implementation(control_host& host,
                                             const control_settings& settings,
                                             worker_caller call_worker,
                                             metric_registry& metrics)
    : host_(host), settings_(settings), call_worker_(std::move(call_worker)),
      metrics_(metrics), peers_(settings.internal_address_.to_text())
{
    add_seeds(settings_.seeds_);
    bool is_seed =
        std::find(settings_.seeds_.begin(), settings_.seeds_.end(),
                  settings_.control_address_) != settings_.seeds_.end();
    const std::string& self = peers_.self();
    std::uint64_t random = QRandomGenerator::global()->generate64();
    replica_bootstrap origin;
    if (settings_.bootstrap_ && is_seed) {
        // The seeds of the first start are the first voters.
        origin.identity_ = make_identity(self, "0");
        origin.members_.voters_.insert(origin.identity_);
        for (const std::string& other : peers_.control_hosts())
            origin.members_.voters_.insert(make_identity(other, "0"));
    } else {
        origin.identity_ =
            make_identity(self, QString::number(random, 16).toStdString());
    }
    instant now = steady_now();
    replica_ = std::make_unique<replica<pool_machine>>(
        settings_.data_dir_, origin, random, now,
        [this](const consensus_message& message) {
            peers_.post(address_of(message.to_), message);
        });
    group_ = std::make_unique<group_log>(*replica_, metrics_);
    group_->on_flush_ = [this] { schedule_owner(); };
    clients_ = std::make_unique<client_service>(*replica_, *group_, metrics_);
    owner_ = std::make_unique<pool::pool_owner>(state(), settings_.timing_);
    workers_ = std::make_unique<worker_service>(
        *replica_, *group_, *owner_, settings_.control_address_.to_text());
    workers_->elsewhere_ = [this] { return elsewhere(); };
    workers_->present_hosts_ = [this] { return present_hosts(); };
    workers_->on_due_ = [this] { schedule_owner(); };
    replica_->on_role_changed_ = [this] { role_changed(); };
    replica_->on_applied_ = [this] {
        owner_->state_changed();
        group_->schedule_flush();
    };
    server_ = std::make_unique<peer_server>(
        settings_.internal_listen_.port_ != 0 ? settings_.internal_listen_
                                              : settings_.internal_address_,
        [this](const QByteArray& bytes, const peer_server::reply& reply) {
            take_message(bytes, reply);
        });
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &context_, [this] { tick(); });
    timer_.start(tick_time);
}

// --- Messages of other daemons

void control_host::implementation::take_message(const QByteArray& bytes,
                                                const peer_server::reply& reply)
{
    auto message = read_message<control_message>(
        bytes, control_version, [this](const std::string& fault) {
            metrics_.count("bad_peer_messages");
            log_.warning("A message could not be read: " + fault + ".");
        });
    if (!message) {
        reply(std::nullopt);
        return;
    }
    std::visit([&](const auto& item) { handle(item, reply); },
               message->payload_);
}

void control_host::implementation::handle(const hello& item,
                                          const peer_server::reply& reply)
{
    if (!item.voter_.empty()) {
        peers_.add_control_host(item.address_);
        greeted_at_[item.voter_] = steady_now();
        zones_[item.address_] = item.zone_;
    }
    hello_answer answer;
    answer.leads_ = leads();
    answer.is_configured_ = state().config().version_ > 0;
    answer.leader_ = leader_address();
    answer.control_hosts_.assign(peers_.control_hosts().begin(),
                                 peers_.control_hosts().end());
    answer.control_hosts_.push_back(peers_.self());
    if (item.voter_.empty())
        answer.pause_ms_ = entry_pause(item.address_).count();
    reply(to_wire(answer));
}

// The more entry hosts ask, the longer each waits before it asks again.
std::chrono::milliseconds
control_host::implementation::entry_pause(const std::string& entry)
{
    instant now = steady_now();
    entries_heard_at_[entry] = now;
    std::erase_if(entries_heard_at_, [now](const auto& item) {
        return now - item.second > entry_gone_time;
    });
    auto count = static_cast<std::int64_t>(entries_heard_at_.size());
    return std::min(count * pause_per_entry, longest_entry_pause);
}

void control_host::implementation::handle(const consensus_message& item,
                                          const peer_server::reply& reply)
{
    // Any answer will do; the message's own answer is a message again.
    reply(to_wire(hello_answer{}));
    replica_->receive(item, steady_now());
    group_->schedule_flush();
}

void control_host::implementation::handle(const client_call& item,
                                          const peer_server::reply& reply)
{
    clients_->serve(
        item, [reply](const client_answer& answer) { reply(to_wire(answer)); });
}

void control_host::implementation::handle(const worker_signs& item,
                                          const peer_server::reply& reply)
{
    reply(to_wire(hello_answer{}));
    workers_->take_signs(item, steady_now());
    schedule_owner();
}

void control_host::implementation::tell_leader(instant now)
{
    std::vector<worker_sign> batch = workers_->take_batch(now);
    std::string leader = leader_address();
    // Without a leader the workers' next announcements serve as well.
    if (!batch.empty() && !leader.empty() && !leads())
        peers_.post(leader, worker_signs{std::move(batch)});
}

std::vector<std::string> control_host::implementation::present_hosts() const
{
    std::vector<std::string> hosts;
    instant now = steady_now();
    for (const auto& [who, at] : greeted_at_) {
        if (now - at < host_fresh_time)
            hosts.push_back(control_address_of(address_of(who)));
    }
    return hosts;
}

void control_host::implementation::greet_others(instant now)
{
    bool is_lost = leader_address().empty();
    duration pause = is_lost ? lost_hello_time : hello_time;
    if (now - greeted_others_at_ < pause)
        return;
    greeted_others_at_ = now;
    hello message{peers_.self(), replica_->status().self_, settings_.zone_};
    for (const std::string& address : peers_.control_hosts()) {
        peers_.ask<hello_answer>(address, message, hello_limit,
                                 [this](std::optional<hello_answer> answer) {
                                     if (!answer)
                                         return;
                                     for (const std::string& other :
                                          answer->control_hosts_)
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
    const std::string& internal) const
{
    // Ports are the same on every host.
    findings faults;
    host_port address = parse_host_port(internal, "control host", faults);
    address.port_ = settings_.control_address_.port_;
    return address.to_text();
}

control_answer control_host::implementation::elsewhere() const
{
    std::string leader = leader_address();
    if (leader.empty() || leads())
        return {control_outcome::unavailable, {}, {}};
    return {control_outcome::elsewhere, control_address_of(leader), {}};
}

// --- Workers and operators

void control_host::implementation::put_config(const pool::pool_config& config,
                                              answer_handler on_answer)
{
    if (!leads()) {
        on_answer(elsewhere());
        return;
    }
    std::uint64_t version = config.version_;
    group_->enqueue(
        pool::put_config{config},
        [this, version, on_answer](commit_result end, pool::pool_reply reply) {
            bool committed = end == commit_result::committed;
            std::string outcome = "unsure";
            if (committed)
                outcome = reply == pool::pool_reply::applied ? "in force"
                                                             : "not newer";
            log_.event("Configuration was sent.",
                       {{"version", std::to_string(version)},
                        {"outcome", outcome},
                        {"held", std::to_string(state().config().version_)}});
            on_answer(committed ? control_answer{control_outcome::done, {}, {}}
                                : elsewhere());
        });
}

void control_host::implementation::read_config(answer_handler on_answer)
{
    if (!leads()) {
        on_answer(elsewhere());
        return;
    }
    group_->confirm([this, on_answer](bool granted) {
        if (granted)
            on_answer({control_outcome::done, {}, state().config().text_});
        else
            on_answer({control_outcome::unavailable, {}, {}});
    });
}

// --- Owning the pool

void control_host::implementation::role_changed()
{
    bool is_owner = owned_term_ != 0;
    bool still = leads() && replica_->status().term_ == owned_term_;
    if (!still)
        clients_->end_leadership();
    if (is_owner && !still) {
        log_.event("The pool is given up.",
                   {{"term", std::to_string(owned_term_)}});
        owner_->end();
        owned_term_ = 0;
        workers_->settle_leaves(false);
    }
    group_->schedule_flush();
}

// The pool is taken over once this term has committed an entry: only then
// does the state hold every run that an earlier owner may have ordered.
// Until then a read is not granted, and is asked for again.
void control_host::implementation::take_over()
{
    if (!leads() || owned_term_ != 0 || taking_over_)
        return;
    taking_over_ = true;
    group_->confirm([this](bool granted) {
        taking_over_ = false;
        if (!granted || !leads() || owned_term_ != 0)
            return;
        owned_term_ = replica_->status().term_;
        owner_->begin(owned_term_, steady_now());
        log_.event(
            "The pool is taken over.",
            {{"term", std::to_string(owned_term_)},
             {"workers", std::to_string(state().workers().size())},
             {"active_jobs", std::to_string(state().active_jobs().size())}});
    });
}

void control_host::implementation::run_owner()
{
    if (owned_term_ == 0 || !leads())
        return;
    workers_->settle_leaves(true);
    owner_ran_at_ = steady_now();
    owner_->tick(owner_ran_at_, wall_milliseconds());
    carry_out(owner_->take_output());
}

void control_host::implementation::schedule_owner()
{
    if (owned_term_ == 0 || owner_scheduled_)
        return;
    owner_scheduled_ = true;
    auto pause = std::chrono::ceil<std::chrono::milliseconds>(
        time_left(steady_now(), owner_ran_at_ + owner_pause));
    QTimer::singleShot(pause, Qt::PreciseTimer, &context_, [this] {
        owner_scheduled_ = false;
        run_owner();
    });
}

void control_host::implementation::carry_out(pool::owner_output output)
{
    for (const pool::owner_event& event : output.events_)
        log_.event(event.message_ + ".",
                   {{"job", event.subject_},
                    {"term", std::to_string(owned_term_)},
                    {"applied", std::to_string(replica_->applied())}});
    for (const pool::worker_call& call : output.calls_) {
        metrics_.count("worker_calls");
        std::uint64_t id = call.id_;
        std::uint64_t term = owned_term_;
        call_worker_(call, [this, id, term](const pool::call_result& result) {
            if (owned_term_ != term)
                return;
            owner_->handle_result(id, result, steady_now());
            group_->schedule_flush();
        });
    }
    for (pool::pool_command& item : output.observations_)
        group_->enqueue(std::move(item), nullptr);
    if (output.starts_.empty())
        return;
    std::uint64_t term = owned_term_;
    for (std::size_t i = 0; i < output.starts_.size(); ++i) {
        bool is_last = i + 1 == output.starts_.size();
        group_->enqueue(std::move(output.starts_[i]),
                        [this, term, is_last](commit_result, pool::pool_reply) {
                            if (is_last && owned_term_ == term)
                                owner_->starts_resolved();
                            group_->schedule_flush();
                        });
    }
}

void control_host::implementation::review_members(instant now)
{
    if (!leads() || now - members_reviewed_at_ < member_review_time)
        return;
    members_reviewed_at_ = now;
    replica_status status = replica_->status();
    member_view view;
    view.members_ = status.members_;
    view.self_ = status.self_;
    view.greeted_at_ = greeted_at_;
    view.zones_ = zones_;
    view.zones_[peers_.self()] = settings_.zone_;
    view.wanted_voters_ = 2 * settings_.tolerated_hosts_ + 1;
    view.catch_up_time_ = settings_.catch_up_time_;
    view.now_ = now;
    for (const auto* group :
         {&status.members_.voters_, &status.members_.learners_}) {
        for (const voter_name& who : *group) {
            if (auto heard = replica_->last_contact_at(who))
                view.heard_at_[who] = *heard;
        }
    }
    auto step = next_member_step(view);
    if (!step)
        return;
    bool taken = std::visit(
        overloaded{[&](const add_learner_step& item) {
                       log_.event("A control host joins.",
                                  {{"member", item.who_.str()}});
                       return replica_->add_learner(item.who_,
                                                    address_of(item.who_), now);
                   },
                   [&](const promote_step& item) {
                       log_.event("A learner is to vote.",
                                  {{"member", item.who_.str()}});
                       return replica_->promote_learner(item.who_, now);
                   },
                   [&](const replace_voter_step& item) {
                       log_.event("A voter is replaced.",
                                  {{"old", item.old_.str()},
                                   {"new", item.next_.str()}});
                       return replica_->replace_voter(
                           item.old_, item.next_, address_of(item.next_), now);
                   },
                   [&](const remove_member_step& item) {
                       log_.event("A member is removed.",
                                  {{"member", item.who_.str()}});
                       return replica_->remove_member(item.who_, now);
                   }},
        *step);
    if (!taken)
        metrics_.count("member_steps_refused");
}

void control_host::implementation::tick()
{
    instant now = steady_now();
    replica_->tick(now);
    if (!replica_->failure().empty() && !failure_reported_) {
        failure_reported_ = true;
        if (host_.on_failure_)
            host_.on_failure_();
    }
    greet_others(now);
    tell_leader(now);
    review_members(now);
    take_over();
    group_->schedule_flush();
    if (!on_stopped_)
        return;
    if (leads())
        replica_->transfer_leadership(now);
    if (!leads() || now - stop_began_at_ > hand_over_time) {
        auto handler = std::exchange(on_stopped_, nullptr);
        handler();
    }
}

void control_host::implementation::begin_stop(std::function<void()> on_done)
{
    log_.event("A planned stop begins.", {{"leads", leads() ? "yes" : "no"}});
    stop_began_at_ = steady_now();
    on_stopped_ = std::move(on_done);
}

std::string control_host::implementation::describe() const
{
    replica_status status = replica_->status();
    QJsonObject object;
    object["host"] = QString::fromStdString(settings_.host_.str());
    object["zone"] = QString::fromStdString(settings_.zone_.str());
    object["role"] = QString::fromStdString(to_text(status.role_));
    object["term"] = static_cast<qint64>(status.term_);
    object["leader"] = QString::fromStdString(status.leader_.str());
    object["commit"] = static_cast<qint64>(status.commit_);
    object["applied"] = static_cast<qint64>(replica_->applied());
    object["config"] = static_cast<qint64>(state().config().version_);
    object["workers"] = static_cast<qint64>(state().workers().size());
    object["active_jobs"] = static_cast<qint64>(state().active_jobs().size());
    QJsonArray voters;
    for (const voter_name& who : status.members_.voters_)
        voters.append(QString::fromStdString(who.str()));
    object["voters"] = voters;
    QJsonArray learners;
    for (const voter_name& who : status.members_.learners_)
        learners.append(QString::fromStdString(who.str()));
    object["learners"] = learners;
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

// --- The public face

control_host::control_host(const control_settings& settings,
                           worker_caller call_worker, metric_registry& metrics)
    : implementation_(std::make_unique<implementation>(
          *this, settings, std::move(call_worker), metrics))
{
}

control_host::~control_host() = default;

void control_host::announce_worker(const pool::worker_info& info,
                                   std::int64_t clock_ms,
                                   std::uint64_t sequence,
                                   answer_handler on_answer)
{
    implementation_->workers().announce(info, clock_ms, sequence, on_answer);
}

void control_host::remove_worker(const worker_name& worker, std::int64_t life,
                                 answer_handler on_answer)
{
    implementation_->workers().remove(worker, life, on_answer);
}

void control_host::put_config(const pool::pool_config& config,
                              answer_handler on_answer)
{
    implementation_->put_config(config, std::move(on_answer));
}

void control_host::read_config(answer_handler on_answer)
{
    implementation_->read_config(std::move(on_answer));
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
