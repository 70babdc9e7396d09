/** @file daemon_base.h The balancer's process: the threads, servers and signal
 * handlers around the decision core. */

#ifndef CUMINVANE_SHELL_DAEMON_BASE_H_
#define CUMINVANE_SHELL_DAEMON_BASE_H_

#include <asio.hpp>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "control/control_func.h"
#include "document/settings_type.h"
#include "shell/document_monitor_base.h"
#include "shell/fetch_server_base.h"
#include "shell/metrics_base.h"
#include "shell/page_base.h"
#include "shell/worker_base.h"

namespace cuminvane {

/** The balancer's process: runs the workers, the store watcher, the control and
 * page servers, reloads of the settings and the graceful shutdown. */
class Daemon : public std::enable_shared_from_this<Daemon> {
 public:
  /**
   * @param settings Validated settings with the incarnation set.
   * @param settings_path Settings file; read again on a reload.
   * @param settings_text Content of the settings file, used to detect changes.
   */
  Daemon(Settings settings,
         std::string settings_path,
         std::string settings_text);

  /**
   * Runs until a graceful shutdown is complete.
   * @return kOk after a shutdown by SIGTERM, SIGINT or a planned change;
   * kSocketFailure if a socket or server could not be opened at the start.
   */
  Result<void> Run();

 private:
  Result<void> Open();
  void ScheduleTick();
  void OnTick();
  void StartPackets();
  /** Logs when the documents become, or are no longer, too old. */
  void CheckDocumentAge(TimePoint now);
  void WaitForReload();
  void Reload(const char* reason);
  void BeginStop(const char* reason);
  bool IsStopComplete(TimePoint now) const;
  void FinishStop();
  Result<void> OpenPageServers();
  HttpPage MakeMetricsPage(const std::string& path);
  void RunWatcher();
  Result<void> ApplyDocument(DocumentKind kind, const std::string& text);
  ControlReply HandleControlCall(const std::string& method,
                                 const std::string& params);
  std::string StatusJson();
  ControlReply ChangeLogLevel(const std::string& params);

  const Settings settings;  ///< Read at the start; unchanged by reloads.
  const std::string settings_path;  ///< Settings file, read again on a reload.
  std::string settings_text;  ///< Content of the file when it was read last.
  DocumentMonitor document_monitor;
  TimePoint next_settings_check;  ///< Next time the file is read for changes.
  DaemonBalancer balancer;
  std::vector<std::shared_ptr<Worker>> workers;     ///< The first runs timers.
  std::unique_ptr<asio::steady_timer> tick_timer;   ///< Triggers OnTick.
  std::unique_ptr<asio::signal_set> stop_signals;   ///< SIGTERM and SIGINT.
  std::unique_ptr<asio::signal_set> reload_signal;  ///< SIGHUP.
  std::unique_ptr<ControlServer> control;  ///< Null without a control port.
  std::vector<std::unique_ptr<PageServer>> page_servers;
  std::shared_ptr<FetchServer> fetch_server;  ///< Sends documents to peers.
  std::vector<std::thread> threads;  ///< Other workers and the store watcher.
  std::atomic<bool> stop_watcher = false;     ///< Ends the store watcher.
  std::atomic<bool> packets_started = false;  ///< Packets are being read.
  bool stopping = false;  ///< A graceful shutdown is in progress.
  TimePoint linger_until =
      kNever;  ///< Earliest end of the shutdown; kNever if none is in progress.
  TimePoint grace_until =
      kNever;  ///< Latest end of the shutdown; kNever if none is in progress.
  PacketOutput tick_out;  ///< Output of a tick, reused to keep its memory.
};

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_DAEMON_BASE_H_
