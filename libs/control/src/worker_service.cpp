#include "worker_service.hpp"

namespace dandelioncrank::control {

worker_service::worker_service(const replica<pool_machine>& replica,
                               group_log& group, pool::pool_owner& owner,
                               std::string own_address)
    : replica_(replica), group_(group), owner_(owner),
      own_address_(std::move(own_address)), desk_(state())
{
}

std::string worker_service::home_of(const worker_name& worker) const
{
    if (!desk_.spreads())
        return own_address_;
    std::string home = announcement_desk::home_of(worker, present_hosts_());
    return home.empty() ? own_address_ : home;
}

void worker_service::announce(const pool::worker_info& info,
                              std::int64_t clock_ms, std::uint64_t sequence,
                              const answer_handler& on_answer)
{
    bool leads = replica_.is_leader();
    bool is_known = desk_.is_known(info);
    bool speaks_for_leader =
        is_known && desk_.spreads() && !replica_.status().leader_.empty();
    if (!leads && !speaks_for_leader) {
        on_answer(elsewhere_());
        return;
    }
    // A worker stays with a host that acknowledges its announcements.
    control_answer done{control_outcome::done, own_address_, {}};
    if (leads)
        done.leader_ = home_of(info.name_);
    if (desk_.is_late(info, sequence)) {
        on_answer(done);
        return;
    }
    if (leads && !is_known) {
        commit(info, clock_ms, done, on_answer);
        return;
    }
    if (leads)
        owner_.record_announcement(info.name_, info.incarnation_, clock_ms,
                                   steady_now());
    else
        desk_.keep(info, clock_ms);
    on_answer(done);
}

void worker_service::commit(const pool::worker_info& info,
                            std::int64_t clock_ms, const control_answer& done,
                            const answer_handler& on_answer)
{
    log_.event("Worker is new or has changed.",
               {{"worker", info.name_.str()},
                {"life", std::to_string(info.incarnation_)},
                {"address", info.address_},
                {"draining", info.is_draining_ ? "yes" : "no"}});
    for (pool::end_incarnation& item : owner_.superseded_incarnations(info))
        group_.enqueue(std::move(item), nullptr);
    group_.enqueue(pool ::put_worker{info},
                   [this, info, clock_ms, done, on_answer](commit_result end,
                                                           pool ::pool_reply) {
                       if (end != commit_result ::committed) {
                           desk_.forget(info.name_);
                           on_answer(elsewhere_());
                           return;
                       }
                       // This runs while the entry is applied, before the owner
                       // was told.
                       instant now = steady_now();
                       owner_.state_changed();
                       owner_.add_worker(info.name_, now);
                       owner_.record_announcement(info.name_, info.incarnation_,
                                                  clock_ms, now);
                       on_answer(done);
                   });
}

void worker_service::take_signs(const worker_signs& item, instant now)
{
    if (!replica_.is_leader())
        return;
    for (const worker_sign& sign : item.signs_)
        owner_.record_announcement(sign.worker_, sign.life_, sign.clock_ms_,
                                   now);
}

void worker_service::remove(const worker_name& worker, std::int64_t life,
                            const answer_handler& on_answer)
{
    if (!replica_.is_leader()) {
        on_answer(elsewhere_());
        return;
    }
    auto found = state().workers().find(worker);
    if (life == 0 && found != state().workers().end())
        life = found->second.info_.incarnation_;
    log_.event("Worker leaves.",
               {{"worker", worker.str()}, {"life", std::to_string(life)}});
    // The worker ends with the answer, and ends that nobody has read then are
    // lost with it.
    if (owner_.retire_worker(worker, life, steady_now())) {
        leaves_[{worker, life}].push_back(on_answer);
        on_due_();
        return;
    }
    group_.enqueue(
        pool ::end_incarnation{worker, life, {}},
        [this, on_answer](commit_result end, pool ::pool_reply) {
            control_answer done{control_outcome ::done, {}, {}};
            on_answer(end == commit_result ::committed ? done : elsewhere_());
        });
}

void worker_service::settle_leaves(bool owns_pool)
{
    auto open = std::move(leaves_);
    leaves_.clear();
    for (auto& [key, answers] : open) {
        const auto& [worker, life] = key;
        auto found = state().workers().find(worker);
        bool is_over = found == state().workers().end() ||
                       found->second.info_.incarnation_ != life;
        if (!is_over && owns_pool) {
            leaves_.emplace(key, std::move(answers));
            continue;
        }
        control_answer done{control_outcome::done, {}, {}};
        for (const answer_handler& answer : answers)
            answer(is_over ? done : elsewhere_());
    }
}

} // namespace dandelioncrank::control
