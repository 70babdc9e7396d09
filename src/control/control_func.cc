/** @file control_func.cc JSON-RPC through libjsonrpccpp; built as C++14, which
 * its headers need. */

#include "control/control_func.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/connectors/httpserver.h>

namespace cuminvane {
namespace {

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool Read(const std::string& text, Json::Value& value) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

/** Hands every call to one handler. */
class Server : public ControlServer, private jsonrpc::AbstractServer<Server> {
 public:
  Server(jsonrpc::HttpServer& connector,
         const std::vector<std::string>& methods,
         ControlHandler handler)
      : jsonrpc::AbstractServer<Server>(connector),
        handler(std::move(handler)) {
    for (const std::string& method : methods) {
      const jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME,
                                         jsonrpc::JSON_OBJECT, nullptr);
      this->bindAndAddMethod(procedure, &Server::Unused);
    }
  }

  bool Start() { return this->StartListening(); }
  void Stop() { this->StopListening(); }

 private:
  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const ControlReply reply =
        this->handler(procedure.GetProcedureName(), Write(input));
    if (!reply.ok)
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      reply.text);
    Read(reply.text, output);
  }

  void Unused(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  ControlHandler handler;
};

/** A server with the connector it listens by. */
class OwningServer : public ControlServer {
 public:
  OwningServer(int port,
               int threads,
               const std::vector<std::string>& methods,
               ControlHandler handler)
      : connector(port, "", "", threads),
        server(connector, methods, std::move(handler)) {}
  ~OwningServer() override { this->server.Stop(); }

  bool Start() { return this->server.Start(); }

 private:
  jsonrpc::HttpServer connector;
  Server server;
};

}  // namespace

std::unique_ptr<ControlServer> StartControlServer(
    int port,
    int threads,
    const std::vector<std::string>& methods,
    ControlHandler handler) {
  std::unique_ptr<OwningServer> server(
      new OwningServer(port, threads, methods, std::move(handler)));
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
  if (!Read(params, input))
    return {false, "parameters are not JSON"};
  try {
    return {true, Write(client.CallMethod(method, input))};
  } catch (const jsonrpc::JsonRpcException& failure) {
    return {false, failure.what()};
  }
}

}  // namespace cuminvane
