/** @file token_plane_base.h The decision core of one balancer: everything that
 * arrives goes in here, everything to send comes out. */

#ifndef CUMINVANE_REQUEST_TOKEN_PLANE_BASE_H_
#define CUMINVANE_REQUEST_TOKEN_PLANE_BASE_H_

#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "decision/drop_func.h"
#include "member/control_base.h"
#include "message/message_func.h"
#include "placement/placement_shared_base.h"
#include "request/feed_base.h"
#include "request/opening_base.h"
#include "request/shard_base.h"
#include "request/takeover_base.h"
#include "request/token_func.h"

namespace cuminvane {

/** How full a node is, for status. */
struct TokenPlaneLoad {
  size_t flows = 0;
  size_t records = 0;
  size_t unfinished = 0;

  bool operator==(const TokenPlaneLoad&) const = default;
};

/**
 * One balancer's decisions.
 *
 * Any thread may call in; what it must touch is behind its own lock: each
 * shard, the placement, the membership and each document. `Output` and the
 * random engine belong to the calling thread.
 *
 * @tparam Mutex Lock of every part; NullMutex where one thread does everything.
 * @tparam Policy How flows are spread over backend servers.
 */
template <Lockable Mutex, PlacementPolicy Policy = LeastFlows>
class TokenPlane {
 public:
  using Placement = SharedPlacement<PlacementTable<Policy>, Mutex>;
  using Shard = RequestShard<Placement>;

  /** @param settings Must outlive the node; its incarnation must be set. */
  explicit TokenPlane(const Settings& settings)
      : control(settings),
        opener(settings.requests.witnessed, this->placement),
        feeds(this->placement),
        takeover(settings) {
    for (int index = 0; index < settings.shards; ++index) {
      this->shards.emplace_back(static_cast<uint8_t>(index), settings.requests,
                                this->placement);
    }
  }

  /**
   * Handles a datagram from the fabric.
   * @param now The present time.
   * @param from The fabric's address; answers go there.
   * @param bytes The datagram.
   * @param random The calling thread's engine.
   * @param out Receives what to do.
   */
  void OnFabric(TimePoint now,
                const Endpoint& from,
                std::string_view bytes,
                RandomEngine& random,
                Output& out) {
    const Result<FabricPacket> packet = DecodeAs<FabricPacket>(bytes);
    if (!packet) {
      ReportDrop(packet.error().code, "fabric", out);
      return;
    }
    const CallerPath path{packet.value().caller, packet.value().service, from};
    this->OnCallerPacket(now, path, AsStringView(packet.value().packet), 0,
                         random, out);
  }

  /** Handles a datagram from a backend server; parameters as for OnFabric. */
  void OnBackend(TimePoint now,
                 std::string_view bytes,
                 RandomEngine& random,
                 Output& out) {
    const Result<DatagramHeader> header = DecodeHeader(bytes);
    if (!header) {
      ReportDrop(header.error().code, "backend", out);
      return;
    }
    switch (header.value().type) {
      case MessageType::kPublishedEvent:
        this->feeds.OnPublishedEvent(bytes, header.value(), out);
        break;
      case MessageType::kSubscribed:
        this->feeds.OnSubscribed(bytes, header.value(), out);
        break;
      case MessageType::kRunAccepted:
        this->HandleRunMessage<RunAccepted>(now, bytes, header.value(),
                                            &Shard::OnAccepted, random, out);
        break;
      case MessageType::kRunPart:
        this->HandleRunMessage<RunPart>(now, bytes, header.value(),
                                        &Shard::OnRunPart, random, out);
        break;
      case MessageType::kRunRefused:
        this->HandleRunMessage<RunRefused>(now, bytes, header.value(),
                                           &Shard::OnRefused, random, out);
        break;
      case MessageType::kCancelRunReply:
        this->HandleRunMessage<CancelRunReply>(
            now, bytes, header.value(), &Shard::OnCancelReply, random, out);
        break;
      case MessageType::kRunLost:
        this->HandleRunMessage<RunLost>(now, bytes, header.value(),
                                        &Shard::OnRunLost, random, out);
        break;
      default:
        ReportDrop(ResultCode::kUnexpectedType, "backend", out);
        break;
    }
  }

  /** Handles a datagram from another balancer; parameters as for OnFabric. */
  void OnPeer(TimePoint now,
              const Endpoint& from,
              std::string_view bytes,
              RandomEngine& random,
              Output& out) {
    const Result<DatagramHeader> header = DecodeHeader(bytes);
    if (!header) {
      ReportDrop(header.error().code, "peer", out);
      return;
    }
    switch (header.value().type) {
      case MessageType::kRelayedPacket:
        this->OnRelay(now, bytes, header.value(), random, out);
        break;
      case MessageType::kDispatchIntent:
        this->takeover.OnIntent(now, from, bytes, header.value(), out);
        break;
      case MessageType::kDispatchIntentReply:
        this->OnIntentReply(now, bytes, header.value(), random, out);
        break;
      case MessageType::kPing:
      case MessageType::kAck:
      case MessageType::kPingRequest:
        this->control.OnMembershipMessage(now, from, bytes, header.value(),
                                          out);
        break;
      case MessageType::kDocumentDelta:
      case MessageType::kDocumentPull:
      case MessageType::kDocumentChunk:
        this->control.OnDocumentMessage(now, from, bytes, header.value(),
                                        random, out);
        break;
      default:
        ReportDrop(ResultCode::kUnexpectedType, "peer", out);
        break;
    }
  }

  /** As ControlPlane::OfferDocument. */
  Result<void> OfferDocument(TimePoint now,
                             DocumentKind kind,
                             std::string_view text,
                             RandomEngine& random,
                             Output& out) {
    return this->control.OfferDocument(now, kind, text, random, out);
  }

  /** Does what is due: probes, timers, planned changes. Call every few
   * milliseconds, from one thread. */
  void Tick(TimePoint now, RandomEngine& random, Output& out) {
    this->control.Tick(now, random, out);
    this->SyncPlacement(now);
    const auto view = this->ReadBlackboard();
    const HandlerContext context{now, *view, random, out};
    for (auto& shard : this->shards)
      shard.WithLock([&](Shard& locked_shard) { locked_shard.Tick(context); });
    this->takeover.Tick(now);
  }

  /** As ControlPlane::BeginStop. */
  void BeginStop(TimePoint now, Output& out) {
    this->control.BeginStop(now, out);
  }
  /** Ends the graceful shutdown; peers are told that this balancer owes
   * nothing, where that is so. */
  void EndStop(TimePoint now, Output& out) {
    this->control.EndStop(now, this->Load().unfinished == 0, out);
  }
  /** As ControlPlane::IsStopPlanned. */
  bool IsStopPlanned(TimePoint now) const {
    return this->control.IsStopPlanned(now);
  }
  /** As ControlPlane::ShouldWatchPlatform. */
  bool ShouldWatchPlatform(TimePoint now) const {
    return this->control.ShouldWatchPlatform(now);
  }
  /** As ControlPlane::SetSeedPeers. */
  void SetSeedPeers(std::vector<Endpoint> peers) {
    this->control.SetSeedPeers(std::move(peers));
  }
  /** As ControlPlane::ConfirmDocuments. */
  void ConfirmDocuments(TimePoint at) { this->control.ConfirmDocuments(at); }
  /** As ControlPlane::IsReady. */
  bool IsReady() const { return this->control.IsReady(); }

  /** @return How full the node is. */
  TokenPlaneLoad Load() const {
    TokenPlaneLoad load;
    for (const auto& shard : this->shards) {
      shard.WithLock([&load](const Shard& locked_shard) {
        load.flows += locked_shard.FlowCount();
        load.records += locked_shard.RecordCount();
        load.unfinished += locked_shard.Unfinished();
      });
    }
    return load;
  }

  /** @return Every belief of this balancer. */
  std::shared_ptr<const BlackboardView> ReadBlackboard() const {
    return this->control.ReadBlackboard();
  }
  /** @return What is known of the backend servers. */
  std::map<VmId, BackendState> Backends() const {
    return this->placement.Backends();
  }

 private:
  static constexpr Milliseconds kPlacementSyncInterval{100};

  template <class Message>
  static Result<Message> DecodeAs(std::string_view bytes) {
    BOOST_OUTCOME_TRY(header, DecodeHeader(bytes));
    return Decode<Message>(bytes, header);
  }

  Guarded<Shard, Mutex>& ShardOf(FlowId flow) {
    return this->shards[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                        this->shards.size()];
  }

  /** Handles a caller's packet, from the fabric or from a peer. */
  void OnCallerPacket(TimePoint now,
                      const CallerPath& path,
                      std::string_view bytes,
                      int hops,
                      RandomEngine& random,
                      Output& out) {
    const Result<DatagramHeader> header = DecodeHeader(bytes);
    if (!header) {
      ReportDrop(header.error().code, "caller", out);
      return;
    }
    const auto view = this->ReadBlackboard();
    if (!view->self.value->serving) {
      ReportDrop(ResultCode::kNotServing, "caller", out);
      return;
    }
    const HandlerContext context{now, *view, random, out};
    const CallerPacket packet{path, bytes, header.value(), hops};
    switch (header.value().type) {
      case MessageType::kFlowOpen:
        this->opener.OnOpen(context, packet);
        break;
      case MessageType::kFlowReopen:
        this->opener.OnReopen(context, packet);
        break;
      case MessageType::kRequest:
        this->OnRequest(context, packet);
        break;
      case MessageType::kFeedFollow:
        this->feeds.OnFollow(context, packet);
        break;
      case MessageType::kFeedUnfollow:
        this->feeds.OnUnfollow(context, packet);
        break;
      case MessageType::kMissingPartsQuery:
        this->HandleAtHolder<MissingPartsQuery>(
            context, packet,
            [&](Shard& shard, const MissingPartsQuery& message) {
              shard.OnNeedParts(context, path, message);
            });
        break;
      case MessageType::kAnswerReceived:
        this->HandleAtHolder<AnswerReceived>(
            context, packet, [](Shard& shard, const AnswerReceived& message) {
              shard.OnDone(message);
            });
        break;
      case MessageType::kCancelRequest:
        this->HandleAtHolder<CancelRequest>(
            context, packet, [&](Shard& shard, const CancelRequest& message) {
              shard.OnCancel(context, path, message);
            });
        break;
      default:
        ReportDrop(ResultCode::kUnexpectedType, "caller", out);
        break;
    }
  }

  void OnRequest(const HandlerContext& context, const CallerPacket& packet) {
    const Result<Request> request =
        Decode<Request>(packet.bytes, packet.header);
    if (!request) {
      ReportDrop(request.error().code, "request", context.out);
      return;
    }
    const Request& message = request.value();
    const Result<FlowToken> token = VerifyToken(context, packet, message.flow,
                                                message.number, message.token);
    if (!token)
      return;
    const Route route = RouteRequest(context.blackboard, token.value(),
                                     message.work_class, packet.hops);
    LogRoute("request", message.flow, message.number, route, context.out);
    if (route.kind == RouteKind::kOwnerLeft) {
      this->takeover.HandOverFlow(context, packet.path, token.value(), message,
                                  DispatchStatus::kNeverDispatched,
                                  RequestNumber{});
      return;
    }
    if (route.kind == RouteKind::kTakeOver) {
      this->takeover.TakeOver(context, packet.path, token.value(), message);
      return;
    }
    if (route.kind != RouteKind::kLocal) {
      RefuseOrRelay(route, packet, message.flow, message.number, context.out);
      return;
    }
    this->ShardOf(message.flow).WithLock([&](Shard& shard) {
      shard.OnRequest(context, packet.path, token.value(), message);
    });
  }

  /** Handles a message about a request that one balancer holds. */
  template <class Message, class Handle>
  void HandleAtHolder(const HandlerContext& context,
                      const CallerPacket& packet,
                      Handle handle) {
    const Result<Message> message =
        Decode<Message>(packet.bytes, packet.header);
    if (!message) {
      ReportDrop(message.error().code, "caller", context.out);
      return;
    }
    const Message& body = message.value();
    const Result<FlowToken> token =
        VerifyToken(context, packet, body.flow, body.number, body.token);
    if (!token)
      return;
    const VmInstance holder =
        body.holder == VmInstance{} ? token.value().owner : body.holder;
    const Route route = RouteToHolder(context.blackboard, holder, packet.hops);
    if (route.kind != RouteKind::kLocal) {
      RefuseOrRelay(route, packet, body.flow, body.number, context.out);
      return;
    }
    this->ShardOf(body.flow).WithLock(
        [&](Shard& shard) { handle(shard, body); });
  }

  void OnRelay(TimePoint now,
               std::string_view bytes,
               const DatagramHeader& header,
               RandomEngine& random,
               Output& out) {
    const Result<RelayedPacket> relay = Decode<RelayedPacket>(bytes, header);
    if (!relay) {
      ReportDrop(relay.error().code, "peer", out);
      return;
    }
    const CallerPath path{relay.value().caller, relay.value().service,
                          relay.value().fabric};
    // A sender that does not count its relays is taken to have made one.
    const int hops = std::max<int>(1, relay.value().hops);
    this->OnCallerPacket(now, path, AsStringView(relay.value().packet), hops,
                         random, out);
  }

  void OnIntentReply(TimePoint now,
                     std::string_view bytes,
                     const DatagramHeader& header,
                     RandomEngine& random,
                     Output& out) {
    const Result<DispatchIntentReply> reply =
        Decode<DispatchIntentReply>(bytes, header);
    if (!reply) {
      ReportDrop(reply.error().code, "peer", out);
      return;
    }
    const auto view = this->ReadBlackboard();
    const HandlerContext context{now, *view, random, out};
    this->ShardOf(reply.value().flow).WithLock([&](Shard& shard) {
      shard.OnIntentReply(context, reply.value());
    });
  }

  template <class Message>
  void HandleRunMessage(TimePoint now,
                        std::string_view bytes,
                        const DatagramHeader& header,
                        void (Shard::*handle)(const HandlerContext&,
                                              const Message&),
                        RandomEngine& random,
                        Output& out) {
    const Result<Message> message = Decode<Message>(bytes, header);
    if (!message) {
      ReportDrop(message.error().code, "backend", out);
      return;
    }
    const uint8_t index = Shard::ShardIndexOf(message.value().run);
    if (index >= this->shards.size()) {
      ReportDrop(ResultCode::kUnknownRun, "backend", out);
      return;
    }
    const auto view = this->ReadBlackboard();
    const HandlerContext context{now, *view, random, out};
    this->shards[index].WithLock(
        [&](Shard& shard) { (shard.*handle)(context, message.value()); });
  }

  /** Planned changes begin by the clock, so placement is synchronized now and
   * then, and at once after news. */
  void SyncPlacement(TimePoint now) {
    const bool documents_changed = this->control.ConsumeDocumentsChanged();
    const auto view = this->ReadBlackboard();
    // Planned changes begin at a time, not with a document.
    const bool change_may_begin = !view->config.value->changes.empty() &&
                                  now >= this->next_placement_sync;
    if (!documents_changed && !change_may_begin)
      return;
    this->next_placement_sync = now + kPlacementSyncInterval;
    this->placement.Sync(*view->vms.value, *view->config.value, now);
  }

  ControlPlane<Mutex> control;
  Placement placement;
  FlowOpener<Placement> opener;
  FeedRelay<Placement> feeds;
  Takeover<Mutex> takeover;
  std::deque<Guarded<Shard, Mutex>> shards;
  TimePoint
      next_placement_sync;  ///< Only the thread that calls Tick touches it.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TOKEN_PLANE_BASE_H_
