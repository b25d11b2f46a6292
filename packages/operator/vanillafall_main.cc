#include <string>
#include <vector>

#include "operator/commands.h"

int main(int argc, char** argv) {
  return vanillafall::RunCommand(
      std::vector<std::string>(argv + 1, argv + argc));
}
