/** @file program_func.h What every program does first: options, --help,
 * --version, reading files, exit codes. */

#ifndef CUMINVANE_SHELL_PROGRAM_FUNC_H_
#define CUMINVANE_SHELL_PROGRAM_FUNC_H_

#include <cxxopts.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "base/result_type.h"

namespace cuminvane {

/** Version of the product. */
inline constexpr const char* kProductVersion = "0.1.0";

/** What a program does with its parsed options; returns its result code. */
using ProgramBody =
    std::function<ResultCode(const cxxopts::ParseResult& options)>;

/**
 * Adds --help and --version, parses the command line and runs the program.
 * @param argc As main's.
 * @param argv As main's.
 * @param options The program's options.
 * @param body What it does.
 * @return The exit code.
 */
int RunProgram(int argc,
               char** argv,
               cxxopts::Options& options,
               const ProgramBody& body);

/** @return The file's text, or kFileUnreadable. */
Result<std::string> ReadFile(const std::string& path);

/** Tells on standard error what went wrong. @return The error's code. */
ResultCode ReportError(const Error& error);

}  // namespace cuminvane

#endif  // CUMINVANE_SHELL_PROGRAM_FUNC_H_
