/** @file control_func.h JSON-RPC over HTTP between operators and balancers. The
 * interface hides the JSON-RPC library, whose headers need C++14. */

#ifndef CUMINVANE_CONTROL_CONTROL_FUNC_H_
#define CUMINVANE_CONTROL_CONTROL_FUNC_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminvane {

/** Result of a call. */
struct ControlReply {
  bool ok = false;   ///< Whether the call succeeded.
  std::string text;  ///< The result as JSON, or the error message.
};

/** Handles a call: takes the name of the method and the parameters as JSON. */
using ControlHandler = std::function<ControlReply(const std::string& method,
                                                  const std::string& params)>;

/** A running server. It stops listening when it is destroyed. */
class ControlServer {
 public:
  virtual ~ControlServer() = default;
};

/**
 * Starts a server that listens on all addresses of the VM.
 * @param port TCP port.
 * @param threads Number of threads that handle calls.
 * @param methods Names of the methods that callers may call.
 * @param handler Handles the calls; called from several threads at a time.
 * @return The server, or null if it can't listen on the port.
 */
std::unique_ptr<ControlServer> StartControlServer(
    int port,
    int threads,
    const std::vector<std::string>& methods,
    ControlHandler handler);

/**
 * Calls a method of a balancer and waits for the reply.
 * @param address Control address of the balancer, `A.B.C.D:PORT`.
 * @param method Name of the method.
 * @param params Parameters as a JSON object.
 * @param timeout_ms Time-out of the call, in milliseconds.
 * @return The result as JSON, or the error message.
 */
ControlReply CallControl(const std::string& address,
                         const std::string& method,
                         const std::string& params,
                         long timeout_ms);

}  // namespace cuminvane

#endif  // CUMINVANE_CONTROL_CONTROL_FUNC_H_
