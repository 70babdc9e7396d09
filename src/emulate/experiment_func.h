/** @file experiment_func.h Reads experiment files. */

#ifndef CUMINVANE_EMULATE_EXPERIMENT_FUNC_H_
#define CUMINVANE_EMULATE_EXPERIMENT_FUNC_H_

#include <string>
#include <string_view>

#include "base/ini_type.h"
#include "emulate/experiment_type.h"

namespace cuminvane::emulate {

/** A parsed experiment, or everything that is wrong with it. */
struct ParsedExperiment {
  Experiment experiment;
  IniProblems problems;
};

/**
 * @param file Name used in messages.
 * @param text The whole file.
 */
ParsedExperiment ParseExperiment(const std::string& file,
                                 std::string_view text);

}  // namespace cuminvane::emulate

#endif  // CUMINVANE_EMULATE_EXPERIMENT_FUNC_H_
