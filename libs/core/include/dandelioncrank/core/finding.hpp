#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Where a finding was made; line and column count from 1, 0 if unknown.
struct source_location
{
    std::string file_;
    int line_ = 0;
    int column_ = 0;
};

/// One fault in what a person wrote, with its remedy.
struct finding
{
    source_location location_;
    std::string cause_;
    std::string remedy_;

    /// "file:line:column: cause; remedy"
    [[nodiscard]] std::string to_text() const;
};

/// Collects findings so that they are reported together.
class findings
{
  public:
    void add(source_location location, std::string cause, std::string remedy);
    void add_all(const findings& other);

    [[nodiscard]] bool empty() const { return items_.empty(); }
    [[nodiscard]] const std::vector<finding>& items() const { return items_; }

    /// One line for each finding.
    [[nodiscard]] std::string to_text() const;

  private:
    std::vector<finding> items_;
};

/// Thrown where input cannot be used; carries every finding.
class findings_error : public std::runtime_error
{
  public:
    explicit findings_error(findings items);
    [[nodiscard]] const findings& items() const { return items_; }

  private:
    findings items_;
};

} // namespace dandelioncrank
