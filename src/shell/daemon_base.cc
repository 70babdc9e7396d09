/** @file daemon_base.cc The balancer's process. */

#include "shell/daemon_base.h"

#include <csignal>
#include <random>

#include "core/decision_func.h"
#include "shell/clock_func.h"
#include "shell/log_func.h"
#include "shell/platform_base.h"
#include "shell/status_func.h"

namespace cuminvane {
namespace {

/** Time between two ticks of the core. */
constexpr Milliseconds kTickInterval{5};
/** Datagrams read before other sockets get their turn. */
constexpr int kReadsPerTurn = 64;
/** Pause of a member that does not watch the platform, before it looks again
 * whether it should. */
constexpr Milliseconds kWatchPause{200};

/** Where the worker's thread listens, lane by lane. */
std::array<Endpoint, kLanes> Addresses(const Settings& settings) {
  return {settings.fabric, settings.backend, settings.peer};
}

}  // namespace

Worker::Worker(DaemonNode& node, uint64_t seed)
    : node(node),
      context(1),
      sockets{UdpSocket(context), UdpSocket(context), UdpSocket(context)},
      random(seed) {}

Result<void> Worker::Open(const Settings& settings, Worker* other) {
  const std::array<Endpoint, kLanes> addresses = Addresses(settings);
  for (size_t lane = 0; lane < kLanes; ++lane) {
    Result<UdpSocket> socket =
        other == nullptr ? OpenUdp(this->context, addresses[lane])
                         : ShareUdp(this->context, other->sockets[lane]);
    if (!socket)
      return socket.error();
    this->sockets[lane] = std::move(socket).value();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Worker::Start() {
  this->WaitFor(Lane::kFabric);
  this->WaitFor(Lane::kBackend);
  this->WaitFor(Lane::kPeer);
}

void Worker::Carry(TimePoint now, Output& output) {
  for (const Datagram& datagram : output.datagrams) {
    if (!SendTo(this->SocketOf(datagram.lane), datagram.to, datagram.bytes))
      this->metrics.CountUnsent(datagram.lane);
  }
  for (const Decision& decision : output.decisions)
    LogDecision(now, decision);
  this->metrics.Count(output);
  output.Clear();
}

void Worker::Close() {
  asio::post(this->context, [self = this->shared_from_this()] {
    for (UdpSocket& socket : self->sockets) {
      asio::error_code ignored;
      socket.close(ignored);
    }
  });
}

void Worker::WaitFor(Lane lane) {
  this->SocketOf(lane).async_wait(
      UdpSocket::wait_read,
      [self = this->shared_from_this(), lane](const asio::error_code& failure) {
        if (failure)
          return;
        self->ReadAll(lane);
        self->WaitFor(lane);
      });
}

void Worker::ReadAll(Lane lane) {
  Endpoint from;
  for (int read = 0; read < kReadsPerTurn; ++read) {
    const std::optional<std::string_view> bytes =
        Receive(this->SocketOf(lane), this->buffer, from);
    if (!bytes)
      return;
    this->metrics.CountReceived(lane, bytes->size());
    const TimePoint now = ReadClock();
    switch (lane) {
      case Lane::kFabric:
        this->node.OnFabric(now, from, *bytes, this->random, this->out);
        break;
      case Lane::kBackend:
        this->node.OnBackend(now, *bytes, this->random, this->out);
        break;
      case Lane::kPeer:
        this->node.OnPeer(now, from, *bytes, this->random, this->out);
        break;
    }
    this->Carry(now, this->out);
  }
}

Daemon::Daemon(Settings settings)
    : settings(std::move(settings)), node(this->settings) {}

Result<void> Daemon::Run() {
  BOOST_OUTCOME_TRY(this->Open());
  for (size_t index = 1; index < this->workers.size(); ++index)
    this->threads.emplace_back(
        [worker = this->workers[index]] { worker->Context().run(); });
  for (const DocumentKind kind : {DocumentKind::kConfig, DocumentKind::kVmList})
    this->threads.emplace_back([this, kind] { this->Watch(kind); });
  LogLine(Topic::kProcess, Severity::kInfo,
          "event=started vm=" + ToString(this->settings.id) +
              " incarnation=" + ToString(this->settings.incarnation) +
              " fabric=" + ToString(this->settings.fabric));
  this->workers.front()->Context().run();
  for (std::thread& thread : this->threads)
    thread.join();
  this->control.reset();
  LogLine(Topic::kProcess, Severity::kInfo, "event=stopped");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Daemon::Open() {
  std::random_device entropy;
  for (int index = 0; index < this->settings.threads; ++index) {
    const uint64_t seed = uint64_t{entropy()} << 32 | entropy();
    auto worker = std::make_shared<Worker>(this->node, seed);
    BOOST_OUTCOME_TRY(worker->Open(
        this->settings, index == 0 ? nullptr : this->workers.front().get()));
    this->workers.push_back(std::move(worker));
  }
  const auto self = this->shared_from_this();
  this->control = StartControlServer(
      this->settings.control_port, this->settings.control_threads,
      {"status", "set_log_level"},
      [self](const std::string& method, const std::string& params) {
        return self->Answer(method, params);
      });
  if (this->control == nullptr)
    return Error{ResultCode::kSocketFailure,
                 "control port " + std::to_string(this->settings.control_port)};
  asio::io_context& context = this->workers.front()->Context();
  this->timer = std::make_unique<asio::steady_timer>(context);
  this->signals = std::make_unique<asio::signal_set>(context, SIGTERM, SIGINT);
  this->signals->async_wait([self](const asio::error_code& failure, int) {
    if (!failure)
      self->BeginStop("signal");
  });
  for (const auto& worker : this->workers)
    worker->Start();
  this->ScheduleTick();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Daemon::ScheduleTick() {
  this->timer->expires_after(kTickInterval);
  this->timer->async_wait(
      [self = this->shared_from_this()](const asio::error_code& failure) {
        if (!failure)
          self->OnTick();
      });
}

void Daemon::OnTick() {
  Worker& worker = *this->workers.front();
  const TimePoint now = ReadClock();
  this->node.Tick(now, worker.Random(), this->tick_out);
  worker.Carry(now, this->tick_out);
  if (!this->stopping && this->node.IsStopPlanned(now))
    this->BeginStop("planned_change");
  if (this->stopping && this->IsStopComplete(now)) {
    this->Finish();
    return;
  }
  this->ScheduleTick();
}

void Daemon::BeginStop(const char* reason) {
  if (this->stopping)
    return;
  this->stopping = true;
  const TimePoint now = ReadClock();
  this->linger_until = now + this->settings.stop_linger;
  this->grace_until = now + this->settings.stop_grace;
  LogLine(Topic::kProcess, Severity::kInfo,
          std::string("event=stopping reason=") + reason);
  Output out;
  this->node.BeginStop(now, out);
  this->workers.front()->Carry(now, out);
}

bool Daemon::IsStopComplete(TimePoint now) const {
  if (now >= this->grace_until)
    return true;
  return now >= this->linger_until && this->node.Load().unfinished == 0;
}

void Daemon::Finish() {
  const TimePoint now = ReadClock();
  Output out;
  this->node.EndStop(now, out);
  this->workers.front()->Carry(now, out);
  LogLine(Topic::kProcess, Severity::kInfo,
          "event=finished unfinished=" +
              std::to_string(this->node.Load().unfinished));
  this->closing = true;
  this->signals->cancel();
  for (const auto& worker : this->workers)
    worker->Close();
}

void Daemon::Watch(DocumentKind kind) {
  std::random_device entropy;
  RandomEngine random(entropy());
  Milliseconds pause = this->settings.platform_retry;
  while (!this->closing) {
    if (this->node.IsReady() && !this->node.ShouldWatch(kind)) {
      std::this_thread::sleep_for(kWatchPause);
      continue;
    }
    this->ReadOnce(kind, random, pause);
  }
}

void Daemon::ReadOnce(DocumentKind kind,
                      RandomEngine& random,
                      Milliseconds& pause) {
  const auto view = this->node.Beliefs();
  const ConfigVersion known = kind == DocumentKind::kConfig
                                  ? view->config.value->version
                                  : view->vms.value->version;
  const Result<PlatformAnswer> answer =
      WatchPlatform(this->settings.platform, ToString(kind), known.value,
                    this->settings.watch, this->closing);
  if (this->closing)
    return;
  if (!answer) {
    LogLine(Topic::kConfig, Severity::kWarning,
            std::string("event=platform_unreachable document=") +
                ToString(kind) + " reason=\"" + answer.error().message + "\"");
    std::this_thread::sleep_for(pause);
    pause = std::min(pause * 2, this->settings.watch);
    return;
  }
  pause = this->settings.platform_retry;
  if (!answer.value().changed)
    return;
  const TimePoint now = ReadClock();
  Output out;
  const Result<void> taken =
      this->node.OfferDocument(now, kind, answer.value().text, random, out);
  // Sending belongs to a worker's thread.
  const auto worker = this->workers.front();
  asio::post(worker->Context(),
             [worker, now, carried = std::move(out)]() mutable {
               worker->Carry(now, carried);
             });
  if (taken)
    return;
  LogLine(Topic::kConfig, Severity::kError,
          std::string("event=document_refused document=") + ToString(kind) +
              " code=" + ToString(taken.error().code) + " problems=\"" +
              taken.error().message + "\"");
  // The platform would answer at once with the same document again.
  std::this_thread::sleep_for(this->settings.platform_retry);
}

ControlReply Daemon::Answer(const std::string& method,
                            const std::string& params) {
  if (method == "status")
    return {true, this->StatusJson()};
  return this->ChangeLogLevel(params);
}

std::string Daemon::StatusJson() {
  Metrics merged;
  for (const auto& worker : this->workers)
    merged.Merge(worker->Counts());
  return FormatStatus(*this->node.Beliefs(), this->node.Load(),
                      this->node.Backends(), merged, this->settings,
                      ReadClock());
}

ControlReply Daemon::ChangeLogLevel(const std::string& params) {
  Json::Value json;
  if (!ParseJson(params, json) || !json["topic"].isString() ||
      !json["severity"].isString())
    return {false, "topic and severity are needed"};
  const std::optional<Topic> topic = ParseTopic(json["topic"].asString());
  const std::optional<Severity> severity =
      ParseSeverity(json["severity"].asString());
  if (!topic || !severity)
    return {false, "no such topic or severity"};
  SetLogLevel(*topic, *severity);
  LogLine(Topic::kProcess, Severity::kInfo,
          std::string("event=log_level topic_changed=") + ToString(*topic) +
              " least=" + ToString(*severity));
  return {true, "{\"ok\":true}"};
}

}  // namespace cuminvane
