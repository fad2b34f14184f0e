#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Location in an input file; line and column are 1-based, 0 if unknown.
struct source_location
{
    std::string file_;
    int line_ = 0;
    int column_ = 0;
};

/// An error in user-supplied input, with a suggested correction.
struct finding
{
    source_location location_;
    std::string cause_;
    std::string remedy_;

    /// Formats as "file:line:column: cause; remedy".
    [[nodiscard]] std::string to_text() const;
};

/// Accumulates findings so that all of them are reported at once.
class findings
{
  public:
    void add(source_location location, std::string cause, std::string remedy);
    void add_all(const findings& other);

    [[nodiscard]] bool empty() const { return items_.empty(); }
    [[nodiscard]] const std::vector<finding>& items() const { return items_; }

    /// Formats one line per finding.
    [[nodiscard]] std::string to_text() const;

  private:
    std::vector<finding> items_;
};

/// Thrown when input is rejected; carries all findings.
class findings_error : public std::runtime_error
{
  public:
    explicit findings_error(findings items);
    [[nodiscard]] const findings& items() const { return items_; }

  private:
    findings items_;
};

} // namespace dandelioncrank
