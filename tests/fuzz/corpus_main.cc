/** @file corpus_main.cc The corpus of the decoders, and seeded changes of it,
 * without libFuzzer. */

#include <algorithm>
#include <cstdint>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "base/random_type.h"
#include "shell/program_func.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

namespace cuminvane {
namespace {

constexpr int kMostEdits = 6;

void Play(const std::string& bytes) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(bytes.data()),
                         bytes.size());
}

/** Changes, removes, doubles or splices some bytes. */
std::string Mutate(std::string bytes,
                   const std::string& other,
                   RandomEngine& random) {
  const size_t edits = 1 + DrawIndex(random, kMostEdits);
  for (size_t edit = 0; edit < edits && !bytes.empty(); ++edit) {
    const size_t at = DrawIndex(random, bytes.size());
    const size_t length = std::min(bytes.size() - at, DrawIndex(random, 16));
    switch (DrawIndex(random, 5)) {
      case 0:
        bytes[at] = static_cast<char>(random());
        break;
      case 1:
        bytes[at] ^= static_cast<char>(1 << DrawIndex(random, 8));
        break;
      case 2:
        bytes.erase(at, length);
        break;
      case 3:
        bytes.insert(at, bytes.substr(at, length));
        break;
      default:
        if (!other.empty())
          bytes.replace(at, length,
                        other.substr(DrawIndex(random, other.size()), length));
        break;
    }
  }
  return bytes;
}

/** @return The corpus in the order of its file names. */
std::vector<std::string> ReadCorpus(const std::string& directory) {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(directory))
    paths.push_back(entry.path());
  std::ranges::sort(paths);
  std::vector<std::string> corpus;
  for (const std::filesystem::path& path : paths) {
    std::ifstream file(path, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return corpus;
}

ResultCode RunCorpus(const cxxopts::ParseResult& options) {
  const std::vector<std::string> corpus =
      ReadCorpus(options["corpus"].as<std::string>());
  RandomEngine random(options["seed"].as<uint64_t>());
  for (const std::string& bytes : corpus)
    Play(bytes);
  const auto runs = corpus.empty() ? 0 : options["runs"].as<int>();
  for (int run = 0; run < runs; ++run)
    Play(Mutate(corpus[DrawIndex(random, corpus.size())],
                corpus[DrawIndex(random, corpus.size())], random));
  std::cout << "decoders corpus=" << corpus.size() << " runs=" << runs << "\n";
  return corpus.empty() ? ResultCode::kUsage : ResultCode::kOk;
}

}  // namespace
}  // namespace cuminvane

int main(int argc, char** argv) {
  using cxxopts::value;
  cxxopts::Options options(
      "cuminvane_decoders",
      "Plays the corpus of the decoders and changes of it");
  options.add_options()("corpus", "Directory of the corpus",
                        value<std::string>())(
      "runs", "Changed inputs", value<int>()->default_value("20000"))(
      "seed", "Seed of the changes", value<uint64_t>()->default_value("1"));
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunCorpus);
}
