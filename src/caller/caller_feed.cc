/** @file caller_feed.cc Feeds: renewals, ordering and gap detection.
 */

#include "caller/caller_base.h"

#include <algorithm>

#include "caller/caller_timing.h"

namespace cuminvane {
namespace {

/** Interval of feed renewals. A feed whose balancer or backend server fails
 * recovers within this time. */
constexpr Milliseconds kFeedRenewalInterval{4000};
/** Maximum number of out-of-order events kept for one feed. Further events are
 * dropped and requested again by the renewal. */
constexpr size_t kMaxOutOfOrderEvents = 256;

}  // namespace

void Caller::OnFeedEvent(TimePoint now,
                         const FeedEvent& event,
                         CallerOutput& out) {
  Feed* const feed = this->FindFeed(event.flow, event.number);
  if (feed == nullptr || event.position <= feed->position)
    return;
  Flow& flow = *this->FindFlow(event.flow);
  feed->unanswered_renewals = 0;
  const bool follows = feed->position == 0 || event.previous == feed->position;
  if (!follows) {
    if (feed->out_of_order.size() < kMaxOutOfOrderEvents)
      feed->out_of_order[event.previous] = {
          event.position, std::string(AsStringView(event.payload))};
    // The missing events may only be delayed. If they don't arrive in time, the
    // renewal requests them.
    feed->renew_at = std::min(feed->renew_at, now + kGapTimeout);
    this->ScheduleTimer(feed->renew_at, flow.handle);
    return;
  }
  this->DeliverFeedEvent(flow, *feed, event.position,
                         std::string(AsStringView(event.payload)), out);
  for (auto next = feed->out_of_order.find(feed->position);
       next != feed->out_of_order.end();
       next = feed->out_of_order.find(feed->position))
    this->DeliverFeedEvent(flow, *feed, next->second.position,
                           std::move(next->second.payload), out);
  feed->out_of_order.erase(feed->out_of_order.begin(),
                           feed->out_of_order.lower_bound(feed->position));
}

void Caller::DeliverFeedEvent(Flow& flow,
                              Feed& feed,
                              int64_t position,
                              std::string payload,
                              CallerOutput& out) {
  feed.position = position;
  CallerEvent event;
  event.kind = CallerEvent::Kind::kFeedEvent;
  event.flow_handle = flow.handle;
  event.request = feed.key;
  event.flow = flow.id;
  event.number = feed.number;
  event.position = position;
  event.answer = std::move(payload);
  out.events.push_back(std::move(event));
}

void Caller::OnFeedFollowed(TimePoint now, const FeedFollowed& followed) {
  Feed* const feed = this->FindFeed(followed.flow, followed.number);
  if (feed == nullptr)
    return;
  feed->unanswered_renewals = 0;
  feed->renew_at = now + kFeedRenewalInterval;
  this->ScheduleTimer(feed->renew_at, this->FindFlow(followed.flow)->handle);
}

void Caller::TickFeeds(TimePoint now, Flow& flow, CallerOutput& out) {
  // A feed can't be followed before the flow has an id.
  if (flow.id == FlowId{} && !flow.feeds.empty())
    this->ScheduleTimer(now + kInitialBackoff, flow.handle);
  if (flow.id == FlowId{})
    return;
  for (auto& [number, feed] : flow.feeds) {
    if (feed.renew_at > now)
      continue;
    const FeedFollow follow{
        flow.id,       MakeBlob(flow.token),     number,
        feed.position, feed.unanswered_renewals, MakeBlob(feed.topic)};
    out.datagrams.push_back({flow.service, Encode(follow)});
    // An unanswered renewal is retransmitted at a shorter interval than
    // kFeedRenewalInterval, because the path or the backend server may have
    // failed.
    ++feed.unanswered_renewals;
    feed.renew_at = now + kStatusQueryInterval;
    this->ScheduleTimer(feed.renew_at, flow.handle);
  }
}

Caller::Feed* Caller::FindFeed(FlowId id, RequestNumber number) {
  Flow* const flow = this->FindFlow(id);
  if (flow == nullptr)
    return nullptr;
  const auto feed = flow->feeds.find(number);
  return feed == flow->feeds.end() ? nullptr : &feed->second;
}

}  // namespace cuminvane
