/** @file token_plane_base.h Token plane of one balancer: processes the packets
 * of flows with tokens and the messages between balancers, without doing
 * any I/O. */

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

/** Request state that a token plane holds, for the status page. */
struct TokenPlaneLoad {
  size_t flows = 0;    ///< Number of flows that have request records.
  size_t records = 0;  ///< Number of request records.
  /** Number of requests that are open, or whose answer or unknown outcome may
   * not have reached the caller yet. */
  size_t unfinished = 0;

  bool operator==(const TokenPlaneLoad&) const = default;
};

/**
 * Handles flows with tokens: their requests and feeds, the membership and the
 * documents. Every handler takes one event and writes the datagrams to send and
 * the decisions to log to an `Output`.
 *
 * Thread-safe: each shard, the placement, the membership and each document has
 * its own lock. `Output` and the random engine are not shared between threads.
 *
 * @tparam Mutex Type of every lock; NullMutex for single-threaded use.
 * @tparam Policy Chooses among the backend servers of a service.
 */
template <Lockable Mutex, PlacementPolicy Policy = LeastFlows>
class TokenPlane {
 public:
  using Placement = SharedPlacement<PlacementTable<Policy>, Mutex>;
  using Shard = RequestShard<Placement>;

  /** @param settings Must outlive this object; its incarnation must be set. */
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
   * @param now Current time.
   * @param from Address of the fabric; packets to the caller are sent there.
   * @param bytes The datagram.
   * @param random Random engine of the calling thread.
   * @param out Receives datagrams, log decisions and samples.
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

  /** Handles a datagram from a backend server. `bytes` is the datagram, `out`
   * receives datagrams, log decisions and samples. */
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
                                            &Shard::OnRunAccepted, random, out);
        break;
      case MessageType::kRunPart:
        this->HandleRunMessage<RunPart>(now, bytes, header.value(),
                                        &Shard::OnRunPart, random, out);
        break;
      case MessageType::kRunRefused:
        this->HandleRunMessage<RunRefused>(now, bytes, header.value(),
                                           &Shard::OnRunRefused, random, out);
        break;
      case MessageType::kCancelRunReply:
        this->HandleRunMessage<CancelRunReply>(
            now, bytes, header.value(), &Shard::OnCancelRunReply, random, out);
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

  /** Handles a datagram from another balancer. `from` is the balancer's peer
   * address, `bytes` the datagram; `out` receives datagrams, log decisions and
   * samples. */
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
        this->OnDispatchIntentReply(now, bytes, header.value(), random, out);
        break;
      case MessageType::kPing:
      case MessageType::kAck:
      case MessageType::kPingRequest:
        this->control.OnMembershipMessage(now, from, bytes, header.value(),
                                          random, out);
        break;
      case MessageType::kDocumentPush:
        this->control.OnDocumentPush(now, bytes, header.value(), random, out);
        break;
      default:
        ReportDrop(ResultCode::kUnexpectedType, "peer", out);
        break;
    }
  }

  /** Processes a document that was read from the platform.
   * @return kInvalidDocument with all problems, kStaleDocument, or success if
   * the document is active now, even if it already was. */
  Result<void> OfferDocument(TimePoint now,
                             DocumentKind kind,
                             std::string_view text,
                             RandomEngine& random,
                             Output& out) {
    return this->control.OfferDocument(now, kind, text, random, out);
  }

  /** Sends due membership probes, handles expired request timers and activates
   * due planned changes. Must be called every few milliseconds, always from the
   * same thread. */
  void Tick(TimePoint now, RandomEngine& random, Output& out) {
    this->control.Tick(now, random, out);
    this->SyncPlacement(now);
    const auto view = this->ReadBlackboard();
    const HandlerContext context{now, *view, random, out};
    for (auto& shard : this->shards)
      shard.WithLock([&](Shard& locked_shard) { locked_shard.Tick(context); });
    this->takeover.Tick(now);
  }

  /** Begins the graceful shutdown: accepts no new non-idempotent requests and
   * notifies the peers. */
  void BeginStop(TimePoint now, Output& out) {
    this->control.BeginStop(now, out);
  }
  /** Ends the graceful shutdown: accepts no further packets from callers,
   * and notifies the peers if no request is unfinished. */
  void EndStop(TimePoint now, Output& out) {
    this->control.EndStop(now, this->Load().unfinished == 0, out);
  }
  /** @return Whether an active planned change stops this balancer. */
  bool IsStopPlanned(TimePoint now) const {
    return this->control.IsStopPlanned(now);
  }
  /** @return Whether this balancer should watch the platform for new documents.
   */
  bool ShouldWatchPlatform(TimePoint now) const {
    return this->control.ShouldWatchPlatform(now);
  }
  /** Replaces the peers to contact while no other balancer is known. */
  void SetSeedPeers(std::vector<Endpoint> peers) {
    this->control.SetSeedPeers(std::move(peers));
  }
  /** Records that this balancer had the newest documents at time `at`. */
  void ConfirmDocuments(TimePoint at) { this->control.ConfirmDocuments(at); }

  /** @return Membership and documents. */
  ControlPlane<Mutex>& Control() { return this->control; }
  const ControlPlane<Mutex>& Control() const { return this->control; }
  /** @return Whether a configuration and a VM list are active, which is needed
   * to serve callers. */
  bool IsReady() const { return this->control.IsReady(); }

  /** @return Request state held by all shards together. */
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

  /** @return Snapshot of this balancer's blackboard. */
  std::shared_ptr<const BlackboardView> ReadBlackboard() const {
    return this->control.ReadBlackboard();
  }
  /** @return State of every backend server, by VM. */
  std::map<VmId, BackendState> Backends() const {
    return this->placement.Backends();
  }

 private:
  /** Interval between placement updates while the configuration has planned
   * changes. */
  static constexpr Milliseconds kPlacementSyncInterval{100};

  /** @return The message of a datagram, or an error if it can't be decoded. */
  template <class Message>
  static Result<Message> DecodeAs(std::string_view bytes) {
    BOOST_OUTCOME_TRY(header, DecodeHeader(bytes));
    return Decode<Message>(bytes, header);
  }

  /** @return The shard that holds the records of a flow. */
  Guarded<Shard, Mutex>& ShardOf(FlowId flow) {
    return this->shards[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                        this->shards.size()];
  }

  /**
   * Handles a caller's packet.
   * @param path Caller's address and the route for packets back to it.
   * @param bytes The packet.
   * @param hops Number of relays between balancers; 0 if the packet came
   * directly from the fabric.
   */
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
        this->opener.OnFlowReopen(context, packet);
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
              shard.OnMissingPartsQuery(context, path, message);
            });
        break;
      case MessageType::kAnswerReceived:
        this->HandleAtHolder<AnswerReceived>(
            context, packet, [](Shard& shard, const AnswerReceived& message) {
              shard.OnAnswerReceived(message);
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

  /** Handles a request: passes it to its shard, relays or refuses it, or takes
   * its flow over. */
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

  /**
   * Handles a caller's message about an earlier request: relays it to the
   * balancer that holds the request's record, or handles it if that is this
   * balancer.
   * @param handle Called with the locked shard and the message.
   */
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

  /** Handles a caller's packet that another balancer relayed. */
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
    // Senders that do not set the hop count have relayed the packet once.
    const int hops = std::max<int>(1, relay.value().hops);
    this->OnCallerPacket(now, path, AsStringView(relay.value().packet), hops,
                         random, out);
  }

  /** Handles a witness's reply to an intent of this balancer. */
  void OnDispatchIntentReply(TimePoint now,
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
      shard.OnDispatchIntentReply(context, reply.value());
    });
  }

  /**
   * Passes a backend server's message about a run to the shard that dispatched
   * the run.
   * @param handle Member function of the shard that handles the message.
   */
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

  /** Updates the placement after a document has changed and, while the
   * configuration has planned changes, every kPlacementSyncInterval. */
  void SyncPlacement(TimePoint now) {
    const bool documents_changed = this->control.ConsumeDocumentsChanged();
    const auto view = this->ReadBlackboard();
    // A planned change becomes active by the clock, without a new document.
    const bool change_may_begin = !view->config.value->changes.empty() &&
                                  now >= this->next_placement_sync;
    if (!documents_changed && !change_may_begin)
      return;
    this->next_placement_sync = now + kPlacementSyncInterval;
    this->placement.Sync(*view->vms.value, *view->config.value, now);
  }

  ControlPlane<Mutex> control;               ///< Membership and documents.
  Placement placement;                       ///< Chooses backend servers.
  FlowOpener<Placement> opener;              ///< Issues tokens.
  FeedRelay<Placement> feeds;                ///< Relays feeds.
  Takeover<Mutex> takeover;                  ///< Witness role.
  std::deque<Guarded<Shard, Mutex>> shards;  ///< Indexed by shard number.
  /** Earliest time of the next periodic placement update. Not locked: only the
   * thread that calls Tick accesses it. */
  TimePoint next_placement_sync;
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_TOKEN_PLANE_BASE_H_
