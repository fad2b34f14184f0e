#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/time.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace dandelioncrank {

/// Inclusive range of allowed values.
struct number_range
{
    int min_ = 0;
    int max_ = 0;
};

struct duration_range
{
    duration min_{};
    duration max_{};
};

/// Reads typed fields from the nodes of one YAML document. Errors are reported
/// as findings with line and column.
class document_reader
{
  public:
    document_reader(std::string file, findings& collected);

    [[nodiscard]] source_location location_of(const YAML::Node& node) const;
    void report(const YAML::Node& node, std::string cause, std::string remedy);

    /// Returns false and reports a finding if the node is not a map. Unknown
    /// and duplicate keys are reported as well.
    bool check_map(const YAML::Node& node,
                   std::initializer_list<std::string_view> keys);

    /// Reads a name of letters, digits, '-', '_' and '.'. Returns an empty
    /// string after reporting a finding.
    std::string read_name(const YAML::Node& map, const std::string& key);
    std::string read_name(const YAML::Node& node);

    int read_number(const YAML::Node& map, const std::string& key,
                    number_range range, int default_value);
    int read_required_number(const YAML::Node& map, const std::string& key,
                             number_range range);
    bool read_bool(const YAML::Node& map, const std::string& key,
                   bool default_value);
    duration read_duration(const YAML::Node& map, const std::string& key,
                           duration_range range, duration default_value);

    /// Returns the items of a list; empty if the key is absent.
    std::vector<YAML::Node> read_list(const YAML::Node& map,
                                      const std::string& key);

  private:
    std::string file_;
    findings& findings_;
};

} // namespace dandelioncrank
