/** @file platform_role.cc The stand-in platform: GET
 * /KEY?after=VERSION&wait_ms=N over HTTP. */

#include <microhttpd.h>

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <cstring>
#include <iostream>
#include <string>
#include <thread>

#include "core/endpoint_type.h"
#include "core/ini_func.h"
#include "core/time_type.h"
#include "shell/program_func.h"
#include "shell/socket_base.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

constexpr Milliseconds kFilePoll{20};
constexpr int64_t kMostWaitMs = 60000;
constexpr unsigned kConnectionLimit = 512;

/** What request handlers share. */
struct PlatformState {
  std::string directory;
  std::atomic<bool> closing = false;
  std::atomic<uint64_t> reads = 0;
};

/** The version is the document's own, in the section that says what it is. */
uint64_t VersionOf(const std::string& text) {
  IniProblems ignored;
  for (const IniSection& section : ReadIni("", text, ignored).sections) {
    for (const IniEntry& entry : section.entries) {
      const bool names_version =
          section.name == "document" || section.name == "list";
      if (names_version && entry.key == "version")
        return std::strtoull(entry.value.c_str(), nullptr, 10);
    }
  }
  return 0;
}

uint64_t QueryNumber(MHD_Connection* connection, const char* name) {
  const char* const text =
      MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
  return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

MHD_Result Reply(MHD_Connection* connection,
                 unsigned status,
                 const std::string& text) {
  MHD_Response* const response = MHD_create_response_from_buffer(
      text.size(), const_cast<char*>(text.data()), MHD_RESPMEM_MUST_COPY);
  const MHD_Result queued = MHD_queue_response(connection, status, response);
  MHD_destroy_response(response);
  return queued;
}

/** Waits in the connection's own thread until the file holds another version.
 */
MHD_Result OnHttpRequest(void* user,
                         MHD_Connection* connection,
                         const char* url,
                         const char* /*method*/,
                         const char* /*version*/,
                         const char* /*upload*/,
                         size_t* /*upload_size*/,
                         void** /*connection_state*/) {
  auto& state = *static_cast<PlatformState*>(user);
  ++state.reads;
  const uint64_t after = QueryNumber(connection, "after");
  const Milliseconds wait(std::min<int64_t>(
      kMostWaitMs, static_cast<int64_t>(QueryNumber(connection, "wait_ms"))));
  const auto until = std::chrono::steady_clock::now() + wait;
  while (!state.closing) {
    const Result<std::string> text = ReadFile(state.directory + url + ".ini");
    if (!text)
      return Reply(connection, MHD_HTTP_NOT_FOUND, "no such key\n");
    if (VersionOf(text.value()) != after)
      return Reply(connection, MHD_HTTP_OK, text.value());
    if (std::chrono::steady_clock::now() >= until)
      break;
    std::this_thread::sleep_for(kFilePoll);
  }
  return Reply(connection, MHD_HTTP_NOT_MODIFIED, "");
}

}  // namespace

ResultCode RunPlatform(const cxxopts::ParseResult& options) {
  const std::optional<Endpoint> listen =
      ParseEndpoint(options["listen"].as<std::string>());
  if (!listen)
    return Complain({ResultCode::kUsage, "--listen is no A.B.C.D:PORT"});
  PlatformState state;
  state.directory = options["dir"].as<std::string>();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(listen->port);
  address.sin_addr.s_addr = htonl(listen->ip);
  MHD_Daemon* const server = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
      listen->port, nullptr, nullptr, OnHttpRequest, &state,
      MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
      kConnectionLimit, MHD_OPTION_END);
  if (server == nullptr)
    return Complain(
        {ResultCode::kSocketFailure, "can't listen on " + ToString(*listen)});
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const asio::error_code&, int) {});
  context.run();
  state.closing = true;
  MHD_stop_daemon(server);
  std::cout << "reads=" << state.reads << "\n";
  return ResultCode::kOk;
}

}  // namespace cuminvane
