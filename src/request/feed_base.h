/** @file feed_base.h Relays feeds of events from backend servers to the callers
 * that follow them. */

#ifndef CUMINVANE_REQUEST_FEED_BASE_H_
#define CUMINVANE_REQUEST_FEED_BASE_H_

#include <string_view>

#include "decision/drop_func.h"
#include "request/caller_packet_func.h"
#include "request/reply_func.h"

namespace cuminvane {

/**
 * Relays feeds between callers and backend servers. It keeps no state, so
 * any balancer can relay any feed: every event from the backend server contains
 * the caller's path and the position in the feed.
 *
 * @tparam Placement Chooses backend servers for feeds.
 */
template <class Placement>
class FeedRelay {
 public:
  /** @param placement Chooses backend servers; must outlive this object. */
  explicit FeedRelay(Placement& placement) : placement(placement) {}

  /** Handles a caller that starts to follow a feed or renews its lease: sends a
   * subscription to a backend server. */
  void OnFollow(const HandlerContext& context, const CallerPacket& packet) {
    const Result<FeedFollow> follow =
        Decode<FeedFollow>(packet.bytes, packet.header);
    if (!follow) {
      ReportDrop(follow.error().code, "follow", context.out);
      return;
    }
    const FeedFollow& message = follow.value();
    const Result<FlowToken> token = VerifyToken(context, packet, message.flow,
                                                message.number, message.token);
    if (!token)
      return;
    const VmInstance preferred{token.value().backend,
                               token.value().backend_incarnation};
    const Result<BackendChoice> target = this->placement.ChooseForFeed(
        token.value().service, preferred, message.flow, message.attempt,
        context.now);
    if (!target) {
      ReportDrop(target.error().code, "follow", context.out);
      return;
    }
    const Route route{RouteKind::kLocal,
                      ResultCode::kOk,
                      target.value().vm,
                      {},
                      target.value().reason};
    LogRoute("follow", message.flow, message.number, route, context.out);
    const Subscribe subscribe{
        packet.path,
        message.flow,
        message.number,
        message.position,
        ToUnixMicroseconds(context.now + kFeedLeaseDuration),
        message.topic};
    context.out.datagrams.push_back(
        {Channel::kBackend, target.value().address, Encode(subscribe)});
  }

  /** Handles a caller that stops following a feed: cancels the subscription at
   * the backend server named in the token. */
  void OnUnfollow(const HandlerContext& context, const CallerPacket& packet) {
    const Result<FeedUnfollow> unfollow =
        Decode<FeedUnfollow>(packet.bytes, packet.header);
    if (!unfollow) {
      ReportDrop(unfollow.error().code, "follow", context.out);
      return;
    }
    const FeedUnfollow& message = unfollow.value();
    const Result<FlowToken> token = VerifyToken(context, packet, message.flow,
                                                message.number, message.token);
    if (!token)
      return;
    // A feed may have moved to a backend server other than the one in the
    // token; that subscription ends when its lease expires.
    const Endpoint backend = this->placement.AddressOf(token.value().backend);
    context.out.datagrams.push_back(
        {Channel::kBackend, backend,
         Encode(Unsubscribe{message.flow, message.number})});
  }

  /** Forwards an event from a backend server to the caller. */
  static void OnPublishedEvent(std::string_view bytes,
                               const DatagramHeader& header,
                               Output& out) {
    const Result<PublishedEvent> event = Decode<PublishedEvent>(bytes, header);
    if (!event) {
      ReportDrop(event.error().code, "backend", out);
      return;
    }
    const PublishedEvent& message = event.value();
    const FeedEvent forwarded{message.flow, message.number, message.position,
                              message.previous, message.payload};
    SendToCaller(message.path, Encode(forwarded), out);
  }

  /** Forwards a backend server's confirmation of a subscription to the caller.
   */
  static void OnSubscribed(std::string_view bytes,
                           const DatagramHeader& header,
                           Output& out) {
    const Result<Subscribed> subscribed = Decode<Subscribed>(bytes, header);
    if (!subscribed) {
      ReportDrop(subscribed.error().code, "backend", out);
      return;
    }
    const Subscribed& message = subscribed.value();
    SendToCaller(message.path,
                 Encode(FeedFollowed{message.flow, message.number}), out);
  }

 private:
  /** Lease of a subscription. Callers renew it much more often; if the lease
   * expires, the backend server ends the feed. */
  static constexpr Seconds kFeedLeaseDuration{30};

  Placement& placement;  ///< Chooses backend servers.
};

}  // namespace cuminvane

#endif  // CUMINVANE_REQUEST_FEED_BASE_H_
