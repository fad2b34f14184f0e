#include "dandelioncrank/http/http_message.hpp"

#include <algorithm>
#include <cctype>

namespace dandelioncrank {

namespace {

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    auto equal_letters = [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), equal_letters);
}

} // namespace

void header_list::add(std::string name, std::string value)
{
    items_.push_back({std::move(name), std::move(value)});
}

void header_list::set(const std::string& name, std::string value)
{
    remove(name);
    add(name, std::move(value));
}

void header_list::remove(std::string_view name)
{
    std::erase_if(items_, [name](const header_field& field) {
        return equals_ignoring_case(field.name_, name);
    });
}

std::optional<std::string> header_list::find(std::string_view name) const
{
    for (const header_field& field : items_) {
        if (equals_ignoring_case(field.name_, name))
            return field.value_;
    }
    return std::nullopt;
}

std::string header_list::value_or(std::string_view name,
                                  std::string fallback) const
{
    return find(name).value_or(std::move(fallback));
}

http_response json_response(int status, std::string body)
{
    http_response response;
    response.status_ = status;
    response.headers_.add("Content-Type", "application/json");
    response.body_ = std::move(body);
    return response;
}

} // namespace dandelioncrank
