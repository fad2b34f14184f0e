#pragma once

#include "dandelioncrank/node/node_settings.hpp"
#include "dandelioncrank/peer/peer_codec.hpp"
#include "dandelioncrank/peer/peer_link.hpp"
#include "peer_messages.hpp"

#include <map>
#include <memory>

namespace dandelioncrank {

/// Connections to all other daemons, by host name.
class peer_directory
{
  public:
    explicit peer_directory(const node_settings& settings);
    ~peer_directory();

    /// Sets the configuration revision that each message carries.
    void set_revision(std::uint64_t revision) { revision_ = revision; }

    /// Sends without waiting for a response.
    void post(const host_name& to, peer_payload payload);

    /// Sends a request and decodes the response; passes nullopt if there was
    /// none within the limit or it could not be decoded.
    template <class Response>
    void call(const host_name& to, peer_payload payload, duration limit,
              std::function<void(std::optional<Response>)> on_response)
    {
        send(to, std::move(payload), limit,
             [on_response](const std::optional<QByteArray>& bytes) {
                 on_response(decode_response<Response>(bytes));
             });
    }

    [[nodiscard]] const peer_setting* find(const host_name& name) const;
    [[nodiscard]] std::vector<host_name> other_hosts() const;
    [[nodiscard]] std::vector<host_name> voters() const;
    [[nodiscard]] std::uint64_t sent_bytes() const;
    [[nodiscard]] std::uint64_t sent_messages() const;

  private:
    void send(const host_name& to, peer_payload payload, duration limit,
              peer_link::response_handler on_response);

    host_name self_;
    std::vector<peer_setting> hosts_;
    std::map<host_name, std::unique_ptr<peer_link>> links_;
    std::uint64_t revision_ = 0;
};

} // namespace dandelioncrank
