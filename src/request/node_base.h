/** @file node_base.h The decision core of one balancer: everything that arrives
 * goes in here, everything to send comes out. */

#ifndef CUMINVANE_REQUEST_NODE_BASE_H_
#define CUMINVANE_REQUEST_NODE_BASE_H_

#include <deque>
#include <memory>
#include <string_view>
#include <vector>

#include "decision/drop_func.h"
#include "member/control_base.h"
#include "message/message_func.h"
#include "placement/placement_shared_base.h"
#include "request/reply_func.h"
#include "request/route_func.h"
#include "request/shard_base.h"
#include "request/token_func.h"
#include "request/witness_base.h"

namespace cuminvane {

/** How full a node is, for status. */
struct NodeLoad {
  size_t flows = 0;
  size_t records = 0;
  size_t unfinished = 0;

  bool operator==(const NodeLoad&) const = default;
};

/**
 * One balancer's decisions.
 *
 * Any thread may call in; what it must touch is behind its own lock: each
 * shard, the placement, the membership and each document. `Output` and the
 * random engine belong to the calling thread.
 *
 * @tparam Mutex Lock of every part; NoMutex where one thread does everything.
 * @tparam Policy How flows are spread over backend servers.
 */
template <Lockable Mutex, PlacementPolicy Policy = LeastPlaced>
class Node {
 public:
  using Placement = SharedPlacement<PlacementTable<Policy>, Mutex>;
  using NodeShard = Shard<Placement>;

  /** @param settings Must outlive the node; its incarnation must be set. */
  explicit Node(const Settings& settings)
      : settings(settings), control(settings) {
    for (int index = 0; index < settings.shards; ++index) {
      this->shards.emplace_back(static_cast<uint8_t>(index), settings.requests,
                                this->placement);
      this->witnesses.emplace_back(settings.requests.records_per_shard);
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
      NoteDrop(packet.error().code, "fabric", out);
      return;
    }
    const CallerPath path{packet.value().caller, packet.value().service, from};
    this->OnCallerPacket(now, path, View(packet.value().packet), 0, random,
                         out);
  }

  /** Handles a datagram from a backend server; parameters as for OnFabric. */
  void OnBackend(TimePoint now,
                 std::string_view bytes,
                 RandomEngine& random,
                 Output& out) {
    const Result<Header> header = DecodeHeader(bytes);
    if (!header) {
      NoteDrop(header.error().code, "backend", out);
      return;
    }
    switch (header.value().type) {
      case MessageType::kPublishedEvent:
        this->OnPublishedEvent(bytes, header.value(), out);
        break;
      case MessageType::kSubscribed:
        this->OnSubscribed(bytes, header.value(), out);
        break;
      case MessageType::kAccepted:
        this->ForRun<Accepted>(now, bytes, header.value(),
                               &NodeShard::OnAccepted, random, out);
        break;
      case MessageType::kRunPart:
        this->ForRun<RunPart>(now, bytes, header.value(), &NodeShard::OnRunPart,
                              random, out);
        break;
      case MessageType::kRefused:
        this->ForRun<Refused>(now, bytes, header.value(), &NodeShard::OnRefused,
                              random, out);
        break;
      case MessageType::kCancelReply:
        this->ForRun<CancelReply>(now, bytes, header.value(),
                                  &NodeShard::OnCancelReply, random, out);
        break;
      case MessageType::kRunLost:
        this->ForRun<RunLost>(now, bytes, header.value(), &NodeShard::OnRunLost,
                              random, out);
        break;
      default:
        NoteDrop(ResultCode::kUnexpectedType, "backend", out);
        break;
    }
  }

  /** Handles a datagram from another balancer; parameters as for OnFabric. */
  void OnPeer(TimePoint now,
              const Endpoint& from,
              std::string_view bytes,
              RandomEngine& random,
              Output& out) {
    const Result<Header> header = DecodeHeader(bytes);
    if (!header) {
      NoteDrop(header.error().code, "peer", out);
      return;
    }
    switch (header.value().type) {
      case MessageType::kRelay:
        this->OnRelay(now, bytes, header.value(), random, out);
        break;
      case MessageType::kIntent:
        this->OnIntent(now, from, bytes, header.value(), out);
        break;
      case MessageType::kIntentReply:
        this->OnIntentReply(now, bytes, header.value(), random, out);
        break;
      case MessageType::kPing:
      case MessageType::kAck:
      case MessageType::kPingRequest:
        this->control.OnMembership(now, from, bytes, header.value(), out);
        break;
      case MessageType::kDocumentDelta:
      case MessageType::kDocumentPull:
      case MessageType::kDocumentChunk:
        this->control.OnDocument(now, from, bytes, header.value(), random, out);
        break;
      default:
        NoteDrop(ResultCode::kUnexpectedType, "peer", out);
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
    const auto view = this->Beliefs();
    const ShardCall call{now, *view, random, out};
    for (auto& shard : this->shards)
      shard.With([&](NodeShard& part) { part.Tick(call); });
    for (auto& witness : this->witnesses)
      witness.With([now](WitnessTable& table) { table.Tick(now); });
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
  /** As ControlPlane::ShouldWatch. */
  bool ShouldWatch(TimePoint now) const {
    return this->control.ShouldWatch(now);
  }
  /** As ControlPlane::SetFirstPeers. */
  void SetFirstPeers(std::vector<Endpoint> peers) {
    this->control.SetFirstPeers(std::move(peers));
  }
  /** As ControlPlane::ConfirmDocuments. */
  void ConfirmDocuments(TimePoint at) { this->control.ConfirmDocuments(at); }
  /** As ControlPlane::IsReady. */
  bool IsReady() const { return this->control.IsReady(); }

  /** @return How full the node is. */
  NodeLoad Load() const {
    NodeLoad load;
    for (const auto& shard : this->shards) {
      shard.With([&load](const NodeShard& part) {
        load.flows += part.Flows();
        load.records += part.Records();
        load.unfinished += part.Unfinished();
      });
    }
    return load;
  }

  /** @return Every belief of this balancer. */
  std::shared_ptr<const BoardView> Beliefs() const {
    return this->control.Beliefs();
  }
  /** @return What is known of the backend servers. */
  std::map<VmId, BackendState> Backends() const {
    return this->placement.Backends();
  }

 private:
  static constexpr Milliseconds kPlacementSync{100};
  /** Clocks of two VMs may differ by less than this. */
  static constexpr Seconds kClosureMargin{2};
  /** Callers renew far more often; a feed nobody renews ends with it. */
  static constexpr Seconds kFeedLease{30};

  template <class Message>
  static Result<Message> DecodeAs(std::string_view bytes) {
    BOOST_OUTCOME_TRY(header, DecodeHeader(bytes));
    return Decode<Message>(bytes, header);
  }

  Guarded<NodeShard, Mutex>& ShardOf(FlowId flow) {
    return this->shards[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                        this->shards.size()];
  }

  Guarded<WitnessTable, Mutex>& WitnessOf(FlowId flow) {
    return this->witnesses[XXH3_64bits(&flow.value, sizeof(flow.value)) %
                           this->witnesses.size()];
  }

  /** Whether new flows get a witness: a setting, since witnesses cost control
   * traffic. */
  HandoverWish Wish() const {
    return {this->settings.requests.witnessed, VmId{}};
  }

  void LogRoute(const char* event,
                FlowId flow,
                RequestNumber number,
                const Route& route,
                Output& out) {
    Decision decision;
    decision.topic = Topic::kRouting;
    decision.event = event;
    decision.reason = route.reason;
    decision.flow = flow;
    decision.number = number;
    decision.vm = route.peer;
    decision.code = route.code;
    out.decisions.push_back(decision);
  }

  /** Handles a caller's packet, from the fabric or from a peer. */
  void OnCallerPacket(TimePoint now,
                      const CallerPath& path,
                      std::string_view bytes,
                      int hops,
                      RandomEngine& random,
                      Output& out) {
    const Result<Header> header = DecodeHeader(bytes);
    if (!header) {
      NoteDrop(header.error().code, "caller", out);
      return;
    }
    const auto view = this->Beliefs();
    if (!view->self.value->serving) {
      NoteDrop(ResultCode::kNotServing, "caller", out);
      return;
    }
    const ShardCall call{now, *view, random, out};
    const Arrival arrival{path, bytes, header.value(), hops};
    switch (header.value().type) {
      case MessageType::kOpen:
        this->OnOpen(call, arrival);
        break;
      case MessageType::kReopen:
        this->OnReopen(call, arrival);
        break;
      case MessageType::kRequest:
        this->OnRequest(call, arrival);
        break;
      case MessageType::kFollow:
        this->OnFollow(call, arrival);
        break;
      case MessageType::kUnfollow:
        this->OnUnfollow(call, arrival);
        break;
      case MessageType::kNeedParts:
        this->ToHolder<NeedParts>(
            call, arrival, [&](NodeShard& shard, const NeedParts& message) {
              shard.OnNeedParts(call, path, message);
            });
        break;
      case MessageType::kDone:
        this->ToHolder<Done>(call, arrival,
                             [](NodeShard& shard, const Done& message) {
                               shard.OnDone(message);
                             });
        break;
      case MessageType::kCancel:
        this->ToHolder<Cancel>(call, arrival,
                               [&](NodeShard& shard, const Cancel& message) {
                                 shard.OnCancel(call, path, message);
                               });
        break;
      default:
        NoteDrop(ResultCode::kUnexpectedType, "caller", out);
        break;
    }
  }

  /** A caller's packet with what is known of it. */
  struct Arrival {
    CallerPath path;
    std::string_view bytes;
    Header header;
    int hops = 0;  ///< Relays it has taken.
  };

  void OnOpen(const ShardCall& call, const Arrival& arrival) {
    const Result<Open> open = Decode<Open>(arrival.bytes, arrival.header);
    if (!open) {
      NoteDrop(open.error().code, "open", call.out);
      return;
    }
    const Service* const service =
        FindService(*call.board.config.value, arrival.path.service);
    if (service == nullptr) {
      NoteDrop(ResultCode::kUnknownService, "open", call.out);
      return;
    }
    const Result<Target> target =
        this->placement.ForFlow(service->id, call.now, call.random);
    if (!target) {
      this->AnswerOpen(call, arrival, open.value().nonce, FlowToken{},
                       target.error().code);
      return;
    }
    FlowToken token;
    token.flow = FlowId{DrawId(call.random)};
    token.service = service->id;
    token.backend = target.value().vm;
    token.backend_incarnation = target.value().incarnation;
    token = AssignOwner(call.board, token, this->Wish());
    Decision decision;
    decision.topic = Topic::kPlacement;
    decision.event = "open";
    decision.reason = target.value().reason;
    decision.flow = token.flow;
    decision.vm = token.backend;
    call.out.decisions.push_back(decision);
    this->AnswerOpen(call, arrival, open.value().nonce, token, ResultCode::kOk);
  }

  void AnswerOpen(const ShardCall& call,
                  const Arrival& arrival,
                  uint64_t nonce,
                  const FlowToken& token,
                  ResultCode code) {
    std::string sealed;
    if (code == ResultCode::kOk) {
      Result<std::string> sealing =
          SealToken(token, call.board.config.value->keys);
      if (!sealing) {
        NoteDrop(sealing.error().code, "open", call.out);
        return;
      }
      sealed = std::move(sealing).value();
    }
    const Opened opened{nonce,
                        token.flow,
                        MakeBlob(sealed),
                        ToWire(call.now),
                        static_cast<uint16_t>(code),
                        token.fence};
    const std::string reply = Encode(opened);
    // The sender is not verified, so it never gets back more than it sent.
    if (reply.size() > arrival.bytes.size()) {
      NoteDrop(ResultCode::kReplyTooLarge, "open", call.out);
      return;
    }
    SendToCaller(arrival.path, reply, call.out);
  }

  void OnReopen(const ShardCall& call, const Arrival& arrival) {
    const Result<Reopen> reopen = Decode<Reopen>(arrival.bytes, arrival.header);
    if (!reopen) {
      NoteDrop(reopen.error().code, "reopen", call.out);
      return;
    }
    const Result<FlowToken> known =
        this->Verify(call, arrival, reopen.value().flow, RequestNumber{},
                     reopen.value().token);
    if (!known)
      return;
    if (reopen.value().keepalive && CanStay(call.board, known.value())) {
      const Opened stays{
          reopen.value().nonce, known.value().flow, {}, ToWire(call.now), 0,
          known.value().fence};
      SendToCaller(arrival.path, Encode(stays), call.out);
      return;
    }
    FlowToken token = known.value();
    token = AssignOwner(call.board, token, this->Wish());
    token.fence = std::max(token.fence, reopen.value().highest);
    this->LogRoute("reopen", token.flow, token.fence,
                   {RouteKind::kLocal,
                    ResultCode::kOk,
                    token.owner.vm,
                    {},
                    reopen.value().keepalive ? "keepalive" : "owner_lost"},
                   call.out);
    this->AnswerOpen(call, arrival, reopen.value().nonce, token,
                     ResultCode::kOk);
  }

  void OnRequest(const ShardCall& call, const Arrival& arrival) {
    const Result<Request> request =
        Decode<Request>(arrival.bytes, arrival.header);
    if (!request) {
      NoteDrop(request.error().code, "request", call.out);
      return;
    }
    const Request& message = request.value();
    const Result<FlowToken> token = this->Verify(call, arrival, message.flow,
                                                 message.number, message.token);
    if (!token)
      return;
    const Route route = RouteRequest(call.board, token.value(),
                                     message.work_class, arrival.hops);
    this->LogRoute("request", message.flow, message.number, route, call.out);
    if (route.kind == RouteKind::kInherit) {
      this->GoOn(call, arrival.path, token.value(), message,
                 Testimony::kNeverDispatched, RequestNumber{});
      return;
    }
    if (route.kind == RouteKind::kTakeOver) {
      this->TakeOver(call, arrival.path, token.value(), message);
      return;
    }
    if (route.kind != RouteKind::kLocal) {
      this->FollowRoute(route, arrival, message.flow, message.number, call.out);
      return;
    }
    this->ShardOf(message.flow).With([&](NodeShard& shard) {
      shard.OnRequest(call, arrival.path, token.value(), message);
    });
  }

  /** The owner is out of reach: it is closed, and the caller told what is known
   * of the request. */
  void TakeOver(const ShardCall& call,
                const CallerPath& path,
                const FlowToken& token,
                const Request& request) {
    const TimePoint forget_at =
        call.now + this->settings.requests.deadline_limit + kClosureMargin;
    RequestNumber announced;
    Testimony testimony = Testimony::kMayHaveRun;
    this->WitnessOf(request.flow).With([&](WitnessTable& witness) {
      testimony =
          witness.Close(request.flow, token.owner, request.number, forget_at);
      announced = witness.HighestAnnounced(request.flow);
    });
    this->GoOn(call, path, token, request, testimony, announced);
  }

  /**
   * Gives a flow whose owner is gone its next owner, and tells the caller what
   * is known of its request.
   */
  void GoOn(const ShardCall& call,
            const CallerPath& path,
            const FlowToken& token,
            const Request& request,
            Testimony testimony,
            RequestNumber announced) {
    // What was known of it may be forgotten once its deadline has passed.
    const bool too_late = FromWire(request.deadline) <= call.now;
    const bool moved = testimony == Testimony::kNeverDispatched && !too_late &&
                       request.number > token.fence;
    const ResultCode code =
        moved ? ResultCode::kMoved : ResultCode::kOutcomeUnknown;
    FlowToken next = AssignOwner(call.board, token, this->Wish());
    next.fence = std::max({token.fence, announced, request.number});
    this->LogRoute("take_over", request.flow, request.number,
                   {RouteKind::kTakeOver,
                    code,
                    token.owner.vm,
                    {},
                    moved ? "never_dispatched" : "may_have_run"},
                   call.out);
    SendNextToken(call.board, path, request.number, code, next, call.out);
  }

  /** Any balancer may carry a feed; what it would have to remember comes back
   * with every event. */
  void OnFollow(const ShardCall& call, const Arrival& arrival) {
    const Result<Follow> follow = Decode<Follow>(arrival.bytes, arrival.header);
    if (!follow) {
      NoteDrop(follow.error().code, "follow", call.out);
      return;
    }
    const Follow& message = follow.value();
    const Result<FlowToken> token = this->Verify(call, arrival, message.flow,
                                                 message.number, message.token);
    if (!token)
      return;
    const Holder preferred{token.value().backend,
                           token.value().backend_incarnation};
    const Result<Target> target =
        this->placement.ForFeed(token.value().service, preferred, message.flow,
                                message.attempt, call.now);
    if (!target) {
      NoteDrop(target.error().code, "follow", call.out);
      return;
    }
    const Route route{RouteKind::kLocal,
                      ResultCode::kOk,
                      target.value().vm,
                      {},
                      target.value().reason};
    this->LogRoute("follow", message.flow, message.number, route, call.out);
    const Subscribe subscribe{arrival.path,
                              message.flow,
                              message.number,
                              message.position,
                              ToWire(call.now + kFeedLease),
                              message.topic};
    call.out.datagrams.push_back(
        {Lane::kBackend, target.value().address, Encode(subscribe)});
  }

  void OnUnfollow(const ShardCall& call, const Arrival& arrival) {
    const Result<Unfollow> unfollow =
        Decode<Unfollow>(arrival.bytes, arrival.header);
    if (!unfollow) {
      NoteDrop(unfollow.error().code, "follow", call.out);
      return;
    }
    const Unfollow& message = unfollow.value();
    const Result<FlowToken> token = this->Verify(call, arrival, message.flow,
                                                 message.number, message.token);
    if (!token)
      return;
    // If the feed has moved, its lease ends it.
    const Endpoint backend = this->placement.AddressOf(token.value().backend);
    call.out.datagrams.push_back(
        {Lane::kBackend, backend,
         Encode(Unsubscribe{message.flow, message.number})});
  }

  void OnPublishedEvent(std::string_view bytes,
                        const Header& header,
                        Output& out) {
    const Result<PublishedEvent> event = Decode<PublishedEvent>(bytes, header);
    if (!event) {
      NoteDrop(event.error().code, "backend", out);
      return;
    }
    const PublishedEvent& message = event.value();
    const FeedEvent forwarded{message.flow, message.number, message.position,
                              message.previous, message.payload};
    SendToCaller(message.path, Encode(forwarded), out);
  }

  void OnSubscribed(std::string_view bytes, const Header& header, Output& out) {
    const Result<Subscribed> subscribed = Decode<Subscribed>(bytes, header);
    if (!subscribed) {
      NoteDrop(subscribed.error().code, "backend", out);
      return;
    }
    const Subscribed& message = subscribed.value();
    SendToCaller(message.path, Encode(Following{message.flow, message.number}),
                 out);
  }

  /** Handles a message about a request that one balancer holds. */
  template <class Message, class Handle>
  void ToHolder(const ShardCall& call, const Arrival& arrival, Handle handle) {
    const Result<Message> message =
        Decode<Message>(arrival.bytes, arrival.header);
    if (!message) {
      NoteDrop(message.error().code, "caller", call.out);
      return;
    }
    const Message& body = message.value();
    const Result<FlowToken> token =
        this->Verify(call, arrival, body.flow, body.number, body.token);
    if (!token)
      return;
    const Holder holder =
        body.holder == Holder{} ? token.value().owner : body.holder;
    const Route route = RouteToHolder(call.board, holder, arrival.hops);
    if (route.kind != RouteKind::kLocal) {
      this->FollowRoute(route, arrival, body.flow, body.number, call.out);
      return;
    }
    this->ShardOf(body.flow).With(
        [&](NodeShard& shard) { handle(shard, body); });
  }

  /** Checks the token; a packet with a bad one is counted, and its sender told
   * in no more bytes than it sent. */
  Result<FlowToken> Verify(const ShardCall& call,
                           const Arrival& arrival,
                           FlowId flow,
                           RequestNumber number,
                           const Blob& token) {
    Result<FlowToken> checked =
        CheckToken(call.board, arrival.path.service, flow, token);
    if (checked)
      return checked;
    const ResultCode code = checked.error().code;
    NoteDrop(code, "token", call.out);
    const std::string reply =
        Encode(Verdict{flow, number, static_cast<uint16_t>(code), {}, {}});
    if (reply.size() <= arrival.bytes.size())
      SendToCaller(arrival.path, reply, call.out);
    return checked;
  }

  void FollowRoute(const Route& route,
                   const Arrival& arrival,
                   FlowId flow,
                   RequestNumber number,
                   Output& out) {
    if (route.kind == RouteKind::kRefuse) {
      SendVerdict(arrival.path, flow, number, route.code, out);
      return;
    }
    const Relay relay{arrival.path.caller, arrival.path.service,
                      arrival.path.fabric, MakeBlob(arrival.bytes),
                      static_cast<uint8_t>(arrival.hops + 1)};
    out.datagrams.push_back({Lane::kPeer, route.peer_address, Encode(relay)});
  }

  void OnRelay(TimePoint now,
               std::string_view bytes,
               const Header& header,
               RandomEngine& random,
               Output& out) {
    const Result<Relay> relay = Decode<Relay>(bytes, header);
    if (!relay) {
      NoteDrop(relay.error().code, "peer", out);
      return;
    }
    const CallerPath path{relay.value().caller, relay.value().service,
                          relay.value().fabric};
    // A sender that does not count its relays is taken to have made one.
    const int hops = std::max<int>(1, relay.value().hops);
    this->OnCallerPacket(now, path, View(relay.value().packet), hops, random,
                         out);
  }

  void OnIntent(TimePoint now,
                const Endpoint& from,
                std::string_view bytes,
                const Header& header,
                Output& out) {
    const Result<Intent> intent = Decode<Intent>(bytes, header);
    if (!intent) {
      NoteDrop(intent.error().code, "peer", out);
      return;
    }
    const Intent& message = intent.value();
    const auto left = std::min(Milliseconds(message.left_ms),
                               this->settings.requests.deadline_limit);
    const TimePoint forget_at = now + left + kClosureMargin;
    const bool granted =
        this->WitnessOf(message.flow).With([&](WitnessTable& witness) {
          return witness.Announce(message.flow, message.owner, message.number,
                                  forget_at);
        });
    const IntentReply reply{message.flow, message.number, granted,
                            this->settings.incarnation};
    out.datagrams.push_back({Lane::kPeer, from, Encode(reply)});
  }

  void OnIntentReply(TimePoint now,
                     std::string_view bytes,
                     const Header& header,
                     RandomEngine& random,
                     Output& out) {
    const Result<IntentReply> reply = Decode<IntentReply>(bytes, header);
    if (!reply) {
      NoteDrop(reply.error().code, "peer", out);
      return;
    }
    const auto view = this->Beliefs();
    const ShardCall call{now, *view, random, out};
    this->ShardOf(reply.value().flow).With([&](NodeShard& shard) {
      shard.OnIntentReply(call, reply.value());
    });
  }

  template <class Message>
  void ForRun(TimePoint now,
              std::string_view bytes,
              const Header& header,
              void (NodeShard::*handle)(const ShardCall&, const Message&),
              RandomEngine& random,
              Output& out) {
    const Result<Message> message = Decode<Message>(bytes, header);
    if (!message) {
      NoteDrop(message.error().code, "backend", out);
      return;
    }
    const uint8_t index = NodeShard::IndexOf(message.value().run);
    if (index >= this->shards.size()) {
      NoteDrop(ResultCode::kUnknownRun, "backend", out);
      return;
    }
    const auto view = this->Beliefs();
    const ShardCall call{now, *view, random, out};
    this->shards[index].With(
        [&](NodeShard& shard) { (shard.*handle)(call, message.value()); });
  }

  /** Planned changes begin by the clock, so placement is synchronized now and
   * then, and at once after news. */
  void SyncPlacement(TimePoint now) {
    const bool due = this->control.TakeDocumentsChanged();
    const auto view = this->Beliefs();
    // Planned changes begin at a time, not with a document.
    const bool may_begin = !view->config.value->changes.empty() &&
                           now >= this->next_placement_sync;
    if (!due && !may_begin)
      return;
    this->next_placement_sync = now + kPlacementSync;
    this->placement.Sync(*view->vms.value, *view->config.value, now);
  }

  const Settings& settings;
  ControlPlane<Mutex> control;
  Placement placement;
  std::deque<Guarded<NodeShard, Mutex>> shards;
  std::deque<Guarded<WitnessTable, Mutex>>
      witnesses;  ///< By flow, as the shards.
  TimePoint
      next_placement_sync;  ///< Only the thread that calls Tick touches it.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_NODE_BASE_H_
