/** @file caller_model.cc The emulated callers. */

#include "emulate/caller_model.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cuminvane::emulate {
namespace {

/** Copies of an opening packet after the first, and when an attempt ends. */
constexpr std::array<Milliseconds, 3> kCopies = {
    Milliseconds(200), Milliseconds(400), Milliseconds(800)};
constexpr int kOpenings = 3;
constexpr uint16_t kFirstPort = 1024;
/** Requests of callers at different addresses have different numbers. */
constexpr int kIdShift = 24;

}  // namespace

CallerModel::CallerModel(uint32_t net,
                         const std::vector<WorkKind>& kinds,
                         TimePoint now)
    : net(net),
      kinds(kinds),
      next_ask(kinds.size(), now),
      next_user(kinds.size(), 0),
      next_id(uint64_t{net} << kIdShift | 1) {
  for (size_t kind = 0; kind < kinds.size(); ++kind) {
    for (int user = 0; user < kinds[kind].users; ++user)
      this->users.push_back({kind, std::nullopt, {}});
  }
}

ModelPacket CallerModel::Head(const Flow& flow) const {
  ModelPacket head;
  head.key = flow.key;
  head.tag = flow.tag;
  head.sequence = flow.out.End();
  head.acknowledged = flow.in.Next();
  return head;
}

void CallerModel::Tick(TimePoint now,
                       double load,
                       RandomEngine& random,
                       std::vector<ModelPacket>& out) {
  for (size_t kind = 0; kind < this->kinds.size() && load > 0; ++kind) {
    while (this->next_ask[kind] <= now) {
      this->Ask(now, kind);
      const double mean_us = 1e6 / (this->kinds[kind].per_s * load);
      this->next_ask[kind] += Microseconds(
          1 + static_cast<int64_t>(
                  std::exponential_distribution<double>(1 / mean_us)(random)));
    }
  }
  for (User& user : this->users) {
    if (user.flow && user.flow->busy) {
      const RequestRecord& record = this->records[user.flow->record];
      if (record.asked_at + this->kinds[record.kind].deadline <= now) {
        this->EndRequest(now, user, RequestEnd::kDeadline);
        this->CloseFlow(user, out);
      }
    }
    if (user.flow && !user.flow->open && user.flow->next_copy_at <= now) {
      if (user.flow->copies == kOpenings)
        this->OnCut(now, user, RequestEnd::kCut);
      else
        this->SendOpening(now, *user.flow, out);
    }
    this->Begin(now, user, random, out);
    if (user.flow && user.flow->open && user.flow->busy && !user.flow->asked)
      this->WriteRequest(now, *user.flow, random);
    if (user.flow && user.flow->open)
      user.flow->out.Tick(now, this->Head(*user.flow), out);
  }
}

void CallerModel::Ask(TimePoint now, size_t kind) {
  size_t first = 0;
  for (size_t before = 0; before < kind; ++before)
    first += static_cast<size_t>(this->kinds[before].users);
  const auto count = static_cast<size_t>(this->kinds[kind].users);
  // The next user that is free; where all are busy, the request waits.
  size_t chosen = first + this->next_user[kind];
  for (size_t step = 0; step < count; ++step) {
    const size_t user = first + (this->next_user[kind] + step) % count;
    const bool free = this->users[user].queue.empty() &&
                      !(this->users[user].flow && this->users[user].flow->busy);
    if (!free)
      continue;
    chosen = user;
    break;
  }
  this->next_user[kind] = (chosen - first + 1) % count;
  RequestRecord record;
  record.kind = kind;
  record.asked_at = now;
  this->records.push_back(record);
  this->users[chosen].queue.push_back(this->records.size() - 1);
}

void CallerModel::Begin(TimePoint now,
                        User& user,
                        RandomEngine& random,
                        std::vector<ModelPacket>& out) {
  std::erase_if(user.queue, [&](size_t index) {
    RequestRecord& record = this->records[index];
    const bool late =
        record.asked_at + this->kinds[record.kind].deadline <= now;
    if (late) {
      record.end = RequestEnd::kDeadline;
      record.ended_at = now;
    }
    return late;
  });
  if (user.queue.empty() || (user.flow && user.flow->busy))
    return;
  if (!user.flow) {
    this->OpenFlow(now, user, random);
    this->SendOpening(now, *user.flow, out);
  }
  Flow& flow = *user.flow;
  flow.busy = true;
  flow.asked = false;
  flow.record = user.queue.front();
  user.queue.erase(user.queue.begin());
}

void CallerModel::OpenFlow(TimePoint now, User& user, RandomEngine& random) {
  Flow flow;
  if (this->next_port < kFirstPort)
    this->next_port = kFirstPort;
  flow.key = {{this->net, this->next_port++}, this->kinds[user.kind].address};
  flow.start = static_cast<uint32_t>(random());
  flow.out = Sender(flow.start + 1);
  flow.next_copy_at = now;
  this->by_port[flow.key.caller.port] =
      static_cast<size_t>(&user - this->users.data());
  user.flow = std::move(flow);
}

void CallerModel::SendOpening(TimePoint now,
                              Flow& flow,
                              std::vector<ModelPacket>& out) {
  ModelPacket opening;
  opening.key = flow.key;
  opening.opens = true;
  opening.sequence = flow.start;
  opening.acknowledged = static_cast<uint32_t>(flow.copies);
  out.push_back(opening);
  flow.next_copy_at = now + kCopies.at(static_cast<size_t>(flow.copies));
  ++flow.copies;
}

void CallerModel::WriteRequest(TimePoint now,
                               Flow& flow,
                               RandomEngine& random) {
  RequestRecord& record = this->records[flow.record];
  const WorkKind& kind = this->kinds[record.kind];
  ModelRequest request;
  request.id = this->next_id++;
  record.id = request.id;
  record.attempts.push_back(request.id);
  // Uniform between half and three halves of the mean.
  const double factor =
      std::uniform_real_distribution<double>(0.5, 1.5)(random);
  request.work = std::chrono::duration_cast<Microseconds>(kind.work * factor);
  record.work = request.work;
  request.answer_bytes = kind.answer_bytes;
  flow.asked = true;
  flow.out.Write(now, FormatRequest(request));
}

void CallerModel::OnPacket(TimePoint now,
                           const ModelPacket& packet,
                           std::vector<ModelPacket>& out) {
  const auto known = this->by_port.find(packet.key.caller.port);
  if (known == this->by_port.end())
    return;
  User& user = this->users[known->second];
  if (!user.flow || user.flow->key != packet.key)
    return;
  Flow& flow = *user.flow;
  if (packet.resets) {
    if (flow.open)
      this->resets.push_back(flow.key);
    this->OnCut(now, user, RequestEnd::kCut);
    return;
  }
  if (packet.opens && !flow.open) {
    flow.open = true;
    flow.in = Receiver(packet.sequence + 1);
    flow.tag = packet.tag;
    out.push_back(this->Head(flow));
    return;
  }
  if (!flow.open || packet.opens)
    return;
  flow.tag = packet.tag;
  flow.out.OnAcknowledged(now, packet.acknowledged);
  const std::string bytes = flow.in.Take(packet.sequence, packet.payload);
  if (!packet.payload.empty())
    out.push_back(this->Head(flow));
  flow.unread += bytes;
  if (!bytes.empty())
    this->OnAnswer(now, user, flow.unread, out);
  if (packet.closes && user.flow)
    this->OnCut(now, user, RequestEnd::kCut);
}

void CallerModel::OnAnswer(TimePoint now,
                           User& user,
                           const std::string& text,
                           std::vector<ModelPacket>& out) {
  const size_t head = text.find('\n');
  if (head == std::string::npos)
    return;
  Flow& flow = *user.flow;
  RequestRecord& record = this->records[flow.record];
  const ModelAnswer answer = ParseAnswer(text);
  const bool own = flow.busy && answer.id == record.id;
  if (!own) {
    record.mixed = true;
    return;
  }
  const uint32_t body = answer.kind == AnswerKind::kDone
                            ? this->kinds[record.kind].answer_bytes
                            : 0;
  if (text.size() < head + 1 + body)
    return;
  record.mixed = record.mixed || !answer.whole;
  flow.unread.clear();
  const bool fresh = this->kinds[record.kind].fresh;
  this->EndRequest(now, user,
                   answer.kind == AnswerKind::kDone   ? RequestEnd::kDone
                   : answer.kind == AnswerKind::kShed ? RequestEnd::kShed
                                                      : RequestEnd::kCut);
  if (fresh)
    this->CloseFlow(user, out);
}

void CallerModel::OnCut(TimePoint now, User& user, RequestEnd end) {
  if (user.flow->busy)
    this->EndRequest(now, user, end);
  user.flow.reset();
}

void CallerModel::EndRequest(TimePoint now, User& user, RequestEnd end) {
  Flow& flow = *user.flow;
  flow.busy = false;
  RequestRecord& record = this->records[flow.record];
  const WorkKind& kind = this->kinds[record.kind];
  const bool not_run = !flow.asked || end == RequestEnd::kShed;
  const bool retries =
      end != RequestEnd::kDone && end != RequestEnd::kDeadline &&
      (kind.idempotent || not_run) &&
      record.attempts.size() <= static_cast<size_t>(kind.retries);
  if (retries) {
    if (!flow.asked)
      record.attempts.push_back(0);
    user.queue.insert(user.queue.begin(), flow.record);
    return;
  }
  record.end = end;
  record.ended_at = now;
}

void CallerModel::CloseFlow(User& user, std::vector<ModelPacket>& out) {
  if (!user.flow)
    return;
  if (user.flow->open) {
    ModelPacket last = this->Head(*user.flow);
    last.closes = true;
    out.push_back(std::move(last));
  }
  user.flow.reset();
}

}  // namespace cuminvane::emulate
