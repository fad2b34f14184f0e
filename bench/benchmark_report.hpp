#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <malloc.h>

namespace dandelioncrank::bench {

/// Quantile of the values without interpolation; 0 if there are none.
inline double percentile(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(values.size() - 1));
    return values[index];
}

inline double mean(const std::vector<double>& values)
{
    double sum = 0;
    for (double value : values)
        sum += value;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

/// Heap memory in use by the process, in bytes.
inline double allocated_bytes()
{
    struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks) +
           static_cast<double>(info.hblkhd);
}

/// Builds one benchmark result and prints it as a line of JSON.
class json_result
{
  public:
    explicit json_result(const std::string& name)
        : text_("{\"bench\":\"" + name + "\"")
    {
    }

    json_result& add(const std::string& key, double value)
    {
        char digits[32];
        std::snprintf(digits, sizeof digits, "%.4g", value);
        text_ += ",\"" + key + "\":" + digits;
        return *this;
    }

    json_result& add(const std::string& key, const std::string& value)
    {
        text_ += ",\"" + key + "\":\"" + value + "\"";
        return *this;
    }

    /// Adds whether the result meets its target.
    json_result& target_met(bool is_met)
    {
        text_ += std::string(",\"met\":") + (is_met ? "true" : "false");
        return *this;
    }

    void print() const { std::cout << text_ << "}" << std::endl; }

  private:
    std::string text_;
};

} // namespace dandelioncrank::bench
