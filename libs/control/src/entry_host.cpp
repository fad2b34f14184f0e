#include "dandelioncrank/control/entry_host.hpp"

#include "call_queue.hpp"
#include "config_order_checker.hpp"
#include "dandelioncrank/core/json.hpp"
#include "peer_registry.hpp"

#include <QJsonObject>
#include <QTimer>

#include <algorithm>

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

constexpr auto hello_interval = 200ms;
constexpr duration hello_timeout = 500ms;
// Time since the last response after which the leader is considered lost.
constexpr duration leader_timeout = 1200ms;
// Time to wait for the leader's response before the call is sent again.
constexpr duration attempt_timeout = 900ms;
// Delay after a failed attempt before any call is sent again.
constexpr auto retry_interval = 30ms;
// Time between the final response and the client's own timeout.
constexpr duration response_margin = 150ms;
// Retry-After of calls that arrive while no leader is known. Most elections end
// within the short time; a longer outage means that many hosts were lost.
constexpr duration short_retry_after = 1s;
constexpr duration long_retry_after = 3s;
constexpr duration long_outage = 1500ms;

} // namespace

class entry_host::implementation
{
  public:
    implementation(const control_settings& settings, metric_registry& metrics);

    void serve(client_call call, duration timeout,
               response_handler on_response);
    [[nodiscard]] bool is_ready() const;
    void add_seeds(const std::vector<host_port>& seeds);
    [[nodiscard]] std::string describe() const;

  private:
    void find_leader();
    void handle_hello_response(const std::string& sender,
                               const std::optional<hello_response>& response);
    void send_unsent();
    void send_call(call_queue::call_number number);
    void handle_response(call_queue::call_number number, std::uint32_t attempt,
                         const std::string& sender,
                         const std::optional<client_response>& response);
    void fail_expired();
    void respond(const call_queue::pending_call& item,
                 const client_response& result);
    void check_order(const call_queue::pending_call& item,
                     const client_response& response);
    void set_leader(const std::string& address);

    component_logger log_{"entry"};
    control_settings settings_;
    metric_registry& metrics_;
    peer_registry peers_;
    call_queue calls_;
    config_order_checker order_checker_;
    std::string leader_;
    /// The leader to which calls were last sent.
    std::string last_leader_;
    /// No unsent call is sent before this time.
    instant next_attempt_at_{};
    instant leader_heard_at_{};
    bool is_configured_ = false;
    /// Time of the last hello, and the minimum time until the next one beyond
    /// the timer interval.
    instant hello_sent_at_{};
    duration extra_hello_interval_{};
    QObject context_;
    QTimer hello_timer_;
    /// Active while there are unsent calls.
    QTimer retry_timer_;
};

entry_host::implementation::implementation(const control_settings& settings,
                                           metric_registry& metrics)
    : settings_(settings), metrics_(metrics),
      peers_(settings.internal_address_.to_text())
{
    add_seeds(settings_.seeds_);
    hello_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&hello_timer_, &QTimer::timeout, &context_,
                     [this] { find_leader(); });
    hello_timer_.start(hello_interval);
    retry_timer_.setTimerType(Qt::PreciseTimer);
    retry_timer_.setInterval(retry_interval);
    QObject::connect(&retry_timer_, &QTimer::timeout, &context_,
                     [this] { send_unsent(); });
    find_leader();
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
           steady_now() - leader_heard_at_ < leader_timeout;
}

// --- Leader discovery

void entry_host::implementation::set_leader(const std::string& address)
{
    if (address == leader_)
        return;
    log_.event(address.empty() ? "Lost contact with the leader."
                               : "Leader changed.",
               {{"leader", address}, {"before", leader_}});
    leader_ = address;
    if (!leader_.empty())
        send_unsent();
}

void entry_host::implementation::find_leader()
{
    instant now = steady_now();
    if (!leader_.empty() && now - leader_heard_at_ > leader_timeout)
        set_leader({});
    const auto& hosts = peers_.control_hosts();
    bool is_too_early =
        !leader_.empty() && now - hello_sent_at_ < extra_hello_interval_;
    if (hosts.empty() || is_too_early)
        return;
    hello_sent_at_ = now;
    hello message{peers_.self(), {}, settings_.zone_};
    std::vector<std::string> targets;
    if (!leader_.empty())
        targets.push_back(leader_);
    else
        targets.assign(hosts.begin(), hosts.end());
    for (const std::string& target : targets) {
        peers_.request<hello_response>(
            target, message, hello_timeout,
            [this, target](const std::optional<hello_response>& response) {
                handle_hello_response(target, response);
            });
    }
}

void entry_host::implementation::handle_hello_response(
    const std::string& sender, const std::optional<hello_response>& response)
{
    if (!response)
        return;
    for (const std::string& other : response->control_hosts_)
        peers_.add_control_host(other);
    if (response->is_leader_) {
        set_leader(sender);
        leader_heard_at_ = steady_now();
        is_configured_ = response->is_configured_;
        extra_hello_interval_ = std::clamp<duration>(
            std::chrono::milliseconds(response->hello_interval_ms_) -
                hello_interval,
            duration::zero(), leader_timeout / 2);
        return;
    }
    if (sender == leader_)
        set_leader({});
    // The named host is queried before it is accepted as the leader.
    if (leader_.empty() && !response->leader_.empty() &&
        response->leader_ != sender) {
        std::string named = response->leader_;
        peers_.request<hello_response>(
            named, hello{peers_.self(), {}, settings_.zone_}, hello_timeout,
            [this, named](const std::optional<hello_response>& result) {
                if (result && result->is_leader_)
                    handle_hello_response(named, result);
            });
    }
}

// --- Calls

void entry_host::implementation::serve(client_call call, duration timeout,
                                       response_handler on_response)
{
    instant now = steady_now();
    call_queue::pending_call item;
    item.call_ = std::move(call);
    item.received_at_ = now;
    item.deadline_ =
        now + std::max(duration::zero(), timeout - response_margin);
    item.on_response_ = std::move(on_response);
    calls_.add(std::move(item));
    send_unsent();
}

void entry_host::implementation::send_unsent()
{
    fail_expired();
    instant now = steady_now();
    if (!leader_.empty() && last_leader_ != leader_) {
        // Calls sent to a former leader precede calls that arrived later.
        calls_.requeue_sent();
        last_leader_ = leader_;
        next_attempt_at_ = now;
    }
    if (!leader_.empty() && now >= next_attempt_at_) {
        for (call_queue::call_number number : calls_.take_unsent())
            send_call(number);
    }
    if (!calls_.has_unsent())
        retry_timer_.stop();
    else if (!retry_timer_.isActive())
        retry_timer_.start();
}

void entry_host::implementation::send_call(call_queue::call_number number)
{
    const call_queue::pending_call& item = *calls_.find(number);
    std::string target = leader_;
    std::uint32_t attempt = item.call_.attempt_;
    duration timeout =
        std::min(attempt_timeout, time_left(steady_now(), item.deadline_));
    peers_.request<client_response>(
        target, item.call_, timeout,
        [this, number, attempt,
         target](const std::optional<client_response>& response) {
            handle_response(number, attempt, target, response);
        });
}

void entry_host::implementation::handle_response(
    call_queue::call_number number, std::uint32_t attempt,
    const std::string& sender, const std::optional<client_response>& response)
{
    bool is_final = response &&
                    response->outcome_ != client_call_outcome::unsure &&
                    response->outcome_ != client_call_outcome::not_leader;
    if (is_final) {
        leader_heard_at_ = steady_now();
        if (auto item = calls_.take(number))
            respond(*item, *response);
        return;
    }
    bool not_leader =
        response && response->outcome_ == client_call_outcome::not_leader;
    // The call may have been committed although no response arrived.
    calls_.requeue(number, attempt, !not_leader);
    bool leader_lost = !response || not_leader;
    if (leader_lost && sender == leader_)
        set_leader({});
    next_attempt_at_ = steady_now() + retry_interval;
    if (!retry_timer_.isActive())
        retry_timer_.start();
}

void entry_host::implementation::fail_expired()
{
    instant now = steady_now();
    for (const auto& item : calls_.take_expired(now, !leader_.empty())) {
        client_response response;
        response.outcome_ = client_call_outcome::unavailable;
        bool is_long_outage =
            now - leader_heard_at_ > long_outage + leader_timeout;
        response.retry_after_ =
            is_long_outage ? long_retry_after : short_retry_after;
        respond(item, response);
    }
}

void entry_host::implementation::respond(const call_queue::pending_call& item,
                                         const client_response& result)
{
    client_response response = client_visible_response(item.call_, result);
    duration elapsed = steady_now() - item.received_at_;
    metrics_.count("client_answers_" + to_text(response.outcome_));
    metrics_.record_duration("client_call", elapsed);
    bool is_routine = response.outcome_ == client_call_outcome::done &&
                      item.call_.verb_ != client_verb::submit;
    if (!is_routine)
        log_.event(
            "Call answered: " + to_text(response.outcome_) + ".",
            {{"request", item.call_.request_id_},
             {"verb", to_text(item.call_.verb_)},
             {"path", item.call_.access_.path_},
             {"leader", leader_},
             {"ms", std::to_string(to_milliseconds(elapsed))},
             {"attempts", std::to_string(item.call_.attempt_)},
             {"config", std::to_string(response.config_version_)},
             {"in_doubt", item.call_.may_have_executed_ ? "yes" : "no"}});
    check_order(item, response);
    item.on_response_(response);
}

// If calls are decided in a different order than they arrived, clients that
// compare responses see the configuration go back.
void entry_host::implementation::check_order(
    const call_queue::pending_call& item, const client_response& response)
{
    if (response.config_version_ == 0)
        return;
    auto other = order_checker_.record(
        {item.call_.request_id_, item.received_at_, response.config_version_},
        steady_now());
    if (!other)
        return;
    metrics_.count("answers_out_of_order");
    duration arrival_gap = item.received_at_ - other->received_at_;
    log_.event(
        "Call decided out of configuration order.",
        {{"request", item.call_.request_id_},
         {"verb", to_text(item.call_.verb_)},
         {"config", std::to_string(response.config_version_)},
         {"attempts", std::to_string(item.call_.attempt_)},
         {"other", other->request_id_},
         {"other_config", std::to_string(other->config_version_)},
         {"came_later_by_ms", std::to_string(to_milliseconds(arrival_gap))}});
}

std::string entry_host::implementation::describe() const
{
    QJsonObject object;
    object["host"] = to_qt(settings_.host_.str());
    object["zone"] = to_qt(settings_.zone_.str());
    object["leader"] = to_qt(leader_);
    object["ready"] = is_ready();
    object["control_hosts"] =
        static_cast<qint64>(peers_.control_hosts().size());
    return to_compact_json(object);
}

// --- Public interface

entry_host::entry_host(const control_settings& settings,
                       metric_registry& metrics)
    : implementation_(std::make_unique<implementation>(settings, metrics))
{
}

entry_host::~entry_host() = default;

void entry_host::serve(client_call call, duration timeout,
                       response_handler on_response)
{
    implementation_->serve(std::move(call), timeout, std::move(on_response));
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
