// Module operator: the operators' command. It rests on config.
//
//   bundle.h        makes numbered documents of service files
//   daemon_query.h  asks a running daemon's operators' port
//   commands.h      the sub-commands of vanillafall

#ifndef OPERATOR_OPERATOR_H_
#define OPERATOR_OPERATOR_H_

#include "operator/bundle.h"
#include "operator/commands.h"
#include "operator/daemon_query.h"

#endif  // OPERATOR_OPERATOR_H_
