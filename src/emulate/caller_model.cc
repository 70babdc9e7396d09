/** @file caller_model.cc The emulated callers. */

#include "emulate/caller_model.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cuminvane::emulate {
namespace {

/** Time for which a caller waits for the reply after the first, second and
 * third transmission of an opening packet. */
constexpr std::array<Milliseconds, 3> kOpeningTimeouts = {
    Milliseconds(200), Milliseconds(400), Milliseconds(800)};
/** An attempt fails if the flow isn't open after this many opening packets. */
constexpr int kMaxOpeningTransmissions = 3;
/** Callers use the ports from this one on, and start again here after 65535. */
constexpr uint16_t kFirstPort = 1024;
/** The bits of a request id above these hold the caller's address, which makes
 * ids unique among all data centres. */
constexpr int kIdShift = 24;

}  // namespace

CallerModel::CallerModel(uint32_t caller_ip,
                         const std::vector<RequestKind>& kinds,
                         TimePoint now)
    : caller_ip(caller_ip),
      kinds(kinds),
      next_issue_at(kinds.size(), now),
      next_user(kinds.size(), 0),
      next_id(uint64_t{caller_ip} << kIdShift | 1) {
  for (size_t kind = 0; kind < kinds.size(); ++kind) {
    for (int user = 0; user < kinds[kind].users; ++user)
      this->users.push_back({kind, std::nullopt, {}});
  }
}

ModelPacket CallerModel::MakeHeader(const Flow& flow) const {
  ModelPacket header;
  header.key = flow.key;
  header.tag = flow.tag;
  header.sequence = flow.sender.EndSequence();
  header.acknowledged = flow.receiver.NextSequence();
  return header;
}

void CallerModel::Tick(TimePoint now,
                       double load,
                       RandomEngine& random,
                       std::vector<ModelPacket>& out) {
  for (size_t kind = 0; kind < this->kinds.size() && load > 0; ++kind) {
    while (this->next_issue_at[kind] <= now) {
      this->IssueRequest(now, kind);
      const double mean_us = 1e6 / (this->kinds[kind].requests_per_s * load);
      this->next_issue_at[kind] += Microseconds(
          1 + static_cast<int64_t>(
                  std::exponential_distribution<double>(1 / mean_us)(random)));
    }
  }
  for (User& user : this->users) {
    if (user.flow && user.flow->has_request) {
      const RequestRecord& record = this->records[user.flow->record_index];
      if (record.issued_at + this->kinds[record.kind].deadline <= now) {
        this->EndAttempt(now, user, RequestEnd::kDeadline);
        this->CloseFlow(user, out);
      }
    }
    if (user.flow && !user.flow->open && user.flow->next_opening_at <= now) {
      if (user.flow->opening_transmissions == kMaxOpeningTransmissions)
        this->OnFlowLost(now, user, RequestEnd::kFailed);
      else
        this->SendOpening(now, *user.flow, out);
    }
    if (user.flow && user.flow->open && !user.flow->has_request &&
        user.flow->closes_at <= now)
      this->CloseFlow(user, out);
    this->StartNextRequest(now, user, random, out);
    if (user.flow && user.flow->open && user.flow->has_request &&
        !user.flow->request_written)
      this->WriteRequest(now, *user.flow, random);
    if (user.flow && user.flow->open)
      user.flow->sender.Tick(now, this->MakeHeader(*user.flow), out);
  }
}

void CallerModel::IssueRequest(TimePoint now, size_t kind) {
  size_t first = 0;
  for (size_t before = 0; before < kind; ++before)
    first += static_cast<size_t>(this->kinds[before].users);
  const auto count = static_cast<size_t>(this->kinds[kind].users);
  // Idle users get requests in turn. If all users are busy, the request is
  // queued at the user whose turn it is.
  size_t chosen = first + this->next_user[kind];
  for (size_t step = 0; step < count; ++step) {
    const size_t user = first + (this->next_user[kind] + step) % count;
    const bool is_idle =
        this->users[user].queue.empty() &&
        !(this->users[user].flow && this->users[user].flow->has_request);
    if (!is_idle)
      continue;
    chosen = user;
    break;
  }
  this->next_user[kind] = (chosen - first + 1) % count;
  RequestRecord record;
  record.kind = kind;
  record.issued_at = now;
  this->records.push_back(record);
  this->users[chosen].queue.push_back(this->records.size() - 1);
}

void CallerModel::StartNextRequest(TimePoint now,
                                   User& user,
                                   RandomEngine& random,
                                   std::vector<ModelPacket>& out) {
  std::erase_if(user.queue, [&](size_t index) {
    RequestRecord& record = this->records[index];
    const bool is_expired =
        record.issued_at + this->kinds[record.kind].deadline <= now;
    if (is_expired) {
      record.end = RequestEnd::kDeadline;
      record.ended_at = now;
    }
    return is_expired;
  });
  if (user.queue.empty() || (user.flow && user.flow->has_request))
    return;
  if (!user.flow) {
    this->OpenFlow(now, user, random);
    this->SendOpening(now, *user.flow, out);
  }
  Flow& flow = *user.flow;
  flow.has_request = true;
  flow.request_written = false;
  flow.record_index = user.queue.front();
  user.queue.erase(user.queue.begin());
}

void CallerModel::OpenFlow(TimePoint now, User& user, RandomEngine& random) {
  Flow flow;
  if (this->next_port < kFirstPort)
    this->next_port = kFirstPort;
  flow.key = {{this->caller_ip, this->next_port++},
              this->kinds[user.kind].address};
  flow.initial_sequence = static_cast<uint32_t>(random());
  flow.sender = Sender(flow.initial_sequence + 1);
  flow.next_opening_at = now;
  const Milliseconds life = this->kinds[user.kind].flow_life;
  if (life > Milliseconds(0))
    flow.closes_at =
        now + Microseconds(static_cast<int64_t>(DrawIndex(
                  random, static_cast<size_t>(Microseconds(life).count()))));
  this->user_by_port[flow.key.caller.port] =
      static_cast<size_t>(&user - this->users.data());
  user.flow = std::move(flow);
}

void CallerModel::SendOpening(TimePoint now,
                              Flow& flow,
                              std::vector<ModelPacket>& out) {
  ModelPacket opening;
  opening.key = flow.key;
  opening.opens = true;
  opening.sequence = flow.initial_sequence;
  opening.acknowledged = static_cast<uint32_t>(flow.opening_transmissions);
  out.push_back(opening);
  flow.next_opening_at =
      now +
      kOpeningTimeouts.at(static_cast<size_t>(flow.opening_transmissions));
  ++flow.opening_transmissions;
}

void CallerModel::WriteRequest(TimePoint now,
                               Flow& flow,
                               RandomEngine& random) {
  RequestRecord& record = this->records[flow.record_index];
  const RequestKind& kind = this->kinds[record.kind];
  ModelRequest request;
  request.id = this->next_id++;
  record.id = request.id;
  record.attempts.push_back(request.id);
  // The work of a request is uniformly distributed between 0.5 and 1.5 times
  // the mean.
  const double factor =
      std::uniform_real_distribution<double>(0.5, 1.5)(random);
  request.work =
      std::chrono::duration_cast<Microseconds>(kind.mean_work * factor);
  record.work = request.work;
  request.answer_bytes = kind.answer_bytes;
  flow.request_written = true;
  flow.sender.Write(now, FormatRequest(request));
}

void CallerModel::OnPacket(TimePoint now,
                           const ModelPacket& packet,
                           std::vector<ModelPacket>& out) {
  const auto known = this->user_by_port.find(packet.key.caller.port);
  if (known == this->user_by_port.end())
    return;
  User& user = this->users[known->second];
  if (!user.flow || user.flow->key != packet.key)
    return;
  Flow& flow = *user.flow;
  if (packet.resets) {
    if (flow.open)
      this->resets.push_back(flow.key);
    this->OnFlowLost(now, user, RequestEnd::kFailed);
    return;
  }
  if (packet.opens && !flow.open) {
    flow.open = true;
    flow.receiver = Receiver(packet.sequence + 1);
    flow.tag = packet.tag;
    out.push_back(this->MakeHeader(flow));
    return;
  }
  if (!flow.open || packet.opens)
    return;
  flow.tag = packet.tag;
  flow.sender.OnAcknowledged(now, packet.acknowledged);
  const std::string bytes =
      flow.receiver.Reassemble(packet.sequence, packet.payload);
  if (!packet.payload.empty())
    out.push_back(this->MakeHeader(flow));
  flow.unparsed += bytes;
  if (!bytes.empty())
    this->OnAnswer(now, user, flow.unparsed, out);
  if (packet.closes && user.flow)
    this->OnFlowLost(now, user, RequestEnd::kFailed);
}

void CallerModel::OnAnswer(TimePoint now,
                           User& user,
                           const std::string& text,
                           std::vector<ModelPacket>& out) {
  const size_t line_end = text.find('\n');
  if (line_end == std::string::npos)
    return;
  Flow& flow = *user.flow;
  RequestRecord& record = this->records[flow.record_index];
  const ModelAnswer answer = ParseAnswer(text);
  const bool is_own_answer = flow.has_request && answer.id == record.id;
  if (!is_own_answer) {
    record.has_wrong_answer = true;
    return;
  }
  const uint32_t body = answer.kind == AnswerKind::kDone
                            ? this->kinds[record.kind].answer_bytes
                            : 0;
  if (text.size() < line_end + 1 + body)
    return;
  record.has_wrong_answer = record.has_wrong_answer || !answer.is_intact;
  flow.unparsed.clear();
  const bool flow_per_request = this->kinds[record.kind].flow_per_request;
  this->EndAttempt(now, user,
                   answer.kind == AnswerKind::kDone   ? RequestEnd::kDone
                   : answer.kind == AnswerKind::kShed ? RequestEnd::kShed
                                                      : RequestEnd::kFailed);
  if (flow_per_request)
    this->CloseFlow(user, out);
}

void CallerModel::OnFlowLost(TimePoint now, User& user, RequestEnd end) {
  if (user.flow->has_request)
    this->EndAttempt(now, user, end);
  user.flow.reset();
}

void CallerModel::EndAttempt(TimePoint now, User& user, RequestEnd end) {
  Flow& flow = *user.flow;
  flow.has_request = false;
  RequestRecord& record = this->records[flow.record_index];
  const RequestKind& kind = this->kinds[record.kind];
  // A request that may have run is retried only if it is idempotent.
  const bool not_run = !flow.request_written || end == RequestEnd::kShed;
  const bool will_retry =
      end != RequestEnd::kDone && end != RequestEnd::kDeadline &&
      (kind.idempotent || not_run) &&
      record.attempts.size() <= static_cast<size_t>(kind.max_retries);
  if (will_retry) {
    if (!flow.request_written)
      record.attempts.push_back(0);
    user.queue.insert(user.queue.begin(), flow.record_index);
    return;
  }
  record.end = end;
  record.ended_at = now;
}

void CallerModel::CloseFlow(User& user, std::vector<ModelPacket>& out) {
  if (!user.flow)
    return;
  if (user.flow->open) {
    ModelPacket closing = this->MakeHeader(*user.flow);
    closing.closes = true;
    out.push_back(std::move(closing));
  }
  user.flow.reset();
}

}  // namespace cuminvane::emulate
