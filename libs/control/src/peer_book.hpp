#pragma once

#include "control_messages.hpp"
#include "dandelioncrank/peer/peer_codec.hpp"
#include "dandelioncrank/peer/peer_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace dandelioncrank::control {

/// Links to other daemons by internal address, opened when first used, and
/// the control hosts that are known.
class peer_book
{
  public:
    explicit peer_book(std::string self);
    ~peer_book();

    void add_control_host(const std::string& address);
    [[nodiscard]] const std::set<std::string>& control_hosts() const
    {
        return control_hosts_;
    }
    [[nodiscard]] const std::string& self() const { return self_; }

    void post(const std::string& address, control_payload payload);

    /// Sends and decodes the answer; nothing if none came or it was bad.
    template <class Answer>
    void ask(const std::string& address, control_payload payload,
             duration limit,
             std::function<void(std::optional<Answer>)> on_answer)
    {
        send(address, std::move(payload), limit,
             [on_answer](const std::optional<QByteArray>& bytes) {
                 on_answer(read_answer<Answer>(bytes));
             });
    }

  private:
    void send(const std::string& address, control_payload payload,
              duration limit, peer_link::answer_handler on_answer);
    peer_link& link_to(const std::string& address);

    std::string self_;
    std::set<std::string> control_hosts_;
    std::map<std::string, std::unique_ptr<peer_link>> links_;
};

} // namespace dandelioncrank::control
