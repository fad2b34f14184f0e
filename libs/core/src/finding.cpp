#include "dandelioncrank/core/finding.hpp"

namespace dandelioncrank {

std::string finding::to_text() const
{
    std::string text = location_.file_;
    if (location_.line_ > 0) {
        text += ':' + std::to_string(location_.line_);
        text += ':' + std::to_string(location_.column_);
    }
    text += ": " + cause_;
    if (!remedy_.empty())
        text += "; " + remedy_;
    return text;
}

void findings::add(source_location location, std::string cause,
                   std::string remedy)
{
    items_.push_back(
        {std::move(location), std::move(cause), std::move(remedy)});
}

void findings::add_all(const findings& other)
{
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
}

std::string findings::to_text() const
{
    std::string text;
    for (const finding& item : items_)
        text += item.to_text() + '\n';
    return text;
}

findings_error::findings_error(findings items)
    : std::runtime_error(items.to_text()), items_(std::move(items))
{
}

} // namespace dandelioncrank
