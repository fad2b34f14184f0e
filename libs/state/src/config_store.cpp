#include "dandelioncrank/state/config_store.hpp"

namespace dandelioncrank {

namespace {

// Changes kept in the history: two days at 11,000 changes a day.
constexpr std::size_t max_history_entries = 22000;
// Request ids whose first result is returned to a retry. A later retry of an
// accepted change cannot apply it again: it gets unchanged if the text is still
// current, and otherwise a conflict, because the version that it replaces is no
// longer current.
constexpr std::size_t max_cached_results = 22000;

} // namespace

std::string to_text(submit_outcome value)
{
    switch (value) {
    case submit_outcome::accepted:
        return "accepted";
    case submit_outcome::unchanged:
        return "unchanged";
    case submit_outcome::conflict:
        return "conflict";
    case submit_outcome::stale_check:
        break;
    }
    return "stale-check";
}

std::optional<submit_result>
config_store::cached_result(const request_id& request) const
{
    auto found = results_.find(request);
    if (found == results_.end())
        return std::nullopt;
    return found->second;
}

submit_result config_store::apply(const submit_config& change,
                                  std::chrono::sys_seconds at)
{
    if (auto known = cached_result(change.request_))
        return *known;
    submit_result result = evaluate(change, at);
    // stale_check is not final: the client validates and sends the same request
    // id again.
    if (result.outcome_ != submit_outcome::stale_check)
        cache_result(change.request_, result);
    return result;
}

submit_result config_store::evaluate(const submit_config& change,
                                     std::chrono::sys_seconds at)
{
    const text_change& item = change.change_;
    auto found = texts_.find(item.subject_);
    std::uint64_t version = found == texts_.end() ? 0 : found->second.version_;
    submit_result result;
    result.subject_ = item.subject_;
    result.revision_ = revision_;
    result.version_ = version;
    if (found != texts_.end())
        result.author_ = found->second.author_;
    bool same =
        found != texts_.end() && found->second.text_.body_ == item.text_.body_;
    if (same) {
        result.outcome_ = submit_outcome::unchanged;
        return result;
    }
    if (item.replaces_ != version) {
        result.outcome_ = submit_outcome::conflict;
        return result;
    }
    if (change.checked_revision_ != revision_) {
        result.outcome_ = submit_outcome::stale_check;
        return result;
    }
    ++revision_;
    stored_text& text = texts_[item.subject_];
    text = {version + 1, revision_, item.text_, change.author_, at};
    history_.push_back(
        {revision_, item.subject_, text.version_, change.author_, at});
    if (history_.size() > max_history_entries)
        history_.pop_front();
    result.revision_ = revision_;
    result.version_ = text.version_;
    result.author_ = change.author_;
    return result;
}

void config_store::cache_result(const request_id& request,
                                const submit_result& result)
{
    results_.emplace(request, result);
    result_order_.push_back(request);
    if (result_order_.size() <= max_cached_results)
        return;
    results_.erase(result_order_.front());
    result_order_.pop_front();
}

} // namespace dandelioncrank
