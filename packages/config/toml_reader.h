#ifndef CONFIG_TOML_READER_H_
#define CONFIG_TOML_READER_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "config/problem.h"

namespace vanillafall {

// Throws std::logic_error. Used as the TOML library's assertion handler,
// because damaged text can violate the library's assertions. ParseToml catches
// the exception and reports it as a problem, like any other syntax error.
[[noreturn]] void ThrowTomlError(const char* failed_condition);

}  // namespace vanillafall

#define TOML_ASSERT(expression)        \
  ((expression) ? static_cast<void>(0) \
                : ::vanillafall::ThrowTomlError(#expression))
#include <toml++/toml.h>

namespace vanillafall {

// Parses TOML text. On a syntax error, adds a problem and returns an empty
// table.
toml::table ParseToml(std::string_view text,
                      const std::string& file,
                      std::vector<Problem>* problems);

// Reads the keys of one TOML table and adds a problem for each missing, wrong
// or unknown key. Internal to module config.
class TomlReader {
 public:
  // The path is the table's name in problems, such as "limits"; empty for the
  // root table. The table, the file name and the list of problems must outlive
  // the reader.
  TomlReader(const toml::table& table,
             std::string path,
             const std::string& file,
             std::vector<Problem>* problems);
  TomlReader(const TomlReader&) = delete;
  TomlReader& operator=(const TomlReader&) = delete;

  // Whether a missing key is a problem.
  enum class Need { kRequired, kOptional };

  // Returns an empty string when the key is missing or its value is invalid.
  std::string GetString(std::string_view key, Need need);
  // Reads a string of the form "host:port" with an IPv4 host.
  std::string GetAddress(std::string_view key, Need need);
  // Returns the fallback when the key is missing or its value is invalid.
  std::int64_t GetInteger(std::string_view key,
                          std::int64_t fallback,
                          std::int64_t min,
                          std::int64_t max);
  // Reads a whole number or a fraction. Returns the fallback when the key is
  // missing or its value is invalid.
  double GetNumber(std::string_view key,
                   double fallback,
                   double min,
                   double max);
  // Returns the minimum when the key is missing or its value is invalid.
  std::int64_t GetRequiredInteger(std::string_view key,
                                  std::int64_t min,
                                  std::int64_t max);
  // Parses text such as "250ms", "5s", "15m" or "1h".
  std::chrono::milliseconds GetDuration(std::string_view key,
                                        std::chrono::milliseconds fallback,
                                        std::chrono::milliseconds min,
                                        std::chrono::milliseconds max);
  // Index of the key's text among the choices; 0 when the key is missing or its
  // text is none of them.
  std::size_t GetChoice(std::string_view key,
                        std::initializer_list<std::string_view> choices);
  std::vector<std::string> GetStrings(std::string_view key, Need need);
  std::vector<std::string> GetAddresses(std::string_view key);
  // The sub-table of that name, or an empty table.
  const toml::table& GetTable(std::string_view key);
  // The elements of an array of tables, written as [[key]].
  std::vector<const toml::table*> GetTables(std::string_view key, Need need);

  // Adds a problem with the key at the node's line; the line is unknown when
  // the node is null.
  void AddProblem(std::string_view key,
                  const toml::node* node,
                  std::string found,
                  std::string allowed);
  // Adds a problem for each key of the table that no getter has read. Call
  // once, after all getters.
  void ReportUnknownKeys();

 private:
  // Finds the key and marks it as known; null when it is missing.
  const toml::node* Find(std::string_view key);
  // The key with the table's path in front.
  std::string FullKey(std::string_view key) const;
  void ReportMissingKey(std::string_view key, std::string allowed);

  const toml::table& table_;
  const std::string path_;
  const std::string& file_;
  std::vector<Problem>* const problems_;
  std::vector<std::string> known_keys_;
};

}  // namespace vanillafall

#endif  // CONFIG_TOML_READER_H_
