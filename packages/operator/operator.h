// Module operator: the command-line tool "vanillafall" for the operators of a
// fleet. It depends on module config.
//
//   bundle.h          encodes service files as numbered documents
//   change_report.h   differences between two sets of services
//   daemon_query.h    fetches a page from a running daemon's operator port
//   config_summary.h  text summary of the configuration in force on each daemon
//   commands.h        parses the command line and runs the sub-commands

#ifndef OPERATOR_OPERATOR_H_
#define OPERATOR_OPERATOR_H_

#include "operator/bundle.h"
#include "operator/change_report.h"
#include "operator/commands.h"
#include "operator/config_summary.h"
#include "operator/daemon_query.h"

#endif  // OPERATOR_OPERATOR_H_
