#ifndef OPERATOR_COMMANDS_H_
#define OPERATOR_COMMANDS_H_

#include <string>
#include <vector>

namespace vanillafall {

// Exit codes of vanillafall.
enum CommandExit : int {
  kCommandOk = 0,
  kCommandUsage = 1,
  kCommandProblems = 2,
  kCommandUnreachable = 3,
};

// Runs vanillafall with its arguments, without the program's name.
int RunCommand(const std::vector<std::string>& arguments);

}  // namespace vanillafall

#endif  // OPERATOR_COMMANDS_H_
