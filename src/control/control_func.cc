/** @file control_func.cc JSON-RPC with libjsonrpccpp. This file is compiled as
 * C++14, because the library's headers need it. */

#include "control/control_func.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/connectors/httpserver.h>

namespace cuminvane {
namespace {

std::string SerializeJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool ParseJson(const std::string& text, Json::Value& value) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

/** Passes the calls of all methods to one handler. */
class JsonRpcServer : public ControlServer,
                      private jsonrpc::AbstractServer<JsonRpcServer> {
 public:
  JsonRpcServer(jsonrpc::HttpServer& connector,
                const std::vector<std::string>& methods,
                ControlHandler handler)
      : jsonrpc::AbstractServer<JsonRpcServer>(connector),
        handler(std::move(handler)) {
    for (const std::string& method : methods) {
      const jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME,
                                         jsonrpc::JSON_OBJECT, nullptr);
      this->bindAndAddMethod(procedure, &JsonRpcServer::UnusedCallback);
    }
  }

  bool Start() { return this->StartListening(); }
  void Stop() { this->StopListening(); }

 private:
  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const ControlReply reply =
        this->handler(procedure.GetProcedureName(), SerializeJson(input));
    if (!reply.ok)
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      reply.text);
    ParseJson(reply.text, output);
  }

  /** Required by bindAndAddMethod but never called, because HandleMethodCall
   * handles every call. */
  void UnusedCallback(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  ControlHandler handler;
};

/** A JSON-RPC server together with its HTTP connector. */
class HttpControlServer : public ControlServer {
 public:
  HttpControlServer(int port,
                    int threads,
                    const std::vector<std::string>& methods,
                    ControlHandler handler)
      : connector(port, "", "", threads),
        server(connector, methods, std::move(handler)) {}
  ~HttpControlServer() override { this->server.Stop(); }

  bool Start() { return this->server.Start(); }

 private:
  jsonrpc::HttpServer connector;
  JsonRpcServer server;
};

}  // namespace

std::unique_ptr<ControlServer> StartControlServer(
    int port,
    int threads,
    const std::vector<std::string>& methods,
    ControlHandler handler) {
  std::unique_ptr<HttpControlServer> server(
      new HttpControlServer(port, threads, methods, std::move(handler)));
  if (!server->Start())
    return nullptr;
  return std::unique_ptr<ControlServer>(std::move(server));
}

ControlReply CallControl(const std::string& address,
                         const std::string& method,
                         const std::string& params,
                         long timeout_ms) {
  jsonrpc::HttpClient connector("http://" + address);
  connector.SetTimeout(timeout_ms);
  jsonrpc::Client client(connector);
  Json::Value input;
  if (!ParseJson(params, input))
    return {false, "parameters of the call are not valid JSON"};
  try {
    return {true, SerializeJson(client.CallMethod(method, input))};
  } catch (const jsonrpc::JsonRpcException& failure) {
    return {false, failure.what()};
  }
}

}  // namespace cuminvane
