#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace dandelioncrank {

/// The durable state is corrupt or cannot be read or written. The voter must
/// stop.
class storage_error : public std::runtime_error
{
  public:
    storage_error(std::string file, std::uint64_t offset,
                  const std::string& cause, const std::string& remedy)
        : std::runtime_error(file + " at byte " + std::to_string(offset) +
                             ": " + cause + "; " + remedy),
          file_(std::move(file)), offset_(offset)
    {
    }

    [[nodiscard]] const std::string& file() const { return file_; }
    [[nodiscard]] std::uint64_t offset() const { return offset_; }

  private:
    std::string file_;
    std::uint64_t offset_;
};

} // namespace dandelioncrank
