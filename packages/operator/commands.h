#ifndef OPERATOR_COMMANDS_H_
#define OPERATOR_COMMANDS_H_

#include <string>
#include <vector>

namespace vanillafall {

// Exit codes of vanillafall.
enum CommandExit : int {
  kCommandOk = 0,
  // The arguments are wrong.
  kCommandUsage = 1,
  // Service files have problems.
  kCommandProblems = 2,
  // At least one daemon did not answer.
  kCommandUnreachable = 3,
};

// Runs the sub-command that the arguments name and returns an exit code. The
// arguments exclude the program's name.
int RunCommand(const std::vector<std::string>& arguments);

}  // namespace vanillafall

#endif  // OPERATOR_COMMANDS_H_
