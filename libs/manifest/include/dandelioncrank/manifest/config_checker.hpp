#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/manifest/configuration.hpp"

#include <string>
#include <vector>

namespace dandelioncrank {

/// One submitted text; its name is the file shown in findings.
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

/// Result of a check; the configuration is usable only without findings.
struct checked_configuration
{
    configuration configuration_;
    findings findings_;
};

/// Largest size of one text, in bytes.
inline constexpr std::size_t max_text_bytes = 256 * 1024;

/// Reads one budget text and any number of council texts and checks them
/// against each other. Never throws on bad text; every fault is a finding.
[[nodiscard]] checked_configuration
check_texts(const std::vector<config_text>& texts);

/// What a text is about: "budget", the name of a town, or nothing when the
/// text cannot be read.
[[nodiscard]] std::string text_subject(const config_text& text);

} // namespace dandelioncrank
