#pragma once

#include "dandelioncrank/core/finding.hpp"
#include "dandelioncrank/core/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace dandelioncrank {

/// What a command line left after its flags were taken.
struct parsed_arguments
{
    std::vector<std::string> positional_;
    bool help_requested_ = false;
    findings faults_;
};

/// Reads settings that the program declared with ABSL_FLAG.
///
/// A flag on the command line (--name=value or --name value) goes before the
/// environment variable (PREFIX_NAME in capitals), which goes before the
/// default. Every unusable setting becomes a finding.
class settings_reader
{
  public:
    /// Only the flags named here are accepted; prefix is for the environment.
    settings_reader(std::string prefix, std::vector<std::string> names);

    [[nodiscard]] parsed_arguments read(int argc, const char* const* argv);

    /// Reads a file with one --name=value a line; '#' begins a comment. An
    /// empty value leaves the setting as it is.
    void read_file(const std::string& path, findings& faults) const;

    /// Name of the environment variable for a flag.
    [[nodiscard]] std::string variable_name(std::string_view flag) const;

    /// Help text: each flag, its variable, its meaning and its default.
    [[nodiscard]] std::string help() const;

  private:
    void read_environment(findings& faults) const;
    void set(const std::string& flag, const std::string& value,
             const std::string& origin, findings& faults) const;
    [[nodiscard]] bool is_known(const std::string& flag) const;

    std::string prefix_;
    std::vector<std::string> names_;
};

/// Parses "host:port"; adds a finding and returns port 0 if it cannot.
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

[[nodiscard]] host_port parse_host_port(const std::string& text,
                                        const std::string& setting,
                                        findings& faults);

} // namespace dandelioncrank
