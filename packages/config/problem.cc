#include "config/problem.h"

namespace vanillafall {

std::string Problem::Describe() const {
  std::string text = file;
  if (line != 0) {
    text += ":" + std::to_string(line);
  }
  text += ": " + key + ": found " + found + ", allowed " + allowed;
  return text;
}

}  // namespace vanillafall
