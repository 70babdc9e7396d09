/** @file cuminvane_standin.cc Stand-ins for the platform, the fabric and
 * backend servers; for tests and the demo only. */

#include <curl/curl.h>

#include "shell/program_func.h"
#include "standin/role_func.h"

namespace cuminvane {
namespace {

ResultCode RunRole(const cxxopts::ParseResult& options) {
  const auto role = options["role"].as<std::string>();
  if (role == "platform")
    return RunPlatform(options);
  if (role == "fabric")
    return RunFabric(options);
  if (role == "backend")
    return RunBackend(options);
  if (role == "flow-backend")
    return RunFlowBackend(options);
  if (role == "figures")
    return RunFigures(options);
  return ReportError(
      {ResultCode::kUsage,
       "--role must be platform, fabric, backend, flow-backend or figures; see "
       "--help"});
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  using cxxopts::value;
  curl_global_init(CURL_GLOBAL_DEFAULT);
  cxxopts::Options options("cuminvane-standin",
                           "Stand-ins for tests and the demo");
  options.add_options()(
      "role", "Role: platform, fabric, backend, flow-backend or figures",
      value<std::string>()->default_value(""))(
      "listen", "Address to listen on",
      value<std::string>()->default_value("127.0.0.1:0"),
      "A.B.C.D:PORT")("platform", "Fabric: address of the platform",
                      value<std::string>()->default_value(""), "A.B.C.D:PORT")(
      "service", "Fabric: address that callers use",
      value<std::vector<std::string>>()->default_value(""),
      "A.B.C.D:PORT")("loss", "Fabric: share of packets lost",
                      value<double>()->default_value("0"))(
      "duplicate", "Fabric: share of packets sent twice",
      value<double>()->default_value("0"))("reorder",
                                           "Fabric: share of packets delayed",
                                           value<double>()->default_value("0"))(
      "delay-ms", "Fabric: longest delay of a delayed packet, in milliseconds",
      value<int>()->default_value("20"))("seed",
                                         "Fabric: seed of its random choices",
                                         value<uint64_t>()->default_value("1"))(
      "dir", "Platform, flow backend and figures: directory of the files",
      value<std::string>()->default_value("."))(
      "vm", "Backend: number of its VM", value<uint32_t>()->default_value("1"))(
      "incarnation", "Backend: incarnation, the number of its start",
      value<uint64_t>()->default_value("1"))(
      "data-centre", "Flow backend: its data centre",
      value<std::string>()->default_value("a"))(
      "serves", "Backend: its service",
      value<std::string>()->default_value(""))(
      "slots", "Backend: maximum requests that run at once",
      value<uint32_t>()->default_value("3"))(
      "queue", "Backend: maximum requests that wait",
      value<uint32_t>()->default_value("12"))(
      "record", "Backend: file to write its record to",
      value<std::string>()->default_value("/dev/null"),
      "FILE")("config", "Figures: active configuration",
              value<std::string>()->default_value(""), "FILE");
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunRole);
}
