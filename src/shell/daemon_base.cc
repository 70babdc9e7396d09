/** @file daemon_base.cc Implementation of the balancer's process. */

#include "shell/daemon_base.h"

#include <algorithm>
#include <csignal>
#include <random>

#include "base/ini_func.h"
#include "decision/decision_func.h"
#include "document/settings_func.h"
#include "shell/clock_func.h"
#include "shell/guard_func.h"
#include "shell/log_func.h"
#include "shell/program_func.h"
#include "shell/status_func.h"
#include "shell/watcher_base.h"

namespace cuminvane {
namespace {

/** Tick interval of the core; its shortest timers are several times longer. */
constexpr Milliseconds kTickInterval{5};
/** Tick interval of a balancer that serves only opaque flows. */
constexpr Milliseconds kPacketTickInterval{20};
/** Time without packets after which a stopping balancer is assumed unrouted. */
constexpr Milliseconds kQuietPeriod{400};
/** Interval of reading the settings file, which may change without a signal. */
constexpr Milliseconds kSettingsPollInterval{2000};
}  // namespace

Daemon::Daemon(Settings settings,
               std::string settings_path,
               std::string settings_text)
    : settings(std::move(settings)),
      settings_path(std::move(settings_path)),
      settings_text(std::move(settings_text)),
      balancer(this->settings) {}

Result<void> Daemon::Run() {
  BOOST_OUTCOME_TRY(this->Open());
  for (size_t index = 1; index < this->workers.size(); ++index)
    this->threads.emplace_back(
        [worker = this->workers[index]] { worker->Run(); });
  this->threads.emplace_back([this] { this->RunWatcher(); });
  LogLine(Topic::kProcess, Severity::kInfo,
          "event=started vm=" + ToString(this->settings.id) +
              " incarnation=" + ToString(this->settings.incarnation) +
              " fabric=" + ToString(this->settings.fabric) +
              " packets=" + ToString(this->settings.packets) +
              " peer=" + ToString(this->settings.peer) +
              " platform=" + ToString(this->settings.platform));
  this->workers.front()->Run();
  for (std::thread& thread : this->threads)
    thread.join();
  this->control.reset();
  this->fetch_server.reset();
  this->page_servers.clear();
  LogLine(Topic::kProcess, Severity::kInfo, "event=stopped");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Daemon::Open() {
  std::random_device entropy;
  for (int index = 0; index < this->settings.threads; ++index) {
    const uint64_t seed = uint64_t{entropy()} << 32 | entropy();
    auto worker = std::make_shared<Worker>(this->balancer, seed);
    BOOST_OUTCOME_TRY(worker->OpenSockets(
        this->settings, index == 0 ? nullptr : this->workers.front().get()));
    this->workers.push_back(std::move(worker));
  }
  const auto self = this->shared_from_this();
  if (this->settings.control_port != 0)
    this->control = StartControlServer(
        this->settings.control_port, this->settings.control_threads,
        {"status", "set_log_level"},
        [self](const std::string& method, const std::string& params) {
          return self->HandleControlCall(method, params);
        });
  if (this->settings.control_port != 0 && this->control == nullptr)
    return Error{ResultCode::kSocketFailure,
                 "can't listen on control port " +
                     std::to_string(this->settings.control_port)};
  BOOST_OUTCOME_TRY(this->OpenPageServers());
  asio::io_context& context = this->workers.front()->Context();
  this->fetch_server = std::make_shared<FetchServer>(
      context, this->settings.documents.BytesPerSecond(),
      [self](std::string_view request) {
        return self->balancer.GetTokenPlane().Control().AnswerFetch(request);
      });
  BOOST_OUTCOME_TRY(this->fetch_server->Listen(this->settings.peer));
  this->tick_timer = std::make_unique<asio::steady_timer>(context);
  this->stop_signals =
      std::make_unique<asio::signal_set>(context, SIGTERM, SIGINT);
  this->stop_signals->async_wait([self](const asio::error_code& failure, int) {
    if (!failure)
      self->BeginStop("signal");
  });
  this->reload_signal = std::make_unique<asio::signal_set>(context, SIGHUP);
  this->WaitForReload();
  for (const auto& worker : this->workers)
    worker->StartReading();
  this->ScheduleTick();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> Daemon::OpenPageServers() {
  const auto self = this->shared_from_this();
  if (this->settings.ready != Endpoint{}) {
    BOOST_OUTCOME_TRY(
        server,
        StartPageServer(this->settings.ready, [self](const std::string&) {
          return HttpPage{true, self->balancer.IsReady(), ""};
        }));
    this->page_servers.push_back(std::move(server));
  }
  if (this->settings.metrics != Endpoint{}) {
    BOOST_OUTCOME_TRY(server,
                      StartPageServer(this->settings.metrics,
                                      [self](const std::string& path) {
                                        return self->MakeMetricsPage(path);
                                      }));
    this->page_servers.push_back(std::move(server));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

HttpPage Daemon::MakeMetricsPage(const std::string& path) {
  if (path != "/metrics")
    return {false, true, ""};
  Metrics merged;
  for (const auto& worker : this->workers)
    merged.Merge(worker->GetMetrics());
  const TimePoint now = ReadClock();
  return {
      true, true,
      FormatMetrics(*this->balancer.GetTokenPlane().ReadBlackboard(),
                    this->balancer.GetPacketPlane().FlowCount(),
                    this->balancer.GetPacketPlane().Backends(),
                    this->balancer.GetPacketPlane().Evacuations(),
                    this->balancer.GetPacketPlane().LoadCounters(), merged,
                    now) +
          this->document_monitor.FormatMetrics(
              this->balancer.GetTokenPlane().Control().ReadSelfEvidence(now),
              now) +
          "cuminvane_unexpected_errors_total " +
          std::to_string(UnexpectedErrors()) + "\n"};
}

void Daemon::ScheduleTick() {
  this->tick_timer->expires_after(this->settings.fabric == Endpoint{}
                                      ? kPacketTickInterval
                                      : kTickInterval);
  this->tick_timer->async_wait(
      [self = this->shared_from_this()](const asio::error_code& failure) {
        if (!failure)
          self->OnTick();
      });
}

void Daemon::OnTick() {
  Worker& worker = *this->workers.front();
  const TimePoint now = ReadClock();
  RunGuarded("tick", [&] {
    this->balancer.Tick(now, worker.Random(), this->tick_out);
    worker.ApplyOutput(now, this->tick_out);
  });
  this->tick_out.Clear();
  if (now >= this->next_settings_check) {
    this->next_settings_check = now + kSettingsPollInterval;
    this->Reload("file_changed");
    this->CheckDocumentAge(now);
  }
  if (!this->packets_started && this->balancer.GetTokenPlane().IsReady())
    this->StartPackets();
  if (!this->stopping && this->balancer.GetTokenPlane().IsStopPlanned(now))
    this->BeginStop("planned_change");
  if (this->stopping && this->IsStopComplete(now)) {
    this->FinishStop();
    return;
  }
  this->ScheduleTick();
}

void Daemon::CheckDocumentAge(TimePoint now) {
  const SelfEvidence evidence =
      this->balancer.GetTokenPlane().Control().ReadSelfEvidence(now);
  const std::optional<std::string> change =
      this->document_monitor.OnEvidence(evidence, now);
  if (change)
    LogLine(Topic::kConfig,
            evidence.documents_fresh ? Severity::kInfo : Severity::kWarning,
            *change);
}

void Daemon::StartPackets() {
  this->packets_started = true;
  for (const auto& worker : this->workers)
    asio::post(worker->Context(), [worker] { worker->StartPackets(); });
}

void Daemon::WaitForReload() {
  this->reload_signal->async_wait(
      [self = this->shared_from_this()](const asio::error_code& failure, int) {
        if (failure)
          return;
        self->Reload("signal");
        self->WaitForReload();
      });
}

void Daemon::Reload(const char* reason) {
  const Result<std::string> text = ReadFile(this->settings_path);
  if (!text) {
    LogLine(Topic::kProcess, Severity::kError,
            std::string("event=reload_failed reason=") + reason +
                " code=" + ToString(text.error().code));
    return;
  }
  if (text.value() == this->settings_text)
    return;
  this->settings_text = text.value();
  const SettingsCheck check = CheckSettings(this->settings_path, text.value());
  if (!check.problems.empty()) {
    LogLine(Topic::kProcess, Severity::kError,
            std::string("event=reload_refused reason=") + reason +
                " problems=\"" + FormatProblems(check.problems) + "\"");
    return;
  }
  for (const Topic topic : kTopics)
    SetLogLevel(topic, check.settings.log_levels.min_severity.at(
                           static_cast<size_t>(topic)));
  this->balancer.GetTokenPlane().SetSeedPeers(check.settings.seed_peers);
  // A reload ignores changed listen addresses and limits; they need a restart.
  LogLine(Topic::kProcess, Severity::kInfo,
          std::string("event=reloaded reason=") + reason);
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
  PacketOutput out;
  this->balancer.GetTokenPlane().BeginStop(now, out.common);
  this->workers.front()->ApplyOutput(now, out);
}

bool Daemon::IsStopComplete(TimePoint now) const {
  if (now >= this->grace_until)
    return true;
  const bool quiet = std::ranges::all_of(
      this->workers, [now](const std::shared_ptr<Worker>& worker) {
        return worker->LastPacketAt() + kQuietPeriod <= now;
      });
  return now >= this->linger_until && quiet &&
         this->balancer.GetTokenPlane().Load().unfinished == 0;
}

void Daemon::FinishStop() {
  const TimePoint now = ReadClock();
  PacketOutput out;
  this->balancer.GetTokenPlane().EndStop(now, out.common);
  this->workers.front()->ApplyOutput(now, out);
  LogLine(Topic::kProcess, Severity::kInfo,
          "event=finished unfinished=" +
              std::to_string(this->balancer.GetTokenPlane().Load().unfinished));
  this->stop_watcher = true;
  this->stop_signals->cancel();
  this->reload_signal->cancel();
  this->fetch_server->Close();
  for (const auto& worker : this->workers)
    worker->CloseSockets();
}

void Daemon::RunWatcher() {
  WatcherHooks hooks;
  hooks.should_watch = [this] {
    return this->balancer.GetTokenPlane().ShouldWatchPlatform(ReadClock());
  };
  hooks.apply_document = [this](DocumentKind kind, const std::string& text) {
    return this->ApplyDocument(kind, text);
  };
  hooks.active_stamp = [this](DocumentKind kind) {
    return this->balancer.GetTokenPlane().Control().ActiveStamp(kind);
  };
  hooks.has_content = [this](DocumentKind kind, const std::string& text) {
    return this->balancer.GetTokenPlane().Control().ReadDocument(
        kind, [&](const auto& document) { return document.HasContent(text); });
  };
  hooks.active_sections = [this](DocumentKind kind) {
    return this->balancer.GetTokenPlane().Control().ReadDocument(
        kind, [](const auto& document) { return document.Sections(); });
  };
  hooks.report_ignored = [this](DocumentKind kind, size_t items) {
    this->document_monitor.SetIgnoredItems(kind, items);
  };
  hooks.confirm_documents = [this](TimePoint at) {
    this->balancer.GetTokenPlane().ConfirmDocuments(at);
  };
  StoreWatcher(this->settings, hooks, this->stop_watcher).Run();
}

Result<void> Daemon::ApplyDocument(DocumentKind kind, const std::string& text) {
  thread_local RandomEngine random(std::random_device{}());
  const TimePoint now = ReadClock();
  PacketOutput out;
  Result<void> accepted =
      this->balancer.OfferDocument(now, kind, text, random, out);
  // Only the worker's own thread may use its sockets.
  const auto worker = this->workers.front();
  asio::post(worker->Context(),
             [worker, now, output = std::move(out)]() mutable {
               worker->ApplyOutput(now, output);
             });
  if (!this->packets_started && this->balancer.GetTokenPlane().IsReady())
    this->StartPackets();
  return accepted;
}

ControlReply Daemon::HandleControlCall(const std::string& method,
                                       const std::string& params) {
  ControlReply reply{false, "unexpected error, see the log"};
  RunGuarded("control", [&] {
    reply = method == "status" ? ControlReply{true, this->StatusJson()}
                               : this->ChangeLogLevel(params);
  });
  return reply;
}

std::string Daemon::StatusJson() {
  Metrics merged;
  for (const auto& worker : this->workers)
    merged.Merge(worker->GetMetrics());
  return FormatStatus(*this->balancer.GetTokenPlane().ReadBlackboard(),
                      this->balancer.GetTokenPlane().Load(),
                      this->balancer.GetTokenPlane().Backends(),
                      this->balancer.GetPacketPlane().Backends(),
                      this->balancer.GetPacketPlane().Evacuations(), merged,
                      this->settings, ReadClock());
}

ControlReply Daemon::ChangeLogLevel(const std::string& params) {
  Json::Value json;
  if (!ParseJson(params, json) || !json["topic"].isString() ||
      !json["severity"].isString())
    return {false, "parameters topic and severity must be strings"};
  const std::optional<Topic> topic = ParseTopic(json["topic"].asString());
  const std::optional<Severity> severity =
      ParseSeverity(json["severity"].asString());
  if (!topic || !severity)
    return {false, "unknown topic or severity"};
  SetLogLevel(*topic, *severity);
  LogLine(Topic::kProcess, Severity::kInfo,
          std::string("event=log_level topic_changed=") + ToString(*topic) +
              " least=" + ToString(*severity));
  return {true, "{\"ok\":true}"};
}

}  // namespace cuminvane
