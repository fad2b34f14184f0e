#pragma once

#include "dandelioncrank/manifest/config_checker.hpp"
#include "dandelioncrank/state/config_store.hpp"

#include <functional>
#include <map>

namespace dandelioncrank {

/// The configuration in force in this process. Its revision only rises.
class active_config
{
  public:
    /// Takes texts that are newer than what is in force; texts that are
    /// missing stay as they are. Returns whether anything changed.
    bool update(std::uint64_t revision,
                const std::map<std::string, stored_text>& texts);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const configuration& rules() const { return rules_; }
    [[nodiscard]] const std::map<std::string, stored_text>& texts() const
    {
        return texts_;
    }
    /// Texts that changed after a revision.
    [[nodiscard]] std::map<std::string, stored_text>
    changed_after(std::uint64_t revision) const;

    /// All texts with one of them replaced.
    [[nodiscard]] std::vector<config_text>
    with_replaced(const std::string& subject, const config_text& text) const;

    std::function<void()> on_change_;

  private:
    std::uint64_t revision_ = 0;
    std::map<std::string, stored_text> texts_;
    configuration rules_;
};

} // namespace dandelioncrank
