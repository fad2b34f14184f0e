#include "dandelioncrank/core/wire.hpp"
#include "dandelioncrank/dissemination/disseminator.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

/// Simulates daemons in virtual time on a network that loses and reorders
/// messages.
struct fake_daemons
{
    fake_daemons(int count, int lost, std::uint64_t seed)
        : loss_percent_(lost), random_(seed)
    {
        std::vector<host_name> names;
        for (int i = 0; i < count; ++i)
            names.emplace_back("h" + std::to_string(i));
        for (const host_name& name : names) {
            host_status self;
            self.name_ = name;
            self.incarnation_ = 1;
            std::vector<host_name> peers = names;
            std::erase(peers, name);
            disseminators_[name] =
                std::make_unique<disseminator>(self, peers, gossip_timing{});
        }
    }

    void apply_actions(const host_name& from, const gossip_actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* item = std::get_if<gossip_send>(&action)) {
                bool lost = static_cast<int>(random_() % 100) < loss_percent_ ||
                            isolated_.contains(from) ||
                            isolated_.contains(item->to_);
                auto delay = std::chrono::milliseconds(random_() % 30);
                if (!lost)
                    queue_.insert({now_ + delay, *item});
            }
            if (const auto* item = std::get_if<endpoint_changed>(&action))
                known_endpoints_[from][item->info_.name_] =
                    item->info_.leaving_;
            if (const auto* item = std::get_if<endpoint_expired>(&action))
                known_endpoints_[from].erase(item->info_.name_);
            if (const auto* item = std::get_if<config_outdated>(&action)) {
                // Simulates fetching the configuration from the peer.
                host_status self = disseminators_[from]->self();
                CHECK(item->revision_ > self.revision_);
                self.revision_ = item->revision_;
                gossip_actions more;
                disseminators_[from]->update_self(self, now_, more);
                apply_actions(from, more);
            }
            unreachable_count_ +=
                std::holds_alternative<host_unreachable>(action);
        }
    }

    void run_until(instant end)
    {
        while (now_ < end) {
            now_ += 10ms;
            while (!queue_.empty() && queue_.begin()->first <= now_) {
                gossip_send item = queue_.begin()->second;
                queue_.erase(queue_.begin());
                gossip_actions out;
                // Encoded and decoded, as between real hosts.
                auto message =
                    from_wire<gossip_message>(to_wire(item.message_));
                disseminators_[item.to_]->receive(message, now_, out);
                apply_actions(item.to_, out);
            }
            for (auto& [name, core] : disseminators_) {
                gossip_actions out;
                core->tick(now_, out);
                apply_actions(name, out);
            }
        }
    }

    void announce(const host_name& at, const std::string& name,
                  std::uint64_t sequence, bool leaving = false)
    {
        endpoint_info info;
        info.name_ = endpoint_name(name);
        info.leaving_ = leaving;
        info.time_to_live_ = 5s;
        gossip_actions out;
        disseminators_[at]->announce(info, sequence, now_, out);
        apply_actions(at, out);
    }

    int loss_percent_;
    std::mt19937_64 random_;
    instant now_{1h};
    std::map<host_name, std::unique_ptr<disseminator>> disseminators_;
    std::multimap<instant, gossip_send> queue_;
    std::map<host_name, std::map<endpoint_name, bool>> known_endpoints_;
    std::set<host_name> isolated_;
    int unreachable_count_ = 0;
};

const endpoint_name e("e");

} // namespace

TEST_CASE("an announcement reaches all daemons within a second",
          "[dissemination]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_daemons daemons(7, seed % 2 ? 20 : 0, seed);
        daemons.run_until(instant(1h + 2s));
        daemons.announce(host_name("h0"), "e", 1);
        daemons.run_until(instant(1h + 3s));
        for (const auto& [name, core] : daemons.disseminators_)
            CHECK(daemons.known_endpoints_[name].contains(e));
        daemons.announce(host_name("h3"), "e", 2, true);
        daemons.run_until(instant(1h + 5s));
        for (const auto& [name, core] : daemons.disseminators_)
            CHECK(daemons.known_endpoints_[name][e]);
    }
}

TEST_CASE("an older announcement never replaces a newer one", "[dissemination]")
{
    fake_daemons daemons(3, 0, 1);
    daemons.announce(host_name("h0"), "e", 5, true);
    daemons.announce(host_name("h1"), "e", 4, false);
    daemons.run_until(instant(1h + 2s));
    for (const auto& [name, core] : daemons.disseminators_)
        CHECK(daemons.known_endpoints_[name][e]);
}

TEST_CASE("an endpoint that stops announcing itself expires", "[dissemination]")
{
    fake_daemons daemons(3, 0, 1);
    daemons.announce(host_name("h0"), "e", 1);
    daemons.run_until(instant(1h + 4s));
    CHECK(daemons.known_endpoints_[host_name("h2")].contains(e));
    daemons.run_until(instant(1h + 6s));
    for (const auto& [name, core] : daemons.disseminators_)
        CHECK_FALSE(daemons.known_endpoints_[name].contains(e));
}

TEST_CASE("a newer revision reaches all daemons and never decreases",
          "[dissemination]")
{
    fake_daemons daemons(7, 30, 3);
    daemons.run_until(instant(1h + 2s));
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        host_status self = daemons.disseminators_[host_name("h0")]->self();
        self.revision_ = revision;
        gossip_actions out;
        daemons.disseminators_[host_name("h0")]->update_self(self, daemons.now_,
                                                             out);
        daemons.apply_actions(host_name("h0"), out);
        daemons.run_until(daemons.now_ + 1s);
    }
    daemons.run_until(daemons.now_ + 1s);
    for (const auto& [name, core] : daemons.disseminators_)
        CHECK(core->self().revision_ == 20);
}

TEST_CASE("an unreachable host is reported and rejoins", "[dissemination]")
{
    fake_daemons daemons(3, 0, 1);
    daemons.run_until(instant(1h + 2s));
    daemons.isolated_.insert(host_name("h2"));
    daemons.run_until(instant(1h + 5s));
    CHECK(daemons.unreachable_count_ == 4);
    CHECK(daemons.disseminators_[host_name("h0")]->live_hosts().size() == 1);
    daemons.isolated_.clear();
    daemons.run_until(instant(1h + 6s));
    CHECK(daemons.disseminators_[host_name("h0")]->live_hosts().size() == 2);
}
