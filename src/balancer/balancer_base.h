/** @file balancer_base.h All decisions of one balancer: the token plane and the
 * packet plane on one blackboard. */

#ifndef CUMINVANE_BALANCER_BALANCER_BASE_H_
#define CUMINVANE_BALANCER_BALANCER_BASE_H_

#include <algorithm>
#include <string_view>

#include "decision/drop_func.h"
#include "packet/plane_base.h"
#include "request/token_plane_base.h"

namespace cuminvane {

/**
 * The token plane (`TokenPlane`), which also keeps the blackboard, and the
 * packet plane beside it.
 * @tparam Mutex Lock of every part.
 */
template <Lockable Mutex>
class Balancer {
 public:
  /** @param settings Must outlive this; its incarnation must be set. */
  explicit Balancer(const Settings& settings)
      : settings(settings),
        node(settings),
        plane(settings.data_centre, settings.flows) {}

  /** Flows with tokens, documents, members. */
  TokenPlane<Mutex>& Tokens() { return this->node; }
  const TokenPlane<Mutex>& Tokens() const { return this->node; }
  /** Opaque flows. */
  PacketPlane<Mutex>& Packets() { return this->plane; }
  const PacketPlane<Mutex>& Packets() const { return this->plane; }

  /** Handles a datagram from another balancer. */
  void OnPeer(TimePoint now,
              const Endpoint& from,
              std::string_view bytes,
              RandomEngine& random,
              PacketOutput& out) {
    const Result<DatagramHeader> header = DecodeHeader(bytes);
    if (!header || header.value().type != MessageType::kReachabilityUpdate) {
      this->node.OnPeer(now, from, bytes, random, out.common);
      this->SyncPacketPlane(now);
      return;
    }
    const Result<ReachabilityUpdate> update =
        Decode<ReachabilityUpdate>(bytes, header.value());
    if (!update) {
      ReportDrop(update.error().code, "peer", out.common);
      return;
    }
    this->plane.OnReachabilityUpdate(
        now, update.value(), *this->node.ReadBlackboard()->members.value,
        random, out);
  }

  /** Takes a document that was read from the platform. */
  Result<void> OfferDocument(TimePoint now,
                             DocumentKind kind,
                             std::string_view text,
                             RandomEngine& random,
                             PacketOutput& out) {
    Result<void> accepted =
        this->node.OfferDocument(now, kind, text, random, out.common);
    this->SyncPacketPlane(now);
    return accepted;
  }

  /** Takes the result of a check that the packet plane asked for. */
  void OnHealthCheckResult(TimePoint now,
                           VmId vm,
                           HealthCheckResult result,
                           RandomEngine& random,
                           PacketOutput& out) {
    this->plane.OnHealthCheckResult(now, vm, result,
                                    *this->node.ReadBlackboard()->members.value,
                                    random, out);
  }

  /** Does what is due. Call every few milliseconds, from one thread. */
  void Tick(TimePoint now, RandomEngine& random, PacketOutput& out) {
    this->node.Tick(now, random, out.common);
    const auto view = this->node.ReadBlackboard();
    // Planned changes begin at a time, not with a document.
    if (!view->config.value->changes.empty() && now >= this->next_sync) {
      this->next_sync = now + kSyncInterval;
      this->plane.Sync(*view, now);
    }
    this->plane.Tick(now, view->config.value->flow_idle_timeout,
                     this->CountLocalBalancers(*view), out);
  }

  /** @return Whether callers should be sent here. */
  bool IsReady() const {
    const auto view = this->node.ReadBlackboard();
    if (view->self.value->stopping || !this->node.IsReady())
      return false;
    // Callers with tokens are served only after a comparison with the peers.
    const bool has_tokens = this->settings.fabric != Endpoint{};
    return (!has_tokens || view->self.value->serving) &&
           !this->plane.IsIsolated();
  }

 private:
  static constexpr Milliseconds kSyncInterval{100};

  /** Takes over documents that have changed. */
  void SyncPacketPlane(TimePoint now) {
    const auto view = this->node.ReadBlackboard();
    const Documents current{view->config.value, view->vms.value};
    const bool changed = this->synced.WithLock([&](Documents& known) {
      if (known == current)
        return false;
      known = current;
      return true;
    });
    if (changed)
      this->plane.Sync(*view, now);
  }

  /** @return Live balancers of this data centre, with this one; counted anew
   * where the members have changed. */
  int CountLocalBalancers(const BlackboardView& view) {
    if (this->counted_members == view.members.value)
      return this->local_balancers;
    this->counted_members = view.members.value;
    const uint64_t local_data_centre =
        DataCentreIdOf(this->settings.data_centre);
    const auto live = std::ranges::count_if(
        view.members.value->members,
        [local_data_centre](const MemberInfo& member) {
          return member.data_centre == local_data_centre &&
                 member.State() == MemberState::kAlive;
        });
    this->local_balancers = 1 + static_cast<int>(live);
    return this->local_balancers;
  }

  /** Documents that the packet plane has taken over. */
  struct Documents {
    std::shared_ptr<const Config> config;
    std::shared_ptr<const VmList> vms;

    bool operator==(const Documents&) const = default;
  };

  const Settings& settings;
  TokenPlane<Mutex> node;
  PacketPlane<Mutex> plane;
  Guarded<Documents, Mutex> synced;
  // Only the thread that calls Tick touches these.
  TimePoint next_sync;
  std::shared_ptr<const MemberView> counted_members;
  int local_balancers = 1;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BALANCER_BALANCER_BASE_H_
