/** @file load_role.cc The process of a caller: generates a load of many flows
 * or sends a single request. */

#include "standin/load_role.h"

#include <asio.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>

#include "caller/caller_base.h"
#include "document/config_func.h"
#include "shell/clock_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "standin/work_func.h"

namespace cuminvane {
namespace {

/** Longest wait for a datagram in one step of the loop. */
constexpr Milliseconds kTickInterval{2};
/** Flows are opened during this first share of the load's duration. */
constexpr double kOpenPhaseShare = 0.4;
/** Time after which the opening of a flow is given up. */
constexpr Seconds kOpenTimeout{10};

/** Connects a Caller to its UDP socket. */
class CallerProcess {
 public:
  explicit CallerProcess(uint64_t seed)
      : random(seed), caller(this->random), socket(this->context) {}

  Result<void> Open() {
    BOOST_OUTCOME_TRY(opened, OpenUdp(this->context, Endpoint{0, 0}));
    this->socket = std::move(opened);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  /** Handles received datagrams and due timers, then waits for the next
   * datagram for at most kTickInterval. */
  void PollOnce() {
    Endpoint from;
    while (const auto bytes = Receive(this->socket, this->buffer, from))
      this->caller.OnPacket(ReadClock(), *bytes, this->out);
    this->caller.Tick(ReadClock(), this->out);
    this->SendDatagrams();
    this->socket.async_wait(UdpSocket::wait_read,
                            [](const asio::error_code&) {});
    this->context.restart();
    this->context.run_one_for(kTickInterval);
    asio::error_code ignored;
    this->socket.cancel(ignored);
    this->context.restart();
    this->context.poll();
  }

  /** Sends the pending datagrams in `out`. */
  void SendDatagrams() {
    for (const CallerDatagram& datagram : this->out.datagrams)
      SendTo(this->socket, datagram.service, datagram.bytes);
    this->out.datagrams.clear();
  }

  std::vector<CallerEvent> TakeEvents() {
    return std::exchange(this->out.events, {});
  }

  RandomEngine random;
  Caller caller;
  CallerOutput out;  ///< Datagrams and events produced by `caller`.

 private:
  asio::io_context context;
  UdpSocket socket;
  ReceiveBuffer buffer{};
};

/** @return The name of the outcome in the record file. */
const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kNone:
      return "error";
  }
  return "";
}

/** @return The name of the result in the record file. */
const char* NameOf(AnswerCheck check) {
  switch (check) {
    case AnswerCheck::kWhole:
      return "whole";
    case AnswerCheck::kIncomplete:
      return "incomplete";
    case AnswerCheck::kMixed:
      return "mixed";
    case AnswerCheck::kWrongService:
      return "wrong_service";
  }
  return "";
}

/** Statistics of the feed of a flow. */
struct FeedStatistics {
  uint64_t events = 0;    ///< Number of events received.
  int64_t position = 0;   ///< Position of the last event, in microseconds.
  int64_t period_us = 0;  ///< Distance of the first two events. All later
                          ///< distances must be equal.
  uint64_t gaps = 0;      ///< Number of differing distances, which lost or
                          ///< duplicated events cause.
  TimePoint last_at;      ///< When the last event was received.
  Microseconds longest_silence{0};  ///< Longest time between two events.
};

/** One flow of the load. */
struct LoadFlow {
  size_t mix = 0;  ///< Index in LoadOptions::mixes.
  FlowHandle handle;
  FlowId id;                   ///< Set once the flow is open.
  int unsent_requests = 0;     ///< Scheduled requests not yet sent.
  int open_requests = 0;       ///< Requests in progress.
  bool follow_up = false;      ///< Whether the follow-up request that tests a
                               ///< flow without answer was sent.
  bool last_answered = false;  ///< Whether the request that ended last was
                               ///< answered.
  FeedStatistics feed;
};

/** A request of the load in progress. */
struct LoadRequest {
  size_t flow = 0;  ///< Index of the flow.
  WorkOrder order;
};

/** A scheduled opening of a flow or sending of a request. */
struct ScheduledAction {
  TimePoint at;
  size_t flow = 0;          ///< Index of the flow.
  bool opens_flow = false;  ///< Opens the flow if true, else sends a request.

  bool operator>(const ScheduledAction& other) const {
    return this->at > other.at;
  }
};

/** Runs all mixes from one socket, so that all flows share one source address
 * and port. */
class Load {
 public:
  explicit Load(const LoadOptions& options)
      : options(options),
        process(options.seed),
        record(options.record_path, std::ios::app) {}

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->process.Open());
    this->ScheduleActions(ReadClock());
    while (!this->scheduled_actions.empty() || !this->requests.empty()) {
      this->RunDueActions(ReadClock());
      this->process.PollOnce();
      this->ProcessEvents();
    }
    this->PrintSummary();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

 private:
  /** Schedules the opening of each flow at a random time in the first
   * kOpenPhaseShare of the duration, and its requests at random times after
   * it. */
  void ScheduleActions(TimePoint begin) {
    const auto duration = std::chrono::duration<double>(this->options.duration);
    for (size_t mix = 0; mix < this->options.mixes.size(); ++mix) {
      for (int number = 0; number < this->options.mixes[mix].flows; ++number) {
        const size_t flow = this->flows.size();
        LoadFlow planned;
        planned.mix = mix;
        planned.unsent_requests = this->options.mixes[mix].requests;
        this->flows.push_back(planned);
        std::uniform_real_distribution<double> open_share(0, kOpenPhaseShare);
        const double open = open_share(this->process.random);
        this->scheduled_actions.push(
            {begin + ShareOf(duration, open), flow, true});
        std::uniform_real_distribution<double> request_share(open, 1);
        for (int request = 0; request < this->options.mixes[mix].requests;
             ++request)
          this->scheduled_actions.push(
              {begin + ShareOf(duration, request_share(this->process.random)),
               flow, false});
      }
    }
  }

  /** @return The given share (0 to 1) of the duration. */
  static Microseconds ShareOf(std::chrono::duration<double> duration,
                              double share) {
    return std::chrono::duration_cast<Microseconds>(duration * share);
  }

  void RunDueActions(TimePoint now) {
    while (!this->scheduled_actions.empty() &&
           this->scheduled_actions.top().at <= now) {
      const ScheduledAction action = this->scheduled_actions.top();
      this->scheduled_actions.pop();
      LoadFlow& flow = this->flows[action.flow];
      if (action.opens_flow) {
        flow.handle = this->process.caller.OpenFlow(
            now, this->options.mixes[flow.mix].address, now + kOpenTimeout,
            this->process.out);
        this->flow_index_by_handle[flow.handle] = action.flow;
        if (this->options.mixes[flow.mix].follows)
          this->process.caller.FollowFeed(
              now, flow.handle, this->options.mixes[flow.mix].service, 0);
      } else {
        --flow.unsent_requests;
        this->SendRequest(now, action.flow);
      }
    }
    this->process.SendDatagrams();
  }

  /** Sends a request on a flow. Its slot time is exponentially distributed with
   * the mean LoadMix::busy. */
  void SendRequest(TimePoint now, size_t index) {
    LoadFlow& flow = this->flows[index];
    const LoadMix& mix = this->options.mixes[flow.mix];
    std::exponential_distribution<double> busy(1.0);
    // Limits the slot time, as a multiple of its mean.
    constexpr double kMaxBusyMeans = 4;
    WorkOrder order;
    order.tag = std::to_string(this->options.seed) + "-" +
                std::to_string(++this->requests_sent);
    order.service = mix.service;
    order.parts = mix.parts;
    order.busy = std::chrono::duration_cast<Microseconds>(
        mix.busy * std::min(busy(this->process.random), kMaxBusyMeans));
    const RequestKey key = this->process.caller.Send(
        now, flow.handle, ClassIdOf(mix.work_class), now + mix.deadline,
        FormatOrder(order), this->process.out);
    ++flow.open_requests;
    this->requests[key] = {index, order};
  }

  void ProcessEvents() {
    for (const CallerEvent& event : this->process.TakeEvents()) {
      const size_t index = this->flow_index_by_handle.at(event.flow_handle);
      if (event.kind == CallerEvent::Kind::kFlowOpened)
        this->flows[index].id = event.flow;
      if (event.kind == CallerEvent::Kind::kFeedEvent)
        CountFeedEvent(event.position, this->flows[index].feed);
      if (event.kind == CallerEvent::Kind::kRequestFinished)
        this->OnFinished(event, index);
    }
    this->process.SendDatagrams();
  }

  static void CountFeedEvent(int64_t position, FeedStatistics& feed) {
    const TimePoint now = ReadClock();
    ++feed.events;
    if (feed.events == 2)
      feed.period_us = position - feed.position;
    if (feed.events > 2 && position - feed.position != feed.period_us)
      ++feed.gaps;
    if (feed.events > 1)
      feed.longest_silence =
          std::max<Microseconds>(feed.longest_silence, now - feed.last_at);
    feed.position = position;
    feed.last_at = now;
  }

  void RecordFeed(const LoadFlow& flow) {
    if (!this->options.mixes[flow.mix].follows)
      return;
    this->record << "event=feed flow=" << flow.id.value
                 << " events=" << flow.feed.events << " gaps=" << flow.feed.gaps
                 << " longest_silence_us=" << flow.feed.longest_silence.count()
                 << "\n";
  }

  /** Records the outcome of a request and, after the last request of a flow,
   * the outcome of the flow. */
  void OnFinished(const CallerEvent& event, size_t index) {
    const LoadRequest request = this->requests.at(event.request);
    this->requests.erase(event.request);
    LoadFlow& flow = this->flows[index];
    const LoadMix& mix = this->options.mixes[flow.mix];
    const Outcome outcome = OutcomeOf(event.code);
    const bool answered = outcome == Outcome::kAnswered;
    this->record << "event=request tag=" << request.order.tag
                 << " class=" << mix.work_class << " service=" << mix.service
                 << " idempotent=" << (mix.idempotent ? "yes" : "no")
                 << " flow=" << event.flow.value
                 << " number=" << event.number.value
                 << " at=" << ToUnixMicroseconds(ReadClock())
                 << " latency_us=" << event.latency.count()
                 << " attempts=" << event.attempts
                 << " code=" << ToString(event.code)
                 << " outcome=" << NameOf(outcome) << " check="
                 << (answered ? NameOf(CheckAnswer(request.order, event.answer))
                              : "none")
                 << "\n";
    --flow.open_requests;
    flow.last_answered = answered;
    ++this->request_counts[event.code];
    if (flow.unsent_requests > 0 || flow.open_requests > 0)
      return;
    // A flow whose last request got no answer may still work, so one follow-up
    // request is sent before the flow counts as broken.
    if (!answered && !flow.follow_up) {
      flow.follow_up = true;
      this->SendRequest(ReadClock(), index);
      return;
    }
    this->record << "event=flow flow=" << event.flow.value
                 << " class=" << mix.work_class << "\n";
    if (!answered)
      this->record << "event=flow_broken flow=" << event.flow.value
                   << " class=" << mix.work_class << "\n";
  }

  /** Records the feeds and prints the number of flows and of requests by
   * result. */
  void PrintSummary() {
    for (const LoadFlow& flow : this->flows)
      this->RecordFeed(flow);
    std::cout << "flows=" << this->flows.size()
              << " requests=" << this->requests_sent;
    for (const auto& [code, count] : this->request_counts)
      std::cout << " " << ToString(code) << "=" << count;
    std::cout << "\n";
  }

  LoadOptions options;
  CallerProcess process;
  std::ofstream record;
  std::vector<LoadFlow> flows;
  std::map<FlowHandle, size_t> flow_index_by_handle;
  std::map<RequestKey, LoadRequest> requests;  ///< Requests in progress.
  std::priority_queue<ScheduledAction,
                      std::vector<ScheduledAction>,
                      std::greater<>>
      scheduled_actions;
  std::map<ResultCode, uint64_t> request_counts;  ///< Ended requests by result.
  uint64_t requests_sent = 0;  ///< Serves as the number in tags too.
};

/** Sets one value of a mix. @return False if the key is unknown or the value
 * invalid. */
bool SetMixValue(LoadMix& mix,
                 const std::string& key,
                 const std::string& value) {
  const auto number = [&value](auto set) {
    int parsed = 0;
    const char* const last = value.data() + value.size();
    const auto [end, error] = std::from_chars(value.data(), last, parsed);
    if (error != std::errc{} || end != last || parsed < 0)
      return false;
    set(parsed);
    return true;
  };
  if (key == "service") {
    mix.service = value;
    return true;
  }
  if (key == "class") {
    mix.work_class = value;
    return true;
  }
  if (key == "idempotent") {
    mix.idempotent = value == "yes";
    return value == "yes" || value == "no";
  }
  if (key == "follows") {
    mix.follows = value == "yes";
    return value == "yes" || value == "no";
  }
  if (key == "address") {
    mix.address = ParseEndpoint(value).value_or(Endpoint{});
    return mix.address != Endpoint{};
  }
  if (key == "flows")
    return number([&mix](int parsed) { mix.flows = parsed; });
  if (key == "requests")
    return number([&mix](int parsed) { mix.requests = parsed; });
  if (key == "parts")
    return number(
        [&mix](int parsed) { mix.parts = static_cast<uint32_t>(parsed); });
  if (key == "busy_ms")
    return number([&mix](int parsed) { mix.busy = Milliseconds(parsed); });
  if (key == "deadline_ms")
    return number([&mix](int parsed) { mix.deadline = Milliseconds(parsed); });
  return false;
}

}  // namespace

Result<LoadMix> ParseMix(const std::string& text) {
  LoadMix mix;
  std::istringstream pairs(text);
  std::string pair;
  while (std::getline(pairs, pair, ';')) {
    const size_t equals = pair.find('=');
    const bool accepted =
        equals != std::string::npos &&
        SetMixValue(mix, pair.substr(0, equals), pair.substr(equals + 1));
    if (!accepted)
      return Error{ResultCode::kUsage,
                   "--mix: " + pair +
                       " is not a known key=value pair with a valid value"};
  }
  if (mix.address == Endpoint{} || mix.work_class.empty() ||
      mix.service.empty())
    return Error{ResultCode::kUsage,
                 "--mix: service, address and class are required"};
  return mix;
}

ResultCode RunLoad(const LoadOptions& options) {
  const Result<void> ended = Load(options).Run();
  return ended ? ResultCode::kOk : ReportError(ended.error());
}

ResultCode CallOnce(const SingleCall& call) {
  CallerProcess process(std::random_device{}());
  const Result<void> opened = process.Open();
  if (!opened)
    return ReportError(opened.error());
  const TimePoint now = ReadClock();
  const TimePoint deadline = now + call.deadline;
  const FlowHandle flow =
      process.caller.OpenFlow(now, call.service, deadline, process.out);
  process.caller.Send(now, flow, ClassIdOf(call.work_class), deadline,
                      call.text, process.out);
  while (true) {
    process.PollOnce();
    for (const CallerEvent& event : process.TakeEvents()) {
      if (event.kind != CallerEvent::Kind::kRequestFinished)
        continue;
      std::cout << event.answer << (event.answer.empty() ? "" : "\n");
      const std::string message = std::string("the request ended as ") +
                                  ToString(event.code) + ": " +
                                  NameOf(OutcomeOf(event.code));
      return event.code == ResultCode::kOk ? ResultCode::kOk
                                           : ReportError({event.code, message});
    }
  }
}

}  // namespace cuminvane
