/** @file control_func.h JSON-RPC between operators and balancers, behind a
 * header without the library's own. */

#ifndef CUMINVANE_CONTROL_CONTROL_FUNC_H_
#define CUMINVANE_CONTROL_CONTROL_FUNC_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminvane {

/** What a call came to. */
struct ControlReply {
  bool ok = false;
  std::string text;  ///< JSON, or the error message.
};

/** Answers calls: method and parameters as JSON text in, JSON text out. */
using ControlHandler = std::function<ControlReply(const std::string& method,
                                                  const std::string& params)>;

/** Listens for calls until it is destroyed. */
class ControlServer {
 public:
  virtual ~ControlServer() = default;
};

/**
 * Listens on all addresses of the VM.
 * @param port TCP port.
 * @param threads Threads that answer calls.
 * @param methods Names of the methods.
 * @param handler Answers calls; called from several threads.
 * @return The server, or null where the port can't be used.
 */
std::unique_ptr<ControlServer> StartControlServer(
    int port,
    int threads,
    const std::vector<std::string>& methods,
    ControlHandler handler);

/**
 * Calls a method of a balancer.
 * @param address `A.B.C.D:PORT`.
 * @param method Name of the method.
 * @param params Parameters as a JSON object.
 * @param timeout_ms Longest wait, in milliseconds.
 * @return The result as JSON, or why there is none.
 */
ControlReply CallControl(const std::string& address,
                         const std::string& method,
                         const std::string& params,
                         long timeout_ms);

}  // namespace cuminvane

#endif  // CUMINVANE_CONTROL_CONTROL_FUNC_H_
