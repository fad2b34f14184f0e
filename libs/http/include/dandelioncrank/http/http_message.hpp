#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelioncrank {

/// A header field.
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

/// Header fields in order; names are case-insensitive.
class header_list
{
  public:
    void add(std::string name, std::string value);
    /// Replaces all fields of that name.
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

/// A complete HTTP request.
struct http_request
{
    std::string method_ = "GET";
    std::string target_ = "/";
    header_list headers_;
    std::string body_;
    /// Whether the connection stays open after this exchange.
    bool keep_alive_ = true;
};

/// A complete HTTP response.
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

/// Serializes a request with its Content-Length.
[[nodiscard]] std::string to_bytes(const http_request& request);

/// Serializes a response with its Content-Length. With head_only, as for HEAD
/// requests, the Content-Length is kept and the body is omitted.
[[nodiscard]] std::string to_bytes(const http_response& response,
                                   bool head_only = false);

/// Response with a JSON body.
[[nodiscard]] http_response json_response(int status, std::string body);

} // namespace dandelioncrank
