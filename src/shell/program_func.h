/** @file program_func.h Common parts of the programs: options, --help,
 * --version, reading files, errors and exit codes. */

#ifndef CUMINVANE_SHELL_PROGRAM_FUNC_H_
#define CUMINVANE_SHELL_PROGRAM_FUNC_H_

#include <cxxopts.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/result_type.h"

namespace cuminvane {

/** Version that --version prints. */
inline constexpr const char* kProductVersion = "0.1.0";

/** Body of a program; called with the parsed options, returns the result code.
 */
using ProgramBody =
    std::function<ResultCode(const cxxopts::ParseResult& options)>;

/**
 * Adds --help and --version, parses the command line and runs the program.
 * @param argc Number of arguments, from main.
 * @param argv Arguments, from main.
 * @param options Options of the program; --help and --version are added.
 * @param body Body of the program; not called for --help, --version or invalid
 * options.
 * @return Exit code of the process.
 */
int RunProgram(int argc,
               char** argv,
               cxxopts::Options& options,
               const ProgramBody& body);

/** @return Content of the file; kFileUnreadable if it can't be read. */
Result<std::string> ReadFile(const std::string& path);

/** Prints the error to standard error. @return The error's code. */
ResultCode ReportError(const Error& error);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PROGRAM_FUNC_H_
