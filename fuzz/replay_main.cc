// Runs a fuzz target over every file of the folders given, without libFuzzer.

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "fuzz/check.h"

namespace {

size_t ReplayFolder(const std::filesystem::path& folder) {
  size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream stream(entry.path(), std::ios::binary);
    std::string input((std::istreambuf_iterator<char>(stream)), {});
    fmt::print("{}\n", entry.path().string());
    std::fflush(stdout);
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(input.data()),
                           input.size());
    ++files;
  }
  return files;
}

}  // namespace

int main(int argc, char** argv) {
  size_t files = 0;
  for (int i = 1; i < argc; ++i)
    files += ReplayFolder(argv[i]);
  fmt::print("{} files\n", files);
  // An empty corpus checks nothing, so it fails.
  return files > 0 ? 0 : 1;
}
