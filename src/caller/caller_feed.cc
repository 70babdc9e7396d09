/** @file caller_feed.cc The caller follows feeds. */

#include "caller/caller_base.h"

#include <algorithm>

#include "caller/caller_timing.h"

namespace cuminvane {
namespace {

/** A feed's way to its caller is renewed this often, so that it heals within
 * that time. */
constexpr Milliseconds kFeedRenewal{4000};
constexpr size_t kMostEarlyEvents = 256;

}  // namespace

void Caller::OnFeedEvent(TimePoint now,
                         const FeedEvent& event,
                         CallerOutput& out) {
  Feed* const feed = this->FindFeed(event.flow, event.number);
  if (feed == nullptr || event.position <= feed->position)
    return;
  Flow& flow = *this->FindFlow(event.flow);
  feed->unanswered = 0;
  const bool follows = feed->position == 0 || event.previous == feed->position;
  if (!follows) {
    if (feed->early.size() < kMostEarlyEvents)
      feed->early[event.previous] = {event.position,
                                     std::string(AsStringView(event.payload))};
    // The missing ones may only be late; if not, they are asked for.
    feed->renew_at = std::min(feed->renew_at, now + kPartGap);
    this->Wake(feed->renew_at, flow.handle);
    return;
  }
  this->DeliverEvent(flow, *feed, event.position,
                     std::string(AsStringView(event.payload)), out);
  for (auto next = feed->early.find(feed->position); next != feed->early.end();
       next = feed->early.find(feed->position))
    this->DeliverEvent(flow, *feed, next->second.position,
                       std::move(next->second.payload), out);
  feed->early.erase(feed->early.begin(),
                    feed->early.lower_bound(feed->position));
}

void Caller::DeliverEvent(Flow& flow,
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

void Caller::OnFollowing(TimePoint now, const FeedFollowed& following) {
  Feed* const feed = this->FindFeed(following.flow, following.number);
  if (feed == nullptr)
    return;
  feed->unanswered = 0;
  feed->renew_at = now + kFeedRenewal;
  this->Wake(feed->renew_at, this->FindFlow(following.flow)->handle);
}

void Caller::TickFeeds(TimePoint now, Flow& flow, CallerOutput& out) {
  // Before the flow is open there is nothing to name it by.
  if (flow.id == FlowId{} && !flow.feeds.empty())
    this->Wake(now + kFirstBackoff, flow.handle);
  if (flow.id == FlowId{})
    return;
  for (auto& [number, feed] : flow.feeds) {
    if (feed.renew_at > now)
      continue;
    const FeedFollow follow{flow.id,         MakeBlob(flow.token),
                            number,          feed.position,
                            feed.unanswered, MakeBlob(feed.topic)};
    out.datagrams.push_back({flow.service, Encode(follow)});
    // Until it is answered it is sent again soon: the path or the server may
    // have failed.
    ++feed.unanswered;
    feed.renew_at = now + kStateInterval;
    this->Wake(feed.renew_at, flow.handle);
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
