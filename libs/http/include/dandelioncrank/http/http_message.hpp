#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelioncrank {

/// One header line.
struct header_field
{
    std::string name_;
    std::string value_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, value_);
    }
};

/// Header lines in order; names compare without regard to case.
class header_list
{
  public:
    void add(std::string name, std::string value);
    /// Replaces every line of that name.
    void set(const std::string& name, std::string value);
    void remove(std::string_view name);

    [[nodiscard]] std::optional<std::string> find(std::string_view name) const;
    [[nodiscard]] std::string value_or(std::string_view name,
                                       std::string fallback) const;
    [[nodiscard]] const std::vector<header_field>& items() const
    {
        return items_;
    }

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(items_);
    }

  private:
    std::vector<header_field> items_;
};

/// A whole HTTP request.
struct http_request
{
    std::string method_ = "GET";
    std::string target_ = "/";
    header_list headers_;
    std::string body_;
    /// Whether the connection may serve another request afterwards.
    bool keep_alive_ = true;
};

/// A whole HTTP answer.
struct http_response
{
    int status_ = 200;
    header_list headers_;
    std::string body_;
    bool keep_alive_ = true;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(status_, headers_, body_);
    }
};

/// Bytes of a request with the length of its body.
[[nodiscard]] std::string to_bytes(const http_request& request);

/// Bytes of an answer with the length of its body. The answer to a HEAD
/// request keeps the length and leaves the body out.
[[nodiscard]] std::string to_bytes(const http_response& response,
                                   bool head_only = false);

/// Answer with a JSON body.
[[nodiscard]] http_response json_response(int status, std::string body);

} // namespace dandelioncrank
