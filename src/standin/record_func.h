/** @file record_func.h Reads the record files of the stand-ins, which have one
 * line of key=value pairs for each event. */

#ifndef CUMINVANE_STANDIN_RECORD_FUNC_H_
#define CUMINVANE_STANDIN_RECORD_FUNC_H_

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace cuminvane {

/** One line of a record file: values by key. */
using RecordLine = std::map<std::string, std::string>;

/** @return The key=value pairs of one line; words without `=` are skipped. */
RecordLine ParseRecordLine(const std::string& line);

/** @return All lines of those files in a directory whose names start with
 * `prefix`. */
std::vector<RecordLine> ReadRecords(const std::string& directory,
                                    const std::string& prefix);

/** @return The number under a key; 0 if the key is missing. */
double NumberOf(const RecordLine& line, const std::string& key);

/** @return The text under a key; empty if the key is missing. */
std::string TextOf(const RecordLine& line, const std::string& key);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_RECORD_FUNC_H_
