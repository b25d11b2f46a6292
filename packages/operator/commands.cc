#include "operator/commands.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/service_file.h"
#include "operator/bundle.h"
#include "operator/change_report.h"
#include "operator/config_summary.h"
#include "operator/daemon_query.h"

namespace vanillafall {
namespace {

namespace fs = std::filesystem;
using Arguments = std::vector<std::string>;

constexpr char kUsage[] =
    "vanillafall, the operators' command of the vanillafall proxy fleet\n"
    "\n"
    "  vanillafall check FILE...             check service files\n"
    "  vanillafall check DIR --against DIR   show how service files would\n"
    "                                        change the published documents\n"
    "  vanillafall bundle DIR --out DIR      make the documents to publish\n"
    "  vanillafall status DAEMON...          backend servers and their state\n"
    "  vanillafall config DAEMON...          configuration in force\n"
    "  vanillafall explain SUBJECT DAEMON... details of a backend server,\n"
    "                                        service or path\n"
    "  vanillafall events DAEMON...          latest events\n"
    "\n"
    "DAEMON is the address of a daemon's operators' port. status, config,\n"
    "explain and events take --json. --help prints this text, --version the\n"
    "version. Exit codes: 0 success, 1 wrong usage, 2 problems in files, 3 a\n"
    "daemon did not answer.\n";

std::string ReadFile(const fs::path& path) {
  const std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void Print(const std::vector<Problem>& problems) {
  for (const Problem& problem : problems) {
    std::cerr << problem.Describe() << "\n";
  }
}

std::vector<ServiceFile> ReadServiceFiles(const std::string& directory) {
  std::vector<ServiceFile> files;
  for (const auto& entry : fs::directory_iterator(directory)) {
    if (entry.path().extension() == ".toml") {
      files.push_back({entry.path().string(), ReadFile(entry.path())});
    }
  }
  std::sort(files.begin(), files.end(),
            [](const ServiceFile& a, const ServiceFile& b) {
              return a.file < b.file;
            });
  return files;
}

PublishedDocuments ReadDocuments(const std::string& directory) {
  PublishedDocuments documents;
  if (!fs::exists(directory)) {
    return documents;
  }
  for (const auto& entry : fs::directory_iterator(directory)) {
    if (entry.path().extension() == ".json") {
      documents[entry.path().stem().string()] = ReadFile(entry.path());
    }
  }
  return documents;
}

// Prints which services without a file are removed or kept.
void PrintServicesWithoutFile(const Bundle& bundle) {
  for (const std::string& name : bundle.removed) {
    std::cout << name << ": no file, so it is removed\n";
  }
  for (const std::string& name : bundle.kept) {
    std::cout << name
              << ": no file, but it is kept, because a file's service name "
                 "can't be read\n";
  }
}

// Writes the documents to the directory and deletes the previous ones that are
// no longer among them.
void WriteDocuments(const fs::path& directory,
                    const PublishedDocuments& previous,
                    const PublishedDocuments& documents) {
  for (const auto& [name, body] : previous) {
    if (!documents.contains(name)) {
      fs::remove(directory / (name + ".json"));
    }
  }
  for (const auto& [name, body] : documents) {
    std::ofstream(directory / (name + ".json")) << body;
  }
}

// Prints the changes that publishing a directory of service files would make to
// the published documents in another directory.
int CheckAgainst(const std::string& directory, const std::string& documents) {
  const PublishedDocuments published = ReadDocuments(documents);
  const Bundle bundle = MakeBundle(ReadServiceFiles(directory), published,
                                   SystemClock().wall_now());
  Print(bundle.problems);
  PrintServicesWithoutFile(bundle);
  const ChangeReport report =
      CompareServices(ReadServices(published), bundle.services);
  for (const std::string& change : report.changes) {
    std::cout << change << "\n";
  }
  if (report.changes.empty()) {
    std::cout << "no changes\n";
  }
  for (const std::string& warning : report.warnings) {
    std::cout << "warning: " << warning << "\n";
  }
  return bundle.problems.empty() ? kCommandOk : kCommandProblems;
}

int Check(const Arguments& arguments) {
  TCLAP::CmdLine line("check service files", ' ', VF_VERSION);
  TCLAP::ValueArg<std::string> against(
      "", "against", "directory of the published documents to compare with",
      false, "", "DIR", line);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "service files", true,
                                              "FILE", line);
  Arguments copy = arguments;
  line.parse(copy);
  if (against.isSet()) {
    if (files.getValue().size() != 1 ||
        !fs::is_directory(files.getValue().front())) {
      std::cerr
          << "vanillafall check: --against takes exactly one directory of "
             "service files\n";
      return kCommandUsage;
    }
    return CheckAgainst(files.getValue().front(), against.getValue());
  }
  bool is_valid = true;
  for (const std::string& file : files.getValue()) {
    const Parsed<ServiceConfig> parsed = ParseServiceFile(ReadFile(file), file);
    Print(parsed.problems);
    is_valid = is_valid && parsed.ok();
    if (parsed.ok()) {
      std::cout << file << ": valid, service " << parsed.value.name << "\n";
    }
  }
  return is_valid ? kCommandOk : kCommandProblems;
}

int MakeBundleCommand(const Arguments& arguments) {
  TCLAP::CmdLine line("make the documents to publish", ' ', VF_VERSION);
  TCLAP::ValueArg<std::string> out(
      "", "out",
      "directory of the documents; numbers continue from those it has", true,
      "", "DIR", line);
  TCLAP::UnlabeledValueArg<std::string> from(
      "from", "directory of service files", true, "", "DIR", line);
  Arguments copy = arguments;
  line.parse(copy);
  fs::create_directories(out.getValue());
  const PublishedDocuments previous = ReadDocuments(out.getValue());
  const Bundle bundle = MakeBundle(ReadServiceFiles(from.getValue()), previous,
                                   SystemClock().wall_now());
  Print(bundle.problems);
  PrintServicesWithoutFile(bundle);
  WriteDocuments(out.getValue(), previous, bundle.documents);
  std::cout << "manifest " << bundle.manifest.number << " with "
            << bundle.manifest.entries.size() << " services\n";
  return bundle.problems.empty() ? kCommandOk : kCommandProblems;
}

void PrintAsText(const std::string& address, const std::string& body) {
  const auto page = nlohmann::json::parse(body, nullptr, false);
  std::cout << address << "\n";
  if (!page.is_object()) {
    std::cout << "  " << body << "\n";
    return;
  }
  for (const auto& [key, value] : page.items()) {
    if (!value.is_array()) {
      std::cout << "  " << key << ": " << value.dump() << "\n";
      continue;
    }
    std::cout << "  " << key << ":\n";
    for (const auto& element : value) {
      std::cout << "   ";
      for (const auto& [name, field] : element.items()) {
        const std::string text =
            field.is_string() ? field.get<std::string>() : field.dump();
        std::cout << " " << name << "=" << text;
      }
      std::cout << "\n";
    }
  }
}

// Fetches a page from each daemon and prints it. With a subject, the first
// argument is the subject and the others are daemons.
int QueryDaemons(const std::string& path,
                 bool has_subject,
                 const Arguments& arguments) {
  TCLAP::CmdLine line("query running daemons", ' ', VF_VERSION);
  TCLAP::SwitchArg json("", "json", "print JSON instead of text", line);
  TCLAP::UnlabeledMultiArg<std::string> operands("daemons", "daemons to query",
                                                 true, "DAEMON", line);
  Arguments copy = arguments;
  line.parse(copy);
  Arguments daemons = operands.getValue();
  std::string subject;
  if (has_subject) {
    subject = daemons.front();
    daemons.erase(daemons.begin());
  }
  const bool is_config = path == "/config";
  std::vector<ConfigAnswer> answers;
  int code = kCommandOk;
  for (const std::string& daemon : daemons) {
    const auto answer = QueryDaemon(daemon, path, subject);
    if (const auto* error = std::get_if<Error>(&answer)) {
      std::cerr << error->Describe() << "\n";
      code = kCommandUnreachable;
      answers.push_back({daemon, ""});
      continue;
    }
    const std::string& body = std::get<std::string>(answer);
    if (is_config) {
      answers.push_back({daemon, body});
    }
    if (json.getValue()) {
      std::cout << body;
    } else if (!is_config) {
      PrintAsText(daemon, body);
    }
  }
  if (is_config && !json.getValue()) {
    std::cout << SummarizeConfig(answers);
  }
  return code;
}

// Prepends the program name that TCLAP expects as the first argument.
Arguments WithProgramName(const std::string& name, const Arguments& rest) {
  Arguments arguments = {"vanillafall " + name};
  arguments.insert(arguments.end(), rest.begin(), rest.end());
  return arguments;
}

int Dispatch(const std::string& name, const Arguments& arguments) {
  if (name == "check") {
    return Check(arguments);
  }
  if (name == "bundle") {
    return MakeBundleCommand(arguments);
  }
  if (name == "status" || name == "config" || name == "events") {
    return QueryDaemons("/" + name, false, arguments);
  }
  if (name == "explain") {
    return QueryDaemons("/explain", true, arguments);
  }
  std::cerr << "vanillafall: unknown command " << name << "\n" << kUsage;
  return kCommandUsage;
}

}  // namespace

int RunCommand(const std::vector<std::string>& arguments) {
  if (arguments.empty() || arguments.front() == "--help") {
    std::cout << kUsage;
    return arguments.empty() ? kCommandUsage : kCommandOk;
  }
  if (arguments.front() == "--version") {
    std::cout << "vanillafall " << VF_VERSION << "\n";
    return kCommandOk;
  }
  const std::string& name = arguments.front();
  const Arguments rest(arguments.begin() + 1, arguments.end());
  try {
    return Dispatch(name, WithProgramName(name, rest));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "vanillafall " << name << ": " << error.error() << " "
              << error.argId() << "\n";
    return kCommandUsage;
  }
}

}  // namespace vanillafall
