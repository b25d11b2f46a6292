#ifndef CONFIG_PROBLEM_H_
#define CONFIG_PROBLEM_H_

#include <cstdint>
#include <string>
#include <vector>

namespace vanillafall {

// One thing that is wrong with a file. The line counts from 1; 0 means that no
// line is known, as for a missing key.
struct Problem {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string found;
  std::string allowed;

  // "file:line: key: found X, allowed Y".
  std::string Describe() const;
};

// A value read from a file, or everything that is wrong with the file.
template <typename T>
struct Parsed {
  T value;
  std::vector<Problem> problems;

  bool ok() const { return problems.empty(); }
};

}  // namespace vanillafall

#endif  // CONFIG_PROBLEM_H_
