#include "dandelioncrank/control/entry_host.hpp"

#include "answer_order.hpp"
#include "call_queue.hpp"
#include "peer_book.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

constexpr auto hello_time = 200ms;
constexpr duration hello_limit = 500ms;
// A leader that answered within this time is taken to be there.
constexpr duration fresh_time = 1200ms;
// Wait for the leader's answer before the call is asked again elsewhere.
constexpr duration attempt_time = 900ms;
// Pause after a failed attempt before anything is asked again.
constexpr auto retry_pause = 30ms;
// The answer leaves this much before the client gives up.
constexpr duration answer_margin = 150ms;
// When a client should come back that came while no leader was known: most
// elections end within the first time, a longer loss is one of many hosts.
constexpr duration short_retry = 1s;
constexpr duration long_retry = 3s;
constexpr duration long_loss = 1500ms;

} // namespace

class entry_host::implementation
{
  public:
    implementation(const control_settings& settings, metric_registry& metrics);

    void serve(client_call call, duration limit, answer_handler on_answer);
    [[nodiscard]] bool is_ready() const;
    void add_seeds(const std::vector<host_port>& seeds);
    [[nodiscard]] std::string describe() const;

  private:
    void look_for_leader();
    void take_hello(const std::string& from,
                    const std::optional<hello_answer>& answer);
    void ask_waiting();
    void ask(call_queue::number who);
    void take_answer(call_queue::number who, std::uint32_t attempt,
                     const std::string& from,
                     const std::optional<client_answer>& answer);
    void refuse_overdue();
    void finish(const call_queue::open_call& item, const client_answer& said);
    void check_order(const call_queue::open_call& item,
                     const client_answer& answer);
    void set_leader(const std::string& address);

    part_log log_{"entry"};
    control_settings settings_;
    metric_registry& metrics_;
    peer_book peers_;
    call_queue calls_;
    answer_order order_;
    std::string leader_;
    /// The leader that calls were last asked at.
    std::string asked_leader_;
    /// No waiting call is asked before.
    instant ask_at_{};
    instant leader_heard_at_{};
    bool is_configured_ = false;
    /// When a leader was last asked, and how long to wait since, besides the
    /// time between two looks.
    instant asked_at_{};
    duration pause_{};
    QObject context_;
    QTimer timer_;
    /// Runs while calls wait.
    QTimer ask_timer_;
};

entry_host::implementation::implementation(const control_settings& settings,
                                           metric_registry& metrics)
    : settings_(settings), metrics_(metrics),
      peers_(settings.internal_address_.to_text())
{
    add_seeds(settings_.seeds_);
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &context_,
                     [this] { look_for_leader(); });
    timer_.start(hello_time);
    ask_timer_.setTimerType(Qt::PreciseTimer);
    ask_timer_.setInterval(retry_pause);
    QObject::connect(&ask_timer_, &QTimer::timeout, &context_,
                     [this] { ask_waiting(); });
    look_for_leader();
}

void entry_host::implementation::add_seeds(const std::vector<host_port>& seeds)
{
    for (const host_port& seed : seeds)
        peers_.add_control_host(
            host_port{seed.host_, settings_.internal_address_.port_}.to_text());
}

bool entry_host::implementation::is_ready() const
{
    return !leader_.empty() && is_configured_ &&
           steady_now() - leader_heard_at_ < fresh_time;
}

// --- The leader

void entry_host::implementation::set_leader(const std::string& address)
{
    if (address == leader_)
        return;
    log_.event(address.empty() ? "The leader is lost."
                               : "The leader has changed.",
               {{"leader", address}, {"before", leader_}});
    leader_ = address;
    if (!leader_.empty())
        ask_waiting();
}

void entry_host::implementation::look_for_leader()
{
    instant now = steady_now();
    if (!leader_.empty() && now - leader_heard_at_ > fresh_time)
        set_leader({});
    const auto& hosts = peers_.control_hosts();
    bool is_early = !leader_.empty() && now - asked_at_ < pause_;
    if (hosts.empty() || is_early)
        return;
    asked_at_ = now;
    hello message{peers_.self(), {}, settings_.zone_};
    std::vector<std::string> targets;
    if (!leader_.empty())
        targets.push_back(leader_);
    else
        targets.assign(hosts.begin(), hosts.end());
    for (const std::string& target : targets) {
        peers_.ask<hello_answer>(
            target, message, hello_limit,
            [this, target](const std::optional<hello_answer>& answer) {
                take_hello(target, answer);
            });
    }
}

void entry_host::implementation::take_hello(
    const std::string& from, const std::optional<hello_answer>& answer)
{
    if (!answer)
        return;
    for (const std::string& other : answer->control_hosts_)
        peers_.add_control_host(other);
    if (answer->leads_) {
        set_leader(from);
        leader_heard_at_ = steady_now();
        is_configured_ = answer->is_configured_;
        pause_ = std::clamp<duration>(
            std::chrono::milliseconds(answer->pause_ms_) - hello_time,
            duration::zero(), fresh_time / 2);
        return;
    }
    if (from == leader_)
        set_leader({});
    // The host named is asked before it counts as the leader.
    if (leader_.empty() && !answer->leader_.empty() &&
        answer->leader_ != from) {
        std::string named = answer->leader_;
        peers_.ask<hello_answer>(
            named, hello{peers_.self(), {}, settings_.zone_}, hello_limit,
            [this, named](const std::optional<hello_answer>& said) {
                if (said && said->leads_)
                    take_hello(named, said);
            });
    }
}

// --- Calls

void entry_host::implementation::serve(client_call call, duration limit,
                                       answer_handler on_answer)
{
    instant now = steady_now();
    call_queue::open_call item;
    item.call_ = std::move(call);
    item.came_at_ = now;
    item.deadline_ = now + std::max(duration::zero(), limit - answer_margin);
    item.on_answer_ = std::move(on_answer);
    calls_.add(std::move(item));
    ask_waiting();
}

void entry_host::implementation::ask_waiting()
{
    refuse_overdue();
    instant now = steady_now();
    if (!leader_.empty() && asked_leader_ != leader_) {
        // What a former leader was asked goes before what came later.
        calls_.put_back_asked();
        asked_leader_ = leader_;
        ask_at_ = now;
    }
    if (!leader_.empty() && now >= ask_at_) {
        for (call_queue::number who : calls_.take_waiting())
            ask(who);
    }
    if (!calls_.has_waiting())
        ask_timer_.stop();
    else if (!ask_timer_.isActive())
        ask_timer_.start();
}

void entry_host::implementation::ask(call_queue::number who)
{
    const call_queue::open_call& item = *calls_.find(who);
    std::string target = leader_;
    std::uint32_t attempt = item.call_.attempt_;
    duration limit =
        std::min(attempt_time, time_left(steady_now(), item.deadline_));
    peers_.ask<client_answer>(target, item.call_, limit,
                              [this, who, attempt, target](
                                  const std::optional<client_answer>& answer) {
                                  take_answer(who, attempt, target, answer);
                              });
}

void entry_host::implementation::take_answer(
    call_queue::number who, std::uint32_t attempt, const std::string& from,
    const std::optional<client_answer>& answer)
{
    bool is_settled = answer && answer->kind_ != client_outcome_kind::unsure &&
                      answer->kind_ != client_outcome_kind::not_leader;
    if (is_settled) {
        leader_heard_at_ = steady_now();
        if (auto item = calls_.take(who))
            finish(*item, *answer);
        return;
    }
    bool not_leader =
        answer && answer->kind_ == client_outcome_kind::not_leader;
    // No answer may hide a commit.
    calls_.put_back(who, attempt, !not_leader);
    bool is_lost = !answer || not_leader;
    if (is_lost && from == leader_)
        set_leader({});
    ask_at_ = steady_now() + retry_pause;
    if (!ask_timer_.isActive())
        ask_timer_.start();
}

void entry_host::implementation::refuse_overdue()
{
    instant now = steady_now();
    for (const auto& item : calls_.take_overdue(now, !leader_.empty())) {
        client_answer answer;
        answer.kind_ = client_outcome_kind::unavailable;
        bool is_long = now - leader_heard_at_ > long_loss + fresh_time;
        answer.retry_after_ = is_long ? long_retry : short_retry;
        finish(item, answer);
    }
}

void entry_host::implementation::finish(const call_queue::open_call& item,
                                        const client_answer& said)
{
    client_answer answer = settle_answer(item.call_, said);
    duration taken = steady_now() - item.came_at_;
    metrics_.count("client_answers_" + to_text(answer.kind_));
    metrics_.time("client_call", taken);
    bool is_plain = answer.kind_ == client_outcome_kind::done &&
                    item.call_.verb_ != client_verb::submit;
    if (!is_plain)
        log_.event("Call answered: " + to_text(answer.kind_) + ".",
                   {{"request", item.call_.request_},
                    {"verb", to_text(item.call_.verb_)},
                    {"path", item.call_.access_.path_},
                    {"leader", leader_},
                    {"ms", std::to_string(to_milliseconds(taken))},
                    {"attempts", std::to_string(item.call_.attempt_)},
                    {"config", std::to_string(answer.config_version_)},
                    {"in_doubt", item.call_.is_repeat_ ? "yes" : "no"}});
    check_order(item, answer);
    item.on_answer_(answer);
}

// Callers that compare answers see a configuration go back if calls are
// decided in another order than the one in which they came.
void entry_host::implementation::check_order(const call_queue::open_call& item,
                                             const client_answer& answer)
{
    if (answer.config_version_ == 0)
        return;
    auto other = order_.note(
        {item.call_.request_, item.came_at_, answer.config_version_},
        steady_now());
    if (!other)
        return;
    metrics_.count("answers_out_of_order");
    duration apart = item.came_at_ - other->came_at_;
    log_.event("Answered out of order.",
               {{"request", item.call_.request_},
                {"verb", to_text(item.call_.verb_)},
                {"config", std::to_string(answer.config_version_)},
                {"attempts", std::to_string(item.call_.attempt_)},
                {"other", other->request_},
                {"other_config", std::to_string(other->config_version_)},
                {"came_later_by_ms", std::to_string(to_milliseconds(apart))}});
}

std::string entry_host::implementation::describe() const
{
    QJsonObject object;
    object["host"] = QString::fromStdString(settings_.host_.str());
    object["zone"] = QString::fromStdString(settings_.zone_.str());
    object["leader"] = QString::fromStdString(leader_);
    object["ready"] = is_ready();
    object["control_hosts"] =
        static_cast<qint64>(peers_.control_hosts().size());
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

// --- The public face

entry_host::entry_host(const control_settings& settings,
                       metric_registry& metrics)
    : implementation_(std::make_unique<implementation>(settings, metrics))
{
}

entry_host::~entry_host() = default;

void entry_host::serve(client_call call, duration limit,
                       answer_handler on_answer)
{
    implementation_->serve(std::move(call), limit, std::move(on_answer));
}

bool entry_host::is_ready() const
{
    return implementation_->is_ready();
}

void entry_host::add_seeds(const std::vector<host_port>& seeds)
{
    implementation_->add_seeds(seeds);
}

std::string entry_host::describe() const
{
    return implementation_->describe();
}

} // namespace dandelioncrank::control
