#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/manifest/configuration.hpp"

#include <string>
#include <vector>

namespace dandelioncrank {

/// One submitted configuration file; name_ is the file name in findings.
struct config_text
{
    std::string name_;
    std::string body_;

    auto operator<=>(const config_text&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, body_);
    }
};

/// Result of a check. The configuration is valid only if findings_ is empty.
struct checked_configuration
{
    configuration configuration_;
    findings findings_;
};

/// Maximum size of one text.
inline constexpr std::size_t max_text_bytes = 256 * 1024;

/// Parses one budget text and any number of town texts and validates them
/// together. Never throws on invalid input; every error becomes a finding.
[[nodiscard]] checked_configuration
check_texts(const std::vector<config_text>& texts);

/// Subject of a text: "budget", the name of a town, or an empty string if the
/// text cannot be parsed.
[[nodiscard]] std::string text_subject(const config_text& text);

} // namespace dandelioncrank
