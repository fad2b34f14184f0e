#include "dandelioncrank/manifest/config_checker.hpp"

#include "dandelioncrank/manifest/block_packing.hpp"
#include "document_reader.hpp"

#include <algorithm>
#include <functional>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

/// A use of a name that may be defined in another text.
template <class Name>
struct reference
{
    Name name_;
    source_location location_;
};

/// Parses all texts into one configuration, then validates it as a whole.
class config_builder
{
  public:
    checked_configuration build(const std::vector<config_text>& texts)
    {
        for (const config_text& text : texts)
            read_text(text);
        if (budget_count_ == 0) {
            all_findings().add({"budget"}, "there is no budget text",
                               "submit a text that begins with 'budget: NAME'");
        }
        check_references();
        check_cycles();
        if (all_findings().empty())
            check_guarantees_fit();
        return std::move(result_);
    }

  private:
    findings& all_findings() { return result_.findings_; }
    configuration& config() { return result_.configuration_; }

    void read_text(const config_text& text)
    {
        if (text.body_.size() > max_text_bytes) {
            all_findings().add({text.name_}, "text is larger than 256 KiB",
                               "split it by town");
            return;
        }
        YAML::Node root;
        try {
            root = YAML::Load(text.body_);
        } catch (const YAML::Exception& error) {
            all_findings().add(
                {text.name_, error.mark.line + 1, error.mark.column + 1},
                error.msg, "check indentation and quotes here");
            return;
        }
        document_reader reader(text.name_, all_findings());
        if (root.IsMap() && root["budget"])
            read_budget(reader, root);
        else if (root.IsMap() && root["town"])
            read_town(reader, root);
        else
            reader.report(root, "text names neither a budget nor a town",
                          "begin with 'budget: NAME' or 'town: NAME'");
    }

    void read_budget(document_reader& reader, const YAML::Node& root)
    {
        if (++budget_count_ > 1)
            reader.report(root, "there is a second budget text",
                          "keep one budget for all towns");
        reader.check_map(root, {"budget", "zones", "teams"});
        reader.read_name(root, "budget");
        for (const YAML::Node& node : reader.read_list(root, "zones"))
            read_zone(reader, node);
        for (const YAML::Node& node : reader.read_list(root, "teams"))
            read_team(reader, node);
    }

    void read_zone(document_reader& reader, const YAML::Node& node)
    {
        if (!reader.check_map(node, {"name", "region", "racks",
                                     "workers_per_rack", "accelerators"}))
            return;
        zone_rule zone;
        zone.name_ = zone_name(reader.read_name(node, "name"));
        zone.region_ = reader.read_name(node, "region");
        zone.racks_ = reader.read_required_number(node, "racks", {0, 2000});
        zone.workers_per_rack_ =
            reader.read_required_number(node, "workers_per_rack", {1, 100});
        zone.accelerators_ =
            reader.read_required_number(node, "accelerators", {0, 64});
        if (!config().zones_.emplace(zone.name_, zone).second)
            reader.report(node, "zone '" + zone.name_.str() + "' stands twice",
                          "keep one of them");
    }

    void read_team(document_reader& reader, const YAML::Node& node)
    {
        if (!reader.check_map(node, {"name", "weight", "queued_jobs",
                                     "jobs_per_minute", "queued_requests",
                                     "guarantees"}))
            return;
        team_rule team;
        team.name_ = team_name(reader.read_name(node, "name"));
        team.weight_ = reader.read_number(node, "weight", {1, 1000}, 1);
        team.queued_jobs_ =
            reader.read_number(node, "queued_jobs", {0, 100000}, 1000);
        team.jobs_per_minute_ =
            reader.read_number(node, "jobs_per_minute", {1, 1000000}, 6000);
        team.queued_requests_ =
            reader.read_number(node, "queued_requests", {0, 100000}, 1000);
        for (const YAML::Node& item : reader.read_list(node, "guarantees"))
            read_guarantee(reader, item, team);
        if (!config().teams_.emplace(team.name_, team).second)
            reader.report(node, "team '" + team.name_.str() + "' stands twice",
                          "keep one of them");
    }

    void read_guarantee(document_reader& reader, const YAML::Node& node,
                        team_rule& team)
    {
        if (!reader.check_map(node,
                              {"zone", "blocks", "accelerators", "within"}))
            return;
        guarantee item;
        item.zone_ = zone_name(reader.read_name(node, "zone"));
        item.blocks_ = reader.read_required_number(node, "blocks", {1, 1000});
        item.accelerators_ =
            reader.read_required_number(node, "accelerators", {1, 1024});
        std::string within =
            node["within"] ? reader.read_name(node, "within") : "rack";
        if (auto value = parse_adjacency(within))
            item.within_ = *value;
        else
            reader.report(node["within"], "'" + within + "' is no adjacency",
                          "write worker, rack or any");
        team.guarantees_.push_back(item);
        zone_references_.push_back({item.zone_, reader.location_of(node)});
    }

    void read_town(document_reader& reader, const YAML::Node& root)
    {
        reader.check_map(root, {"town", "services"});
        std::string town = reader.read_name(root, "town");
        if (!towns_.insert(town).second)
            reader.report(root, "town '" + town + "' has two texts",
                          "keep one text for each town");
        for (const YAML::Node& node : reader.read_list(root, "services"))
            read_service(reader, node, town);
    }

    void read_service(document_reader& reader, const YAML::Node& node,
                      const std::string& town)
    {
        if (!reader.check_map(node, {"name", "team", "depends_on", "repeatable",
                                     "deadline", "queue_time", "queue_limit",
                                     "retry_percent"}))
            return;
        service_rule service;
        service.name_ = service_name(reader.read_name(node, "name"));
        service.town_ = town;
        service.team_ = team_name(reader.read_name(node, "team"));
        team_references_.push_back({service.team_, reader.location_of(node)});
        service.repeatable_ = reader.read_bool(node, "repeatable", false);
        service.deadline_ =
            reader.read_duration(node, "deadline", {10ms, 1h}, 10s);
        service.queue_time_ =
            reader.read_duration(node, "queue_time", {1ms, 10min}, 40ms);
        service.queue_limit_ =
            reader.read_number(node, "queue_limit", {0, 100000}, 2000);
        service.retry_percent_ =
            reader.read_number(node, "retry_percent", {0, 100}, 10);
        for (const YAML::Node& item : reader.read_list(node, "depends_on"))
            read_dependency(reader, item, service);
        locations_[service.name_] = reader.location_of(node);
        if (!config().services_.emplace(service.name_, service).second)
            reader.report(node,
                          "service '" + service.name_.str() + "' stands twice",
                          "names of services are shared by all towns");
    }

    void read_dependency(document_reader& reader, const YAML::Node& node,
                         service_rule& service)
    {
        service_name name(reader.read_name(node));
        auto& list = service.depends_on_;
        if (std::find(list.begin(), list.end(), name) != list.end())
            reader.report(node, "dependency '" + name.str() + "' stands twice",
                          "keep one of them");
        list.push_back(name);
        service_references_.push_back({name, reader.location_of(node)});
    }

    template <class Name, class Map>
    void check_defined(const std::vector<reference<Name>>& references,
                       const Map& known, const std::string& kind,
                       const std::string& remedy)
    {
        for (const reference<Name>& use : references) {
            if (!use.name_.empty() && !known.contains(use.name_))
                all_findings().add(
                    use.location_,
                    kind + " '" + use.name_.str() + "' is unknown", remedy);
        }
    }

    void check_references()
    {
        check_defined(zone_references_, config().zones_, "zone",
                      "define it in the budget's zones");
        check_defined(team_references_, config().teams_, "team",
                      "define it in the budget's teams");
        check_defined(service_references_, config().services_, "service",
                      "define it in a town's services");
    }

    // Depth-first search; reports one finding for each back edge.
    void check_cycles()
    {
        enum class visit_state
        {
            in_progress,
            done
        };
        std::map<service_name, visit_state> states;
        std::vector<service_name> path;
        std::function<void(const service_name&)> visit =
            [&](const service_name& name) {
                auto found = config().services_.find(name);
                if (found == config().services_.end())
                    return;
                if (states.contains(name)) {
                    if (states[name] == visit_state::in_progress)
                        report_cycle(path, name);
                    return;
                }
                states[name] = visit_state::in_progress;
                path.push_back(name);
                for (const service_name& next : found->second.depends_on_)
                    visit(next);
                path.pop_back();
                states[name] = visit_state::done;
            };
        for (const auto& item : config().services_)
            visit(item.first);
    }

    void report_cycle(const std::vector<service_name>& path,
                      const service_name& name)
    {
        std::string text;
        auto start = std::find(path.begin(), path.end(), name);
        for (auto it = start; it != path.end(); ++it)
            text += it->str() + " -> ";
        all_findings().add(locations_[name],
                           "services depend on each other: " + text +
                               name.str(),
                           "remove one of these dependencies");
    }

    void check_guarantees_fit()
    {
        for (const auto& [name, zone] : config().zones_) {
            std::vector<block_demand> blocks;
            std::vector<team_name> owners;
            collect_blocks(name, blocks, owners);
            rack_capacity rack{std::vector<int>(
                static_cast<std::size_t>(zone.workers_per_rack_),
                zone.accelerators_)};
            std::vector<rack_capacity> racks(
                static_cast<std::size_t>(zone.racks_), rack);
            auto placements = pack_blocks(racks, blocks);
            for (std::size_t i = 0; i < placements.size(); ++i) {
                if (!placements[i])
                    report_unplaced_block(name, owners[i], blocks[i]);
            }
        }
    }

    void collect_blocks(const zone_name& zone,
                        std::vector<block_demand>& blocks,
                        std::vector<team_name>& owners)
    {
        for (const auto& [name, team] : config().teams_) {
            for (const guarantee& item : team.guarantees_) {
                if (item.zone_ != zone)
                    continue;
                for (int i = 0; i < item.blocks_; ++i) {
                    blocks.push_back({item.accelerators_, item.within_});
                    owners.push_back(name);
                }
            }
        }
    }

    void report_unplaced_block(const zone_name& zone, const team_name& team,
                               const block_demand& block)
    {
        source_location location{"budget"};
        for (const auto& use : zone_references_) {
            if (use.name_ == zone)
                location = use.location_;
        }
        all_findings().add(
            location,
            "zone '" + zone.str() + "' has no room for a block of " +
                std::to_string(block.accelerators_) + " accelerators within " +
                to_text(block.within_) + " that team '" + team.str() +
                "' is guaranteed",
            "lower a guarantee or declare more workers");
    }

    checked_configuration result_;
    int budget_count_ = 0;
    std::set<std::string> towns_;
    std::vector<reference<zone_name>> zone_references_;
    std::vector<reference<team_name>> team_references_;
    std::vector<reference<service_name>> service_references_;
    std::map<service_name, source_location> locations_;
};

} // namespace

checked_configuration check_texts(const std::vector<config_text>& texts)
{
    return config_builder().build(texts);
}

std::string text_subject(const config_text& text)
{
    try {
        YAML::Node root = YAML::Load(text.body_);
        if (root.IsMap() && root["budget"])
            return "budget";
        if (root.IsMap() && root["town"] && root["town"].IsScalar())
            return root["town"].Scalar();
    } catch (const YAML::Exception&) {
        // check_texts() reports the error with its location.
    }
    return {};
}

} // namespace dandelioncrank
