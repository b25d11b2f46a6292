// Module operator: the operators' command. It rests on config.
//
//   bundle.h          makes numbered documents of service files
//   change_report.h   what a publication would change
//   daemon_query.h    asks a running daemon's operators' port
//   config_summary.h  which version is in force where, for people
//   commands.h        the sub-commands of vanillafall

#ifndef OPERATOR_OPERATOR_H_
#define OPERATOR_OPERATOR_H_

#include "operator/bundle.h"
#include "operator/change_report.h"
#include "operator/commands.h"
#include "operator/config_summary.h"
#include "operator/daemon_query.h"

#endif  // OPERATOR_OPERATOR_H_
