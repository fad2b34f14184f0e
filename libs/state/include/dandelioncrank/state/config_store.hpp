#pragma once

#include "dandelioncrank/state/state_commands.hpp"

#include <deque>
#include <map>
#include <optional>

namespace dandelioncrank {

struct stored_text
{
    std::uint64_t version_ = 0;
    /// Configuration revision that created this version.
    std::uint64_t revision_ = 0;
    config_text text_;
    std::string author_;
    std::chrono::sys_seconds at_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(version_, revision_, text_, author_, at_);
    }
};

struct config_history_item
{
    std::uint64_t revision_ = 0;
    std::string subject_;
    std::uint64_t version_ = 0;
    std::string author_;
    std::chrono::sys_seconds at_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(revision_, subject_, version_, author_, at_);
    }
};

/// Accepted texts with their versions. The revision increases with every
/// accepted change and orders the changes of all texts.
class config_store
{
  public:
    submit_result apply(const submit_config& change,
                        std::chrono::sys_seconds at);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const std::map<std::string, stored_text>& texts() const
    {
        return texts_;
    }
    [[nodiscard]] const std::deque<config_history_item>& history() const
    {
        return history_;
    }
    /// Result of the first request with this id, while it is retained.
    [[nodiscard]] std::optional<submit_result>
    cached_result(const request_id& request) const;

    template <class Archive>
    void fields(Archive& archive)
    {
        std::vector<config_history_item> history(history_.begin(),
                                                 history_.end());
        std::vector<request_id> order(result_order_.begin(),
                                      result_order_.end());
        archive(revision_, texts_, history, results_, order);
        history_.assign(history.begin(), history.end());
        result_order_.assign(order.begin(), order.end());
    }

  private:
    submit_result evaluate(const submit_config& change,
                           std::chrono::sys_seconds at);
    void cache_result(const request_id& request, const submit_result& result);

    std::uint64_t revision_ = 0;
    std::map<std::string, stored_text> texts_;
    std::deque<config_history_item> history_;
    std::map<request_id, submit_result> results_;
    std::deque<request_id> result_order_;
};

} // namespace dandelioncrank
