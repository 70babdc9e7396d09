/** @file record_func.h Record files of the stand-ins: one line of key=value
 * pairs for each event. */

#ifndef CUMINVANE_STANDIN_RECORD_FUNC_H_
#define CUMINVANE_STANDIN_RECORD_FUNC_H_

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace cuminvane {

/** One line of a record file. */
using RecordLine = std::map<std::string, std::string>;

/** @return The pairs of one line. */
RecordLine ParseRecordLine(const std::string& line);

/** @return All lines of all files of a directory whose names begin with
 * `prefix`. */
std::vector<RecordLine> ReadRecords(const std::string& directory,
                                    const std::string& prefix);

/** @return The number under a key, 0 where there is none. */
double NumberOf(const RecordLine& line, const std::string& key);

/** @return The text under a key, empty where there is none. */
std::string TextOf(const RecordLine& line, const std::string& key);

}  // namespace cuminvane

#endif  // CUMINVANE_STANDIN_RECORD_FUNC_H_
