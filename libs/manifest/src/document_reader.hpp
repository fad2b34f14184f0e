#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/time.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace dandelioncrank {

/// Smallest and largest value allowed, both included.
struct number_range
{
    int least_ = 0;
    int most_ = 0;
};

struct duration_range
{
    duration least_{};
    duration most_{};
};

/// Reads typed fields from the nodes of one document; faults become findings
/// with line and column.
class document_reader
{
  public:
    document_reader(std::string file, findings& faults);

    [[nodiscard]] source_place place(const YAML::Node& node) const;
    void fault(const YAML::Node& node, std::string cause, std::string remedy);

    /// False, with a finding, unless the node is a map. Unknown and doubled
    /// keys are findings too.
    bool check_map(const YAML::Node& node,
                   std::initializer_list<std::string_view> keys);

    /// Name of letters, digits, '-', '_' and '.'; empty after a finding.
    std::string read_name(const YAML::Node& map, const std::string& key);
    std::string read_name(const YAML::Node& node);

    int read_number(const YAML::Node& map, const std::string& key,
                    number_range range, int missing);
    int read_required_number(const YAML::Node& map, const std::string& key,
                             number_range range);
    bool read_bool(const YAML::Node& map, const std::string& key, bool missing);
    duration read_duration(const YAML::Node& map, const std::string& key,
                           duration_range range, duration missing);

    /// Items of a list, empty if the key is missing.
    std::vector<YAML::Node> read_list(const YAML::Node& map,
                                      const std::string& key);

  private:
    std::string file_;
    findings& faults_;
};

} // namespace dandelioncrank
