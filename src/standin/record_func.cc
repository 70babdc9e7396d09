/** @file record_func.cc Parser of the record files of the stand-ins. */

#include "standin/record_func.h"

#include <filesystem>
#include <sstream>

namespace cuminvane {

RecordLine ParseRecordLine(const std::string& line) {
  RecordLine pairs;
  std::istringstream in(line);
  std::string word;
  while (in >> word) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos)
      pairs[word.substr(0, equals)] = word.substr(equals + 1);
  }
  return pairs;
}

std::vector<RecordLine> ReadRecords(const std::string& directory,
                                    const std::string& prefix) {
  std::vector<RecordLine> lines;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (!entry.path().filename().string().starts_with(prefix))
      continue;
    std::ifstream file(entry.path());
    std::string line;
    while (std::getline(file, line))
      lines.push_back(ParseRecordLine(line));
  }
  return lines;
}

double NumberOf(const RecordLine& line, const std::string& key) {
  const auto pair = line.find(key);
  return pair == line.end() ? 0 : std::stod(pair->second);
}

std::string TextOf(const RecordLine& line, const std::string& key) {
  const auto pair = line.find(key);
  return pair == line.end() ? "" : pair->second;
}

}  // namespace cuminvane
