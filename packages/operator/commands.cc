#include "operator/commands.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/service_file.h"
#include "operator/bundle.h"
#include "operator/daemon_query.h"

namespace vanillafall {
namespace {

namespace fs = std::filesystem;
using Arguments = std::vector<std::string>;

constexpr char kUsage[] =
    "vanillafall, the operators' command of the vanillafall proxy fleet\n"
    "\n"
    "  vanillafall check FILE...             check service files\n"
    "  vanillafall bundle DIR --out DIR      make the documents to publish\n"
    "  vanillafall status DAEMON...          backend servers and their state\n"
    "  vanillafall config DAEMON...          configuration in force\n"
    "  vanillafall explain SUBJECT DAEMON... what is known of a backend\n"
    "                                        server, service or path\n"
    "  vanillafall events DAEMON...          latest events\n"
    "\n"
    "DAEMON is the address of a daemon's operators' port. status, config,\n"
    "explain and events take --json. --help and --version do what they say.\n"
    "Exit codes: 0 right, 1 wrong usage, 2 problems in files, 3 a daemon did\n"
    "not answer.\n";

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

int Check(const Arguments& arguments) {
  TCLAP::CmdLine line("check service files", ' ', VF_VERSION);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "service files", true,
                                              "FILE", line);
  Arguments copy = arguments;
  line.parse(copy);
  bool is_right = true;
  for (const std::string& file : files.getValue()) {
    const Parsed<ServiceConfig> parsed = ParseServiceFile(ReadFile(file), file);
    Print(parsed.problems);
    is_right = is_right && parsed.ok();
    if (parsed.ok()) {
      std::cout << file << ": right, service " << parsed.value.name << "\n";
    }
  }
  return is_right ? kCommandOk : kCommandProblems;
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

std::map<std::string, std::string> ReadDocuments(const std::string& directory) {
  std::map<std::string, std::string> documents;
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

int MakeBundleCommand(const Arguments& arguments) {
  TCLAP::CmdLine line("make the documents to publish", ' ', VF_VERSION);
  TCLAP::ValueArg<std::string> out(
      "", "out",
      "directory of the documents; its earlier ones give the numbers", true, "",
      "DIR", line);
  TCLAP::UnlabeledValueArg<std::string> from("from", "directory of files", true,
                                             "", "DIR", line);
  Arguments copy = arguments;
  line.parse(copy);
  fs::create_directories(out.getValue());
  const Bundle bundle = MakeBundle(ReadServiceFiles(from.getValue()),
                                   ReadDocuments(out.getValue()),
                                   SystemClock().wall_now());
  Print(bundle.problems);
  for (const auto& [name, body] : bundle.documents) {
    std::ofstream(fs::path(out.getValue()) / (name + ".json")) << body;
  }
  std::cout << "manifest " << bundle.manifest.number << " with "
            << bundle.manifest.entries.size() << " services\n";
  return bundle.problems.empty() ? kCommandOk : kCommandProblems;
}

void PrintForPeople(const std::string& address, const std::string& body) {
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

// Asks each daemon for a page and prints it.
int Ask(const std::string& path, bool has_subject, const Arguments& arguments) {
  TCLAP::CmdLine line("ask running daemons", ' ', VF_VERSION);
  TCLAP::SwitchArg json("", "json", "print JSON for programs", line);
  TCLAP::UnlabeledMultiArg<std::string> words("daemons", "daemons to ask", true,
                                              "DAEMON", line);
  Arguments copy = arguments;
  line.parse(copy);
  Arguments daemons = words.getValue();
  std::string subject;
  if (has_subject) {
    subject = daemons.front();
    daemons.erase(daemons.begin());
  }
  int code = kCommandOk;
  for (const std::string& daemon : daemons) {
    const auto answer = QueryDaemon(daemon, path, subject);
    if (const auto* error = std::get_if<Error>(&answer)) {
      std::cerr << error->Describe() << "\n";
      code = kCommandUnreachable;
      continue;
    }
    const std::string& body = std::get<std::string>(answer);
    if (json.getValue()) {
      std::cout << body;
    } else {
      PrintForPeople(daemon, body);
    }
  }
  return code;
}

// The arguments that a sub-command's parser takes, its own name first.
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
    return Ask("/" + name, false, arguments);
  }
  if (name == "explain") {
    return Ask("/explain", true, arguments);
  }
  std::cerr << "vanillafall: no command " << name << "\n" << kUsage;
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
