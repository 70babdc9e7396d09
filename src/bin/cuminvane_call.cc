/** @file cuminvane_call.cc A caller: sends one request and prints the answer,
 * or many as a load generator. */

#include <iostream>

#include "shell/program_func.h"
#include "standin/load_role.h"

namespace cuminvane {
namespace {

ResultCode RunCall(const cxxopts::ParseResult& options) {
  LoadOptions load;
  load.seed = options["seed"].as<uint64_t>();
  load.duration = Seconds(options["seconds"].as<int>());
  load.record_path = options["record"].as<std::string>();
  load.mixes = {};
  for (const std::string& text :
       options["mix"].as<std::vector<std::string>>()) {
    if (text.empty())
      continue;
    const Result<LoadMix> mix = ParseMix(text);
    if (!mix)
      return ReportError(mix.error());
    load.mixes.push_back(mix.value());
  }
  if (!load.mixes.empty())
    return RunLoad(load);
  const std::optional<Endpoint> service =
      ParseEndpoint(options["service"].as<std::string>());
  if (!service || options["class"].as<std::string>().empty())
    return ReportError(
        {ResultCode::kUsage,
         "--mix, or both --service and --class, are required; see --help"});
  return CallOnce({*service, options["class"].as<std::string>(),
                   options["text"].as<std::string>(),
                   Milliseconds(options["deadline-ms"].as<int>())});
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  using cxxopts::value;
  cxxopts::Options options("cuminvane-call", "A caller and load generator");
  options.add_options()("service", "Address of the service to call",
                        value<std::string>()->default_value(""),
                        "A.B.C.D:PORT")(
      "class", "Class of the request", value<std::string>()->default_value(""))(
      "text", "Payload of the request",
      value<std::string>()->default_value(""))(
      "deadline-ms", "Longest wait for the answer, in milliseconds",
      value<int>()->default_value("5000"))(
      "mix",
      "Load: "
      "service=NAME;address=A.B.C.D:PORT;class=NAME;idempotent=yes|no;flows=N;"
      "requests=N;parts=N;busy_ms=N;"
      "deadline_ms=N;follows=yes|no (may be given several times)",
      value<std::vector<std::string>>()->default_value(""))(
      "seconds", "Load: time over which flows and requests are spread",
      value<int>()->default_value("10"))("seed",
                                         "Load: seed of its random choices",
                                         value<uint64_t>()->default_value("1"))(
      "record", "Load: file to write its record to",
      value<std::string>()->default_value("/dev/null"), "FILE");
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunCall);
}
