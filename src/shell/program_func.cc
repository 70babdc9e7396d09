/** @file program_func.cc Common parts of the programs. */

#include "shell/program_func.h"

#include <sodium.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace cuminvane {

int RunProgram(int argc,
               char** argv,
               cxxopts::Options& options,
               const ProgramBody& body) {
  options.add_options()("h,help", "Print this help")("version",
                                                     "Print the version");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << options.program() << " " << kProductVersion << "\n";
      return 0;
    }
    if (sodium_init() < 0)
      return ExitCodeOf(
          ReportError({ResultCode::kUsage, "libsodium can't be initialised"}));
    return ExitCodeOf(body(parsed));
  } catch (const cxxopts::exceptions::exception& failure) {
    return ExitCodeOf(ReportError(
        {ResultCode::kUsage, std::string(failure.what()) + "; see --help"}));
  }
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    return Error{ResultCode::kFileUnreadable, path + " can't be read"};
  return text.str();
}

ResultCode ReportError(const Error& error) {
  std::cerr << "error=" << ToString(error.code)
            << " code=" << static_cast<int>(error.code) << " message=\""
            << error.message << "\"\n";
  return error.code;
}

}  // namespace cuminvane
