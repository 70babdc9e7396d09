/** @file experiment_func.h Parses and checks experiment files. */

#ifndef CUMINVANE_EMULATE_EXPERIMENT_FUNC_H_
#define CUMINVANE_EMULATE_EXPERIMENT_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "emulate/experiment_type.h"

namespace cuminvane::emulate {

/** A parsed experiment and the problems found in its file. */
struct ParsedExperiment {
  Experiment experiment;
  IniProblems problems;  ///< Empty if the file is valid.
};

/**
 * @param file Name of the file, for problem texts.
 * @param text Contents of the file.
 */
ParsedExperiment ParseExperiment(const std::string& file,
                                 std::string_view text);

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_EXPERIMENT_FUNC_H_
