#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelioncrank {

/// Result of parsing a command line, apart from the flag values.
struct parsed_arguments
{
    std::vector<std::string> positional_;
    bool help_requested_ = false;
    findings faults_;
};

/// Reads settings that the program declared with ABSL_FLAG.
///
/// A flag on the command line (--name=value or --name value) overrides the
/// environment variable (PREFIX_NAME in upper case), which overrides the
/// default. Each invalid setting is reported as a finding.
class settings_reader
{
  public:
    /// Accepts only the flags in names; prefix is that of the environment
    /// variables.
    settings_reader(std::string prefix, std::vector<std::string> names);

    [[nodiscard]] parsed_arguments read(int argc, const char* const* argv);

    /// Reads a file with one --name=value per line; lines that begin with '#'
    /// are comments. An empty value leaves the setting unchanged.
    void read_file(const std::string& path, findings& faults) const;

    [[nodiscard]] std::string variable_name(std::string_view flag) const;

    /// Help text with the variable, description and default of each flag.
    [[nodiscard]] std::string help() const;

  private:
    void read_environment(findings& faults) const;
    void set(const std::string& flag, const std::string& value,
             const std::string& origin, findings& faults) const;
    [[nodiscard]] bool is_known(const std::string& flag) const;

    std::string prefix_;
    std::vector<std::string> names_;
};

struct host_port
{
    std::string host_;
    int port_ = 0;

    [[nodiscard]] std::string to_text() const;
    auto operator<=>(const host_port&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(host_, port_);
    }
};

/// Parses "host:port". On failure, adds a finding and returns port 0.
[[nodiscard]] host_port parse_host_port(const std::string& text,
                                        const std::string& setting,
                                        findings& faults);

} // namespace dandelioncrank
