/** @file corpus_main.cc Runs the decoders on the fuzz corpus and on random
 * mutations of it that a seed determines; needs no libFuzzer. */

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

/** Maximum number of edits in one mutation. */
constexpr int kMaxEdits = 6;

/** Runs the decoder that the first byte selects on the rest. */
void FeedDecoders(const std::string& bytes) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(bytes.data()),
                         bytes.size());
}

/**
 * Replaces, flips, removes, duplicates or splices some bytes.
 * @param other Input that spliced bytes are taken from.
 */
std::string Mutate(std::string bytes,
                   const std::string& other,
                   RandomEngine& random) {
  const size_t edits = 1 + DrawIndex(random, kMaxEdits);
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

/** @return The files of the directory in the order of their names. */
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
    FeedDecoders(bytes);
  const auto runs = corpus.empty() ? 0 : options["runs"].as<int>();
  for (int run = 0; run < runs; ++run)
    FeedDecoders(Mutate(corpus[DrawIndex(random, corpus.size())],
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
      "Runs the decoders on the fuzz corpus and on mutations of it");
  options.add_options()("corpus", "Directory of the corpus",
                        value<std::string>())(
      "runs", "Number of mutated inputs", value<int>()->default_value("20000"))(
      "seed", "Seed of the mutations", value<uint64_t>()->default_value("1"));
  return cuminvane::RunProgram(argc, argv, options, cuminvane::RunCorpus);
}
