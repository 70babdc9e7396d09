/** @file platform_role.cc The role `platform`: a stand-in for the key-value
 * store of the platform. It serves the files of a directory as items, which can
 * be read and watched by long polling over HTTP. SIGUSR1 restores the items
 * from an older copy. */

#include <microhttpd.h>

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>
#include <thread>

#include "base/endpoint_type.h"
#include "base/schema_func.h"
#include "base/time_type.h"
#include "shell/clock_func.h"
#include "shell/http_func.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "shell/status_func.h"
#include "standin/file_store_base.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

/** Interval of scans of the directory and of checks for watched changes. */
constexpr Milliseconds kPollInterval{20};
/** Upper bound of `wait_ms` of a watch. */
constexpr int64_t kMaxWaitMs = 30000;
constexpr unsigned kMaxConnections = 512;
/** Header of each answer: the number of restores, plus 1. */
constexpr const char* kEraHeader = "Store-Era";

/** State shared by the threads of the HTTP handlers and the scan. */
struct PlatformState {
  explicit PlatformState(const std::string& directory) : store(directory) {}

  FileStore store;
  std::atomic<bool> stopping = false;  ///< Ends waiting watches and the scan.
  std::atomic<uint64_t> http_requests = 0;  ///< Number received.
};

/** @return The query argument; empty if it is missing. */
std::string QueryArgument(MHD_Connection* connection, const char* name) {
  const char* const text =
      MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
  return text == nullptr ? "" : text;
}

MHD_Result SendReply(MHD_Connection* connection, const FileStoreReply& reply) {
  std::string text = WriteJson(reply.body);
  MHD_Response* const response = MHD_create_response_from_buffer(
      text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          "application/json");
  MHD_add_response_header(response, kEraHeader,
                          std::to_string(reply.era).c_str());
  const MHD_Result queued =
      MHD_queue_response(connection, reply.status, response);
  MHD_destroy_response(response);
  return queued;
}

/** Waits in the thread of the connection until an item has changed, `wait` has
 * passed or the process stops.
 * @return The answer; no value if a restore began meanwhile, which cuts the
 * watch. */
std::optional<FileStoreReply> WaitForChanges(const PlatformState& state,
                                             const std::string& prefix,
                                             uint64_t after,
                                             Milliseconds wait) {
  const auto wait_until = std::chrono::steady_clock::now() + wait;
  const FileStoreReply first = state.store.ReadChanges(prefix, after);
  FileStoreReply reply = first;
  while (reply.status == MHD_HTTP_OK && reply.body["events"].empty() &&
         !state.stopping && std::chrono::steady_clock::now() < wait_until) {
    std::this_thread::sleep_for(kPollInterval);
    reply = state.store.ReadChanges(prefix, after);
    if (reply.status != MHD_HTTP_OK || reply.era != first.era)
      return std::nullopt;
  }
  return reply;
}

MHD_Result OnHttpRequest(void* user,
                         MHD_Connection* connection,
                         const char* url,
                         const char* /*method*/,
                         const char* /*version*/,
                         const char* /*upload*/,
                         size_t* /*upload_size*/,
                         void** /*connection_state*/) {
  auto& state = *static_cast<PlatformState*>(user);
  ++state.http_requests;
  const std::string prefix = QueryArgument(connection, "prefix");
  const std::string after = QueryArgument(connection, "after");
  if (std::string_view(url) == "/kv-range")
    return SendReply(connection, state.store.ReadPage(prefix, after));
  if (std::string_view(url) != "/kv-watch")
    return ReplyText(connection, MHD_HTTP_NOT_FOUND, "");
  const int64_t wait_ms =
      ParseNumber<int64_t>(QueryArgument(connection, "wait_ms")).value_or(0);
  const std::optional<FileStoreReply> reply =
      WaitForChanges(state, prefix, ParseNumber<uint64_t>(after).value_or(0),
                     Milliseconds(std::clamp<int64_t>(wait_ms, 0, kMaxWaitMs)));
  // MHD_NO closes the connection without an answer.
  return reply ? SendReply(connection, *reply) : MHD_NO;
}

/** Waits for the next SIGUSR1, which restores the store from an old copy. */
void WaitForRestore(asio::signal_set& signals, FileStore& store) {
  signals.async_wait([&signals, &store](const asio::error_code& failure, int) {
    if (failure)
      return;
    store.BeginRestore(ReadClock());
    WaitForRestore(signals, store);
  });
}

}  // namespace

ResultCode RunPlatform(const cxxopts::ParseResult& options) {
  const std::optional<Endpoint> listen =
      ParseEndpoint(options["listen"].as<std::string>());
  if (!listen)
    return ReportError(
        {ResultCode::kUsage, "--listen must be an address A.B.C.D:PORT"});
  PlatformState state(options["dir"].as<std::string>());
  state.store.Refresh(ReadClock());
  const sockaddr_in address = ToSockaddr(*listen);
  MHD_Daemon* const server = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
      listen->port, nullptr, nullptr, OnHttpRequest, &state,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      kMaxConnections, MHD_OPTION_END);
  if (server == nullptr)
    return ReportError(
        {ResultCode::kSocketFailure, "can't listen on " + ToString(*listen)});
  std::thread refresher([&state] {
    while (!state.stopping) {
      state.store.Refresh(ReadClock());
      std::this_thread::sleep_for(kPollInterval);
    }
  });
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](const asio::error_code&, int) { context.stop(); });
  asio::signal_set restore_signals(context, SIGUSR1);
  WaitForRestore(restore_signals, state.store);
  context.run();
  state.stopping = true;
  refresher.join();
  MHD_stop_daemon(server);
  std::cout << "reads=" << state.http_requests << "\n";
  return ResultCode::kOk;
}

}  // namespace cuminvane
