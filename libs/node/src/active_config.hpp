#pragma once

#include "dandelioncrank/manifest/config_checker.hpp"
#include "dandelioncrank/state/config_store.hpp"

#include <functional>
#include <map>

namespace dandelioncrank {

/// Configuration in force in this process. Its revision never decreases.
class active_config
{
  public:
    /// Applies the texts if the revision is newer than the one in force; texts
    /// not in the map stay unchanged. Returns whether the revision changed.
    bool update(std::uint64_t revision,
                const std::map<std::string, stored_text>& texts);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const configuration& rules() const { return rules_; }
    [[nodiscard]] const std::map<std::string, stored_text>& texts() const
    {
        return texts_;
    }
    /// Texts changed after the given revision.
    [[nodiscard]] std::map<std::string, stored_text>
    changed_after(std::uint64_t revision) const;

    /// All texts, with the text of one subject added or replaced.
    [[nodiscard]] std::vector<config_text>
    with_replaced(const std::string& subject, const config_text& text) const;

    std::function<void()> on_change_;

  private:
    std::uint64_t revision_ = 0;
    std::map<std::string, stored_text> texts_;
    configuration rules_;
};

} // namespace dandelioncrank
