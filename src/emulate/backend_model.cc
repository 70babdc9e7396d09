/** @file backend_model.cc The emulated backend server. */

#include "emulate/backend_model.h"

#include <algorithm>

#include "packet/packet_func.h"

namespace cuminvane::emulate {
namespace {

/** A flow is removed if its oldest unacknowledged segment has been
 * retransmitted more often than this. */
constexpr int kMaxRetransmissions = 8;

}  // namespace

BackendModel::BackendModel(const BackendOptions& options, TimePoint now)
    : options(options), warm_up_until(now + options.warm_up) {}

bool BackendModel::HasOpenFlow(const FlowKey& key) const {
  const auto flow = this->flows.find(key);
  return flow != this->flows.end() && flow->second.open;
}

ModelPacket BackendModel::MakeHeader(const FlowKey& key,
                                     const Flow& flow) const {
  ModelPacket header;
  header.key = key;
  header.from_caller = false;
  header.acknowledges = true;
  header.sequence = flow.sender.EndSequence();
  header.acknowledged = flow.receiver.NextSequence();
  header.tag = flow.tag;
  return header;
}

void BackendModel::OnPacket(TimePoint now,
                            const ModelPacket& packet,
                            RandomEngine& random,
                            std::vector<ModelPacket>& out) {
  if (packet.opens) {
    if (!this->flows.contains(packet.key))
      this->accepted_flows.push_back({packet.key, now});
    if (this->listening)
      this->OnOpening(packet, random, out);
    return;
  }
  const auto known = this->flows.find(packet.key);
  const bool is_valid =
      known != this->flows.end() &&
      (known->second.open ||
       packet.acknowledged == known->second.initial_sequence + 1);
  if (!is_valid) {
    ModelPacket reset;
    reset.key = packet.key;
    reset.from_caller = false;
    reset.resets = true;
    reset.sequence = packet.acknowledged;
    out.push_back(std::move(reset));
    return;
  }
  known->second.open = true;
  known->second.tag = packet.tag;
  if (packet.resets || packet.closes) {
    ModelPacket closing = this->MakeHeader(packet.key, known->second);
    closing.closes = packet.closes;
    if (packet.closes)
      out.push_back(std::move(closing));
    this->flows.erase(known);
    return;
  }
  this->OnData(now, packet, known->second, random, out);
}

void BackendModel::OnOpening(const ModelPacket& packet,
                             RandomEngine& random,
                             std::vector<ModelPacket>& out) {
  const auto [entry, is_new] = this->flows.try_emplace(packet.key);
  Flow& flow = entry->second;
  if (is_new) {
    flow.initial_sequence = static_cast<uint32_t>(random());
    flow.receiver = Receiver(packet.sequence + 1);
    flow.sender = Sender(flow.initial_sequence + 1);
  }
  flow.tag = packet.tag;
  ModelPacket reply = this->MakeHeader(packet.key, flow);
  reply.opens = true;
  reply.sequence = flow.initial_sequence;
  out.push_back(std::move(reply));
}

void BackendModel::OnData(TimePoint now,
                          const ModelPacket& packet,
                          Flow& flow,
                          RandomEngine& random,
                          std::vector<ModelPacket>& out) {
  flow.sender.OnAcknowledged(now, packet.acknowledged);
  if (packet.payload.empty())
    return;
  flow.unparsed += flow.receiver.Reassemble(packet.sequence, packet.payload);
  for (size_t end = flow.unparsed.find('\n'); end != std::string::npos;
       end = flow.unparsed.find('\n')) {
    const ModelRequest request = ParseRequest(flow.unparsed.substr(0, end + 1));
    flow.unparsed.erase(0, end + 1);
    if (request.id != 0)
      this->OnRequest(now, packet.key, request, random);
  }
  out.push_back(this->MakeHeader(packet.key, flow));
}

void BackendModel::OnRequest(TimePoint now,
                             const FlowKey& key,
                             const ModelRequest& request,
                             RandomEngine& random) {
  const bool fails = std::uniform_real_distribution<double>(0, 1)(random) <
                     this->failure_share;
  if (fails) {
    this->QueueAnswer(now, key, FormatAnswer(request, AnswerKind::kFailed));
  } else if (static_cast<int>(this->waiting.size()) >=
             this->options.queue_limit) {
    ++this->sheds;
    this->QueueAnswer(now, key, FormatAnswer(request, AnswerKind::kShed));
  } else {
    this->waiting.push_back({key, request, kNever});
    this->StartQueuedRequests(now);
  }
}

void BackendModel::StartQueuedRequests(TimePoint now) {
  while (!this->waiting.empty() &&
         static_cast<int>(this->running.size()) < this->options.slots) {
    AcceptedRequest accepted = this->waiting.front();
    this->waiting.pop_front();
    double factor = this->slowdown / this->options.speed;
    if (this->warm_up_until > now)
      factor *= this->options.warm_up_factor;
    const auto time = std::chrono::duration_cast<Microseconds>(
        accepted.request.work * factor);
    accepted.ends_at = now + time;
    this->busy_time += time;
    this->runs.push_back({accepted.request.id, now});
    this->running.push_back(accepted);
  }
}

void BackendModel::QueueAnswer(TimePoint now,
                               const FlowKey& key,
                               const std::string& text) {
  const auto flow = this->flows.find(key);
  if (flow == this->flows.end())
    return;
  flow->second.sender.Write(now, text);
  flow->second.closes_after_answer = this->draining;
}

void BackendModel::Tick(TimePoint now, std::vector<ModelPacket>& out) {
  for (auto accepted = this->running.begin();
       accepted != this->running.end();) {
    if (accepted->ends_at > now) {
      ++accepted;
      continue;
    }
    this->QueueAnswer(now, accepted->key,
                      FormatAnswer(accepted->request, AnswerKind::kDone));
    accepted = this->running.erase(accepted);
  }
  this->StartQueuedRequests(now);
  for (auto& [key, flow] : this->flows) {
    if (flow.open)
      flow.sender.Tick(now, this->MakeHeader(key, flow), out);
  }
  std::erase_if(this->flows, [&](const auto& item) {
    const Flow& flow = item.second;
    const bool done = flow.closes_after_answer && flow.sender.IsIdle();
    if (done) {
      out.push_back(this->MakeHeader(item.first, flow));
      out.back().closes = true;
    }
    return done || flow.sender.Retransmissions() > kMaxRetransmissions;
  });
}

}  // namespace cuminvane::emulate
