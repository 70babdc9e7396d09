/** @file balancer_base.h All decisions of one balancer: combines the token
 * plane and the packet plane, which share one blackboard. */

#ifndef CUMINVANE_BALANCER_BALANCER_BASE_H_
#define CUMINVANE_BALANCER_BALANCER_BASE_H_

#include <algorithm>
#include <string_view>

#include "decision/drop_func.h"
#include "packet/cold_limit_func.h"
#include "packet/plane_base.h"
#include "request/token_plane_base.h"

namespace cuminvane {

/**
 * Combines the token plane (`TokenPlane`), which handles flows with tokens,
 * documents and membership and owns the blackboard, with the packet plane,
 * which handles opaque flows.
 * @tparam Mutex Type of the locks that guard the shared state.
 */
template <Lockable Mutex>
class Balancer {
 public:
  /** @param settings Settings of this balancer with the incarnation set; must
   * outlive the balancer. */
  explicit Balancer(const Settings& settings)
      : settings(settings),
        token_plane(settings),
        packet_plane(settings.data_centre, settings.flows) {}

  /** @return The token plane: flows with tokens, documents and membership. */
  TokenPlane<Mutex>& GetTokenPlane() { return this->token_plane; }
  const TokenPlane<Mutex>& GetTokenPlane() const { return this->token_plane; }
  /** @return The packet plane: opaque flows. */
  PacketPlane<Mutex>& GetPacketPlane() { return this->packet_plane; }
  const PacketPlane<Mutex>& GetPacketPlane() const {
    return this->packet_plane;
  }

  /** Handles a datagram from another balancer. @param from Its sender. */
  void OnPeer(TimePoint now,
              const Endpoint& from,
              std::string_view bytes,
              RandomEngine& random,
              PacketOutput& out) {
    const Result<DatagramHeader> header = DecodeHeader(bytes);
    if (header && header.value().type == MessageType::kServerLoadReport &&
        this->settings.flows.share_load) {
      const Result<ServerLoadReport> report =
          Decode<ServerLoadReport>(bytes, header.value());
      if (report)
        this->packet_plane.OnServerLoadReport(now, report.value(), out);
      else
        ReportDrop(report.error().code, "peer", out.common);
      return;
    }
    if (!header || header.value().type != MessageType::kReachabilityUpdate) {
      this->token_plane.OnPeer(now, from, bytes, random, out.common);
      this->SyncPacketPlane(now);
      return;
    }
    const Result<ReachabilityUpdate> update =
        Decode<ReachabilityUpdate>(bytes, header.value());
    if (!update) {
      ReportDrop(update.error().code, "peer", out.common);
      return;
    }
    this->packet_plane.OnReachabilityUpdate(
        now, update.value(), *this->token_plane.ReadBlackboard()->members.value,
        random, out);
  }

  /**
   * Offers a document that was read from the platform.
   * @param text The document as INI text.
   * @return An error if the document is refused.
   */
  Result<void> OfferDocument(TimePoint now,
                             DocumentKind kind,
                             std::string_view text,
                             RandomEngine& random,
                             PacketOutput& out) {
    Result<void> accepted =
        this->token_plane.OfferDocument(now, kind, text, random, out.common);
    this->SyncPacketPlane(now);
    return accepted;
  }

  /** Handles the end of a fetch from another balancer.
   * @param kind PeerFetch::kind of the fetch.
   * @param header First part of the answer; empty if the fetch failed.
   * @param content Second part of the answer. */
  void OnFetchEnded(TimePoint now,
                    uint8_t kind,
                    std::string_view header,
                    std::string_view content,
                    RandomEngine& random,
                    PacketOutput& out) {
    this->token_plane.Control().OnFetchEnded(now, kind, header, content, random,
                                             out.common);
    this->SyncPacketPlane(now);
  }

  /** Handles the result of a health check that the packet plane requested. */
  void OnHealthCheckResult(TimePoint now,
                           VmId vm,
                           HealthCheckResult result,
                           RandomEngine& random,
                           PacketOutput& out) {
    this->packet_plane.OnHealthCheckResult(
        now, vm, result, *this->token_plane.ReadBlackboard()->members.value,
        random, out);
  }

  /** Runs periodic work of both planes. Call it every few milliseconds, always
   * from the same thread. */
  void Tick(TimePoint now, RandomEngine& random, PacketOutput& out) {
    this->token_plane.Tick(now, random, out.common);
    const auto view = this->token_plane.ReadBlackboard();
    // A planned change starts at its time without a new document, so the packet
    // plane is updated regularly while changes are planned.
    if (!view->config.value->changes.empty() && now >= this->next_sync) {
      this->next_sync = now + kSyncInterval;
      this->packet_plane.Sync(*view, now);
    }
    this->ReadMembers(*view);
    SelfEvidence evidence = this->token_plane.Control().ReadSelfEvidence(now);
    evidence.controls = this->controls;
    evidence.live_balancers = this->live_balancers;
    evidence.self = this->settings.id;
    evidence.known_balancers = this->known_balancers;
    evidence.hears_all_balancers = this->hears_all_balancers;
    this->packet_plane.Tick(now, view->config.value->flow_idle_timeout,
                            this->local_balancers, evidence, out);
    if (this->settings.flows.share_load)
      this->packet_plane.SendServerLoad(now, *view->members.value, random, out);
  }

  /** @return Whether this balancer is ready to receive callers' packets. */
  bool IsReady() const {
    const auto view = this->token_plane.ReadBlackboard();
    if (view->self.value->stopping || !this->token_plane.IsReady())
      return false;
    // `serving` becomes true after this balancer has compared its state with
    // its peers; callers with tokens are served only after that.
    const bool has_tokens = this->settings.fabric != Endpoint{};
    return (!has_tokens || view->self.value->serving) &&
           !this->packet_plane.IsIsolated();
  }

 private:
  /** Time between updates of the packet plane while changes are planned. */
  static constexpr Milliseconds kSyncInterval{100};

  /** Updates the packet plane if a document on the blackboard has changed. */
  void SyncPacketPlane(TimePoint now) {
    const auto view = this->token_plane.ReadBlackboard();
    const Documents current{view->config.value, view->vms.value};
    const bool changed =
        this->synced_documents.WithLock([&](Documents& last_synced) {
          if (last_synced == current)
            return false;
          last_synced = current;
          return true;
        });
    if (changed)
      this->packet_plane.Sync(*view, now);
  }

  /** Updates `local_balancers`, `known_balancers` and `controls` if the
   * membership has changed.
   */
  void ReadMembers(const BlackboardView& view) {
    if (this->known_members == view.members.value)
      return;
    this->known_members = view.members.value;
    const uint64_t local_data_centre =
        DataCentreIdOf(this->settings.data_centre);
    std::vector<Endpoint> local;
    std::vector<Endpoint> all;
    const ColdSharers sharers =
        ColdSharersOf(*view.members.value, this->settings);
    this->known_balancers =
        std::make_shared<const std::vector<VmId>>(sharers.balancers);
    this->hears_all_balancers = sharers.hears_all;
    for (const MemberInfo& member : view.members.value->members) {
      if (member.State() != MemberState::kAlive)
        continue;
      all.push_back(member.peer);
      if (member.data_centre == local_data_centre)
        local.push_back(member.peer);
    }
    this->local_balancers = 1 + static_cast<int>(local.size());
    this->live_balancers = 1 + static_cast<int>(all.size());
    // On a congested or cut link all balancers look dead, so a check without a
    // control would be no proof.
    if (all.empty() && this->settings.platform != Endpoint{})
      all.push_back(this->settings.platform);
    this->controls = std::make_shared<const std::vector<Endpoint>>(
        local.empty() ? std::move(all) : std::move(local));
  }

  /** The documents that the packet plane depends on. */
  struct Documents {
    std::shared_ptr<const Config> config;
    std::shared_ptr<const VmList> vms;

    bool operator==(const Documents&) const = default;
  };

  const Settings& settings;
  TokenPlane<Mutex> token_plane;  ///< Owns the blackboard of both planes.
  PacketPlane<Mutex> packet_plane;
  /** Documents that the packet plane was last updated from. */
  Guarded<Documents, Mutex> synced_documents;
  // The members below are used only by the thread that calls Tick.
  /** Next update of the packet plane for planned changes. */
  TimePoint next_sync;
  /** Membership that the members below were taken from. */
  std::shared_ptr<const MemberView> known_members;
  /** See SelfEvidence::controls. */
  std::shared_ptr<const std::vector<Endpoint>> controls;
  /** See SelfEvidence::known_balancers. */
  std::shared_ptr<const std::vector<VmId>> known_balancers;
  /** See SelfEvidence::hears_all_balancers. */
  bool hears_all_balancers = false;
  /** Live balancers in this data centre, including this one. */
  int local_balancers = 1;
  /** Live balancers in all data centres, including this one. */
  int live_balancers = 1;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BALANCER_BALANCER_BASE_H_
