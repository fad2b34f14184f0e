#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace dandelioncrank {

/// Strongly typed string identifier; types with different tags do not convert
/// to each other.
template <class Tag>
struct basic_name
{
    std::string value_;

    basic_name() = default;
    explicit basic_name(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& str() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const basic_name&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(value_);
    }
};

using host_name = basic_name<struct host_tag>;
using zone_name = basic_name<struct zone_tag>;
using team_name = basic_name<struct team_tag>;
using service_name = basic_name<struct service_tag>;
using endpoint_name = basic_name<struct endpoint_tag>;
using worker_name = basic_name<struct worker_tag>;
using rack_name = basic_name<struct rack_tag>;
using job_id = basic_name<struct job_tag>;
using request_id = basic_name<struct request_tag>;

} // namespace dandelioncrank

template <class Tag>
struct std::hash<dandelioncrank::basic_name<Tag>>
{
    std::size_t operator()(const dandelioncrank::basic_name<Tag>& name) const
    {
        return std::hash<std::string>()(name.value_);
    }
};
