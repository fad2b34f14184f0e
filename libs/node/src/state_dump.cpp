#include "state_dump.hpp"

#include "json_conversion.hpp"

namespace dandelioncrank {

namespace {

QJsonObject dump_voter(const state_replica& voter)
{
    replica_status status = voter.status();
    QJsonArray voters;
    for (const voter_name& name : status.members_.voters_)
        voters.append(to_qt(name.str()));
    QJsonArray learners;
    for (const voter_name& name : status.members_.learners_)
        learners.append(to_qt(name.str()));
    const replicated_state& state = voter.state();
    QJsonObject zones;
    for (const auto& [zone, owner] : state.zones()) {
        zones[to_qt(zone.str())] =
            QJsonObject{{"host", to_qt(owner.host_.str())},
                        {"epoch", static_cast<qint64>(owner.epoch_)}};
    }
    return {{"identity", to_qt(status.self_.str())},
            {"role", to_qt(to_text(status.role_))},
            {"term", static_cast<qint64>(status.term_)},
            {"leader", to_qt(status.leader_.str())},
            {"first_index", static_cast<qint64>(status.first_index_)},
            {"last_index", static_cast<qint64>(status.last_index_)},
            {"commit", static_cast<qint64>(status.commit_)},
            {"applied", static_cast<qint64>(voter.applied())},
            {"voters", voters},
            {"learners", learners},
            {"failure", to_qt(voter.failure())},
            {"state_hash", QString::number(state.hash(), 16)},
            {"jobs", static_cast<qint64>(state.jobs().size())},
            {"claims", static_cast<qint64>(state.claims().size())},
            {"zones", zones}};
}

QJsonObject dump_pool(zone_scheduler& scheduler)
{
    pool_summary summary = scheduler.summary();
    QJsonObject racks;
    const worker_pool& pool = scheduler.pool();
    for (const pool_rack& rack : pool.racks()) {
        QJsonArray workers;
        for (worker_index index : rack.workers_)
            workers.append(to_json(pool.at(index)));
        racks[to_qt(rack.name_.str())] =
            QJsonObject{{"free", rack.free_}, {"workers", workers}};
    }
    return {{"workers", static_cast<qint64>(summary.workers_)},
            {"alive", static_cast<qint64>(summary.alive_)},
            {"quarantined", static_cast<qint64>(summary.quarantined_)},
            {"accelerators", summary.accelerators_},
            {"free", summary.free_},
            {"waiting", static_cast<qint64>(summary.waiting_)},
            {"gangs", static_cast<qint64>(summary.gangs_)},
            {"recovering", summary.recovering_},
            {"racks", racks}};
}

} // namespace

QJsonObject make_state_dump(const dump_sources& sources)
{
    QJsonArray hosts;
    for (const host_status& host : sources.gossip_.live_hosts())
        hosts.append(to_json(host));
    QJsonArray services;
    for (const service_summary& item : sources.slots_.summaries()) {
        services.append(QJsonObject{
            {"service", to_qt(item.service_.str())},
            {"owner",
             to_qt(
                 sources.slots_.owner_of(sources.settings_.zone_, item.service_)
                     .str())},
            {"endpoints", static_cast<qint64>(item.endpoints_)},
            {"held_back", static_cast<qint64>(item.held_back_)},
            {"slots", static_cast<qint64>(item.slots_)},
            {"in_flight", static_cast<qint64>(item.in_flight_)},
            {"waiting", static_cast<qint64>(item.waiting_)}});
    }
    QJsonObject object{
        {"self", to_json(sources.gossip_.self())},
        {"revision", static_cast<qint64>(sources.config_.revision())},
        {"hosts", hosts},
        {"services", services},
        {"zone_owner", to_qt(sources.zone_.owner().str())},
        {"peer_messages_sent",
         static_cast<qint64>(sources.peers_.sent_messages())},
        {"peer_bytes_sent", static_cast<qint64>(sources.peers_.sent_bytes())}};
    if (sources.voter_ != nullptr)
        object["state"] = dump_voter(*sources.voter_);
    if (sources.zone_.scheduler() != nullptr)
        object["pool"] = dump_pool(*sources.zone_.scheduler());
    return object;
}

} // namespace dandelioncrank
