#include "active_config.hpp"

namespace dandelioncrank {

bool active_config::update(std::uint64_t revision,
                           const std::map<std::string, stored_text>& texts)
{
    if (revision <= revision_)
        return false;
    revision_ = revision;
    for (const auto& [subject, text] : texts)
        texts_[subject] = text;
    std::vector<config_text> all;
    for (const auto& [subject, text] : texts_)
        all.push_back(text.text_);
    // The texts were validated together before they were committed.
    rules_ = check_texts(all).configuration_;
    if (on_change_)
        on_change_();
    return true;
}

std::map<std::string, stored_text>
active_config::changed_after(std::uint64_t revision) const
{
    std::map<std::string, stored_text> changed;
    for (const auto& [subject, text] : texts_) {
        if (text.revision_ > revision)
            changed.emplace(subject, text);
    }
    return changed;
}

std::vector<config_text>
active_config::with_replaced(const std::string& subject,
                             const config_text& text) const
{
    std::vector<config_text> all;
    for (const auto& [name, known] : texts_) {
        if (name != subject)
            all.push_back(known.text_);
    }
    all.push_back(text);
    return all;
}

} // namespace dandelioncrank
