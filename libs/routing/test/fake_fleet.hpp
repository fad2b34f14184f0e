#pragma once

#include "dandelioncrank/routing/dispatcher.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <vector>

namespace dandelioncrank::test {

/// Caller's request in a simulation run.
struct fake_request
{
    instant at_;
    team_name team_;
    std::string route_;
    duration run_time_{};
    duration deadline_ = std::chrono::seconds(60);
    bool repeatable_ = true;
};

/// Result of a request.
struct request_record
{
    fake_request request_;
    instant started_{};
    instant ended_{};
    request_outcome request_outcome_ = request_outcome::not_run;
    refusal_reason reason_ = refusal_reason::queue_full;
    int runs_ = 0;
    bool done_ = false;
};

/// Faults of one endpoint.
struct endpoint_behaviour
{
    double slow_factor_ = 1.0;
    bool fails_immediately_ = false;
};

struct fleet_options
{
    int endpoints_ = 50;
    int slots_ = 8;
    int entry_hosts_ = 7;
    duration host_delay_ = std::chrono::microseconds(500);
    /// Number of entry hosts, from the first, that are local to the dispatcher.
    int local_hosts_ = 0;
    duration endpoint_delay_ = std::chrono::microseconds(500);
    duration queue_time_ = std::chrono::seconds(1);
    int queue_limit_ = 100000;
    queue_discipline discipline_ = queue_discipline::protect_short_work;
    std::uint64_t seed_ = 1;
    std::map<int, endpoint_behaviour> behaviours_;
};

/// Simulates entry hosts and endpoints around a real dispatcher in virtual
/// time.
class fake_fleet
{
  public:
    explicit fake_fleet(fleet_options options)
        : options_(std::move(options)), random_(options_.seed_),
          dispatcher_(options_.discipline_, options_.seed_)
    {
        configuration config;
        service_rule rule;
        rule.name_ = service_name("rota");
        rule.queue_time_ = options_.queue_time_;
        rule.queue_limit_ = options_.queue_limit_;
        config.services_.emplace(rule.name_, rule);
        for (const char* name : {"a", "b", "c", "d"}) {
            team_rule team;
            team.name_ = team_name(name);
            team.queued_requests_ = options_.queue_limit_;
            config.teams_.emplace(team.name_, team);
        }
        dispatcher_.configure(config);
        in_flight_.resize(static_cast<std::size_t>(options_.endpoints_));
        announce_endpoints();
        tick();
    }

    void submit(const fake_request& request)
    {
        std::size_t index = records_.size();
        records_.push_back({request});
        at(request.at_, [this, index] { send_slot_request(index, 1, {}); });
    }

    /// Runs until every request has an outcome.
    void run()
    {
        while (finished_ < records_.size() && now_ < max_virtual_time)
            step();
        if (finished_ < records_.size())
            throw std::logic_error("a request has no outcome");
    }

    void at(instant when, std::function<void()> action)
    {
        events_.push({when, ++sequence_, std::move(action)});
    }

    /// Announces an endpoint as leaving.
    void set_leaving(int endpoint, instant when)
    {
        at(when, [this, endpoint] {
            leaving_.insert(endpoint);
            feed(endpoint_announced{info(endpoint)});
        });
    }

    void fail_host(int host, instant when)
    {
        at(when, [this, host] {
            lost_hosts_.insert(host);
            end_requests_of(host);
            feed(host_lost{host_of(host)});
        });
    }

    [[nodiscard]] const std::vector<request_record>& records() const
    {
        return records_;
    }
    [[nodiscard]] int most_in_flight() const { return most_in_flight_; }
    [[nodiscard]] int starts_while_leaving() const
    {
        return starts_while_leaving_;
    }
    [[nodiscard]] instant now() const { return now_; }
    /// Longest time that a request waited while the slot that it then got was
    /// already idle.
    [[nodiscard]] duration longest_idle_slot() const { return longest_idle_; }

  private:
    static constexpr instant max_virtual_time{std::chrono::hours(24)};

    struct event
    {
        instant at_;
        std::uint64_t sequence_;
        std::function<void()> action_;

        bool operator<(const event& other) const
        {
            return std::tie(other.at_, other.sequence_) <
                   std::tie(at_, sequence_);
        }
    };

    struct attempt
    {
        std::size_t record_;
        int attempt_;
        std::vector<endpoint_name> excluded_endpoints_;
        instant requested_at_;
    };

    static host_name host_of(int index)
    {
        return host_name("h" + std::to_string(index));
    }

    [[nodiscard]] endpoint_info info(int index) const
    {
        endpoint_info result;
        result.name_ = endpoint_name("e" + std::to_string(index));
        result.service_ = service_name("rota");
        result.slots_ = options_.slots_;
        result.leaving_ = leaving_.contains(index);
        result.time_to_live_ = std::chrono::hours(1);
        return result;
    }

    void announce_endpoints()
    {
        for (int i = 0; i < options_.endpoints_; ++i)
            feed(endpoint_announced{info(i)});
    }

    void tick()
    {
        feed(clock_ticked{});
        at(now_ + std::chrono::milliseconds(10), [this] { tick(); });
    }

    void step()
    {
        event next = events_.top();
        events_.pop();
        now_ = next.at_;
        next.action_();
    }

    /// One-way delay between an entry host and the dispatcher.
    duration sample_host_delay(const slot_request_id& id)
    {
        int host = std::stoi(id.host_.str().substr(1));
        return host < options_.local_hosts_ ? duration(20)
                                            : with_jitter(options_.host_delay_);
    }

    /// The delay plus a random part of up to 50 %.
    duration with_jitter(duration delay)
    {
        auto part = static_cast<std::uint64_t>(delay.count() / 2 + 1);
        return delay + duration(static_cast<duration::rep>(random_() % part));
    }

    void send_slot_request(std::size_t index, int number,
                           std::vector<endpoint_name> excluded)
    {
        const fake_request& request = records_[index].request_;
        int host = static_cast<int>(index) % options_.entry_hosts_;
        if (lost_hosts_.contains(host)) {
            finish(index, request_outcome::not_run);
            return;
        }
        slot_request new_request;
        new_request.id_ = {host_of(host), ++last_request_number_};
        new_request.service_ = service_name("rota");
        new_request.team_ = request.team_;
        new_request.route_ = request.route_;
        new_request.deadline_ = request.at_ + request.deadline_;
        new_request.attempt_ = number;
        new_request.excluded_endpoints_ = excluded;
        attempts_[new_request.id_] = {index, number, std::move(excluded), now_};
        at(now_ + sample_host_delay(new_request.id_),
           [this, new_request] { feed(slot_requested{new_request}); });
    }

    // Callers lose their connections, so requests that ran end as unknown.
    void end_requests_of(int host)
    {
        for (auto& [id, tried] : attempts_) {
            request_record& record = records_[tried.record_];
            if (id.host_ != host_of(host) || record.done_)
                continue;
            bool ran = record.runs_ > 0;
            finish(tried.record_,
                   ran ? request_outcome::unknown : request_outcome::not_run);
        }
    }

    void feed(const routing_event& event)
    {
        for (const routing_action& action : dispatcher_.handle(event, now_)) {
            if (const auto* granted = std::get_if<slot_granted>(&action))
                deliver_grant(*granted);
            if (const auto* refused = std::get_if<slot_refused>(&action))
                deliver_refusal(*refused);
        }
    }

    void deliver_refusal(const slot_refused& refused)
    {
        at(now_ + sample_host_delay(refused.id_), [this, refused] {
            auto found = attempts_.find(refused.id_);
            bool gone = found == attempts_.end() ||
                        records_[found->second.record_].done_;
            if (gone)
                return;
            attempt tried = found->second;
            attempts_.erase(found);
            request_record& record = records_[tried.record_];
            record.reason_ = refused.reason_;
            // A refused retry leaves the outcome of the first attempt.
            finish(tried.record_, tried.attempt_ > 1
                                      ? request_outcome::unknown
                                      : request_outcome::not_run);
        });
    }

    void deliver_grant(const slot_granted& granted)
    {
        int endpoint = std::stoi(granted.endpoint_.str().substr(1));
        duration delay = sample_host_delay(granted.id_) +
                         with_jitter(options_.endpoint_delay_);
        at(now_ + delay,
           [this, granted, endpoint] { start(granted, endpoint); });
    }

    void start(const slot_granted& granted, int endpoint)
    {
        attempt tried = attempts_.at(granted.id_);
        if (records_[tried.record_].done_)
            return;
        auto endpoint_index = static_cast<std::size_t>(endpoint);
        ++in_flight_[endpoint_index];
        record_idle_time(endpoint_index, tried.requested_at_);
        most_in_flight_ = std::max(most_in_flight_, in_flight_[endpoint_index]);
        starts_while_leaving_ += leaving_.contains(endpoint);
        request_record& record = records_[tried.record_];
        if (record.runs_++ == 0)
            record.started_ = now_;
        endpoint_behaviour behaviour;
        auto found = options_.behaviours_.find(endpoint);
        if (found != options_.behaviours_.end())
            behaviour = found->second;
        duration length = record.request_.run_time_;
        if (behaviour.fails_immediately_)
            length = std::chrono::milliseconds(1);
        else
            length = duration(static_cast<duration::rep>(
                static_cast<double>(length.count()) * behaviour.slow_factor_));
        bool fails = behaviour.fails_immediately_;
        at(now_ + length, [this, granted, endpoint, length, fails] {
            finish_run(granted, endpoint, length, fails);
        });
    }

    // Assumes that the slot that has been free longest is taken.
    void record_idle_time(std::size_t endpoint, instant requested_at)
    {
        auto& freed = freed_at_[static_cast<int>(endpoint)];
        if (freed.empty())
            return;
        instant from = std::max(freed.front(), requested_at);
        freed.pop_front();
        longest_idle_ = std::max(longest_idle_, now_ - from);
    }

    void finish_run(const slot_granted& granted, int endpoint, duration length,
                    bool fails)
    {
        --in_flight_[static_cast<std::size_t>(endpoint)];
        freed_at_[endpoint].push_back(now_);
        attempt tried = attempts_.at(granted.id_);
        attempts_.erase(granted.id_);
        if (records_[tried.record_].done_)
            return;
        duration back = with_jitter(options_.endpoint_delay_);
        slot_returned done{
            granted.id_, fails ? slot_outcome::failed : slot_outcome::succeeded,
            length};
        at(now_ + back + sample_host_delay(granted.id_),
           [this, done] { feed(done); });
        at(now_ + back, [this, tried, granted, fails] {
            if (records_[tried.record_].done_)
                return;
            bool retry = fails && tried.attempt_ < 3 &&
                         records_[tried.record_].request_.repeatable_;
            if (!retry) {
                finish(tried.record_, fails ? request_outcome::unknown
                                            : request_outcome::completed);
                return;
            }
            auto excluded = tried.excluded_endpoints_;
            excluded.push_back(granted.endpoint_);
            send_slot_request(tried.record_, tried.attempt_ + 1, excluded);
        });
    }

    void finish(std::size_t index, request_outcome result)
    {
        request_record& record = records_[index];
        require_unfinished(record);
        record.request_outcome_ = result;
        record.ended_ = now_;
        record.done_ = true;
        ++finished_;
    }

    static void require_unfinished(const request_record& record)
    {
        if (record.done_)
            throw std::logic_error("a request has two outcomes");
    }

    fleet_options options_;
    std::mt19937_64 random_;
    dispatcher dispatcher_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_request_number_ = 0;
    instant now_{};
    std::vector<request_record> records_;
    std::map<slot_request_id, attempt> attempts_;
    std::vector<int> in_flight_;
    std::set<int> leaving_;
    std::set<int> lost_hosts_;
    std::size_t finished_ = 0;
    std::map<int, std::deque<instant>> freed_at_;
    duration longest_idle_{};
    int most_in_flight_ = 0;
    int starts_while_leaving_ = 0;
};

} // namespace dandelioncrank::test
