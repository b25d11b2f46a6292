#ifndef CONFIG_PROBLEM_H_
#define CONFIG_PROBLEM_H_

#include <cstdint>
#include <string>
#include <vector>

namespace vanillafall {

// One error in a file, worded for the person who edits the file.
struct Problem {
  std::string file;
  // Counts from 1; 0 when the line is unknown.
  std::uint32_t line = 0;
  // Full name of the key, such as "limits.max_keys".
  std::string key;
  // What the file has in this place.
  std::string found;
  // What would be valid there.
  std::string allowed;

  // Formats the problem as "file:line: key: found X, allowed Y".
  std::string Describe() const;
};

// Result of parsing a file: the value, and every problem found in the file. The
// value is complete only when ok() is true.
template <typename T>
struct Parsed {
  T value;
  std::vector<Problem> problems;

  bool ok() const { return problems.empty(); }
};

}  // namespace vanillafall

#endif  // CONFIG_PROBLEM_H_
