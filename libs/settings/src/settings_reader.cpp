#include "dandelioncrank/settings/settings_reader.hpp"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace dandelioncrank {

namespace {

bool is_boolean(const absl::CommandLineFlag& flag)
{
    return flag.IsOfType<bool>();
}

} // namespace

settings_reader::settings_reader(std::string prefix,
                                 std::vector<std::string> names)
    : prefix_(std::move(prefix)), names_(std::move(names))
{
}

std::string settings_reader::variable_name(std::string_view flag) const
{
    return prefix_ + '_' + absl::AsciiStrToUpper(std::string(flag));
}

bool settings_reader::is_known(const std::string& flag) const
{
    return std::find(names_.begin(), names_.end(), flag) != names_.end();
}

void settings_reader::set(const std::string& flag, const std::string& value,
                          const std::string& origin, findings& faults) const
{
    absl::CommandLineFlag* target = absl::FindCommandLineFlag(flag);
    if (target == nullptr || !is_known(flag)) {
        faults.add({origin}, "unknown setting '" + flag + "'",
                   "run with --help for the list");
        return;
    }
    std::string error;
    if (!target->ParseFrom(value, &error)) {
        faults.add({origin}, "invalid value '" + value + "' for " + flag,
                   "expected: " + target->Help());
    }
}

void settings_reader::read_environment(findings& faults) const
{
    for (const std::string& name : names_) {
        std::string variable = variable_name(name);
        if (const char* value = std::getenv(variable.c_str()))
            set(name, value, variable, faults);
    }
}

void settings_reader::read_file(const std::string& path, findings& faults) const
{
    std::ifstream stream(path);
    if (!stream) {
        faults.add({path}, std::strerror(errno),
                   "specify a readable settings file");
        return;
    }
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        std::string text(absl::StripAsciiWhitespace(line));
        if (text.empty() || text.starts_with('#'))
            continue;
        auto equals_sign = text.find('=');
        if (!text.starts_with("--") || equals_sign == std::string::npos) {
            faults.add({path, number}, "'" + text + "' is not a setting",
                       "write --name=value");
            continue;
        }
        std::string value = text.substr(equals_sign + 1);
        if (!value.empty())
            set(text.substr(2, equals_sign - 2), value,
                path + ':' + std::to_string(number), faults);
    }
}

parsed_arguments settings_reader::read(int argc, const char* const* argv)
{
    parsed_arguments result;
    read_environment(result.faults_);
    for (int i = 1; i < argc; ++i) {
        std::string argument = argv[i];
        if (argument == "--") {
            result.positional_.insert(result.positional_.end(), argv + i + 1,
                                      argv + argc);
            break;
        }
        if (argument == "--help" || argument == "-h") {
            result.help_requested_ = true;
            continue;
        }
        if (!argument.starts_with("--")) {
            result.positional_.push_back(argument);
            continue;
        }
        auto equals_sign = argument.find('=');
        std::string name = argument.substr(2, equals_sign - 2);
        std::string origin = "--" + name;
        if (equals_sign != std::string::npos) {
            set(name, argument.substr(equals_sign + 1), origin, result.faults_);
            continue;
        }
        absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr || is_boolean(*flag))
            set(name, "true", origin, result.faults_);
        else if (i + 1 < argc)
            set(name, argv[++i], origin, result.faults_);
        else
            result.faults_.add({origin}, "value is missing",
                               "write " + origin + "=VALUE");
    }
    return result;
}

std::string settings_reader::help() const
{
    std::string text;
    for (const std::string& name : names_) {
        const absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr)
            continue;
        text += "  --" + name + "  [" + variable_name(name) + "]\n";
        text += "      " + flag->Help() + "\n";
        text += "      default: '" + flag->DefaultValue() + "'\n";
    }
    return text;
}

std::string host_port::to_text() const
{
    return host_ + ':' + std::to_string(port_);
}

host_port parse_host_port(const std::string& text, const std::string& setting,
                          findings& faults)
{
    host_port result;
    auto colon = text.rfind(':');
    int port = 0;
    bool is_valid = colon != std::string::npos && colon > 0 &&
                    absl::SimpleAtoi(text.substr(colon + 1), &port) &&
                    port >= 0 && port <= 65535;
    if (!is_valid) {
        faults.add({setting}, "'" + text + "' is not a valid address",
                   "write IP:PORT, for example 127.0.0.1:7001");
        return result;
    }
    result.host_ = text.substr(0, colon);
    result.port_ = port;
    return result;
}

} // namespace dandelioncrank
