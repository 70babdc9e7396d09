/** @file backend_model.cc The emulated backend server. */

#include "emulate/backend_model.h"

#include <algorithm>

#include "packet/packet_func.h"

namespace cuminvane::emulate {
namespace {

/** Times that data is sent again before its flow is given up. */
constexpr int kMostRepeats = 8;

}  // namespace

BackendModel::BackendModel(const BackendOptions& options, TimePoint now)
    : options(options), cold_until(now + options.cold) {}

bool BackendModel::Holds(const FlowKey& key) const {
  const auto flow = this->flows.find(key);
  return flow != this->flows.end() && flow->second.open;
}

ModelPacket BackendModel::Head(const FlowKey& key, const Flow& flow) const {
  ModelPacket head;
  head.key = key;
  head.from_caller = false;
  head.answers = true;
  head.sequence = flow.out.End();
  head.acknowledged = flow.in.Next();
  head.tag = flow.tag;
  return head;
}

void BackendModel::OnPacket(TimePoint now,
                            const ModelPacket& packet,
                            RandomEngine& random,
                            std::vector<ModelPacket>& out) {
  if (packet.opens) {
    if (!this->flows.contains(packet.key))
      this->opens.push_back({packet.key, now});
    this->OnOpening(packet, random, out);
    return;
  }
  const auto known = this->flows.find(packet.key);
  const bool fits = known != this->flows.end() &&
                    (known->second.open ||
                     packet.acknowledged == known->second.own_start + 1);
  if (!fits) {
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
    ModelPacket last = this->Head(packet.key, known->second);
    last.closes = packet.closes;
    if (packet.closes)
      out.push_back(std::move(last));
    this->flows.erase(known);
    return;
  }
  this->OnData(now, packet, known->second, random, out);
}

void BackendModel::OnOpening(const ModelPacket& packet,
                             RandomEngine& random,
                             std::vector<ModelPacket>& out) {
  const auto [place, is_new] = this->flows.try_emplace(packet.key);
  Flow& flow = place->second;
  if (is_new) {
    flow.own_start = static_cast<uint32_t>(random());
    flow.in = Receiver(packet.sequence + 1);
    flow.out = Sender(flow.own_start + 1);
  }
  flow.tag = packet.tag;
  ModelPacket reply = this->Head(packet.key, flow);
  reply.opens = true;
  reply.sequence = flow.own_start;
  out.push_back(std::move(reply));
}

void BackendModel::OnData(TimePoint now,
                          const ModelPacket& packet,
                          Flow& flow,
                          RandomEngine& random,
                          std::vector<ModelPacket>& out) {
  flow.out.OnAcknowledged(now, packet.acknowledged);
  if (packet.payload.empty())
    return;
  flow.unread += flow.in.Take(packet.sequence, packet.payload);
  for (size_t end = flow.unread.find('\n'); end != std::string::npos;
       end = flow.unread.find('\n')) {
    const ModelRequest request = ParseRequest(flow.unread.substr(0, end + 1));
    flow.unread.erase(0, end + 1);
    if (request.id != 0)
      this->OnRequest(now, packet.key, request, random);
  }
  out.push_back(this->Head(packet.key, flow));
}

void BackendModel::OnRequest(TimePoint now,
                             const FlowKey& key,
                             const ModelRequest& request,
                             RandomEngine& random) {
  const bool fails =
      std::uniform_real_distribution<double>(0, 1)(random) < this->failing;
  if (fails) {
    this->Answer(now, key, FormatAnswer(request, AnswerKind::kFailed));
  } else if (static_cast<int>(this->waiting.size()) >= this->options.queue) {
    this->Answer(now, key, FormatAnswer(request, AnswerKind::kShed));
  } else {
    this->waiting.push_back({key, request, kNever});
    this->StartJobs(now);
  }
}

void BackendModel::StartJobs(TimePoint now) {
  while (!this->waiting.empty() &&
         static_cast<int>(this->running.size()) < this->options.slots) {
    Job job = this->waiting.front();
    this->waiting.pop_front();
    double factor = this->slow;
    if (this->cold_until > now)
      factor *= this->options.cold_factor;
    const auto time =
        std::chrono::duration_cast<Microseconds>(job.request.work * factor);
    job.ends_at = now + time;
    this->busy += time;
    this->runs.push_back({job.request.id, now});
    this->running.push_back(job);
  }
}

void BackendModel::Answer(TimePoint now,
                          const FlowKey& key,
                          const std::string& text) {
  const auto flow = this->flows.find(key);
  if (flow == this->flows.end())
    return;
  flow->second.out.Write(now, text);
  flow->second.last = this->draining;
}

void BackendModel::Tick(TimePoint now, std::vector<ModelPacket>& out) {
  for (auto job = this->running.begin(); job != this->running.end();) {
    if (job->ends_at > now) {
      ++job;
      continue;
    }
    this->Answer(now, job->key, FormatAnswer(job->request, AnswerKind::kDone));
    job = this->running.erase(job);
  }
  this->StartJobs(now);
  for (auto& [key, flow] : this->flows) {
    if (flow.open)
      flow.out.Tick(now, this->Head(key, flow), out);
  }
  std::erase_if(this->flows, [&](const auto& item) {
    const Flow& flow = item.second;
    const bool done = flow.last && flow.out.IsIdle();
    if (done) {
      out.push_back(this->Head(item.first, flow));
      out.back().closes = true;
    }
    return done || flow.out.Repeats() > kMostRepeats;
  });
}

}  // namespace cuminvane::emulate
