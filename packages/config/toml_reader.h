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

// Throws std::logic_error. What the TOML library would assert, damaged text can
// break; ParseToml turns it into a problem with the file, as it does with every
// other error of syntax.
[[noreturn]] void ThrowTomlError(const char* failed_condition);

}  // namespace vanillafall

#define TOML_ASSERT(expression)        \
  ((expression) ? static_cast<void>(0) \
                : ::vanillafall::ThrowTomlError(#expression))
#include <toml++/toml.h>

namespace vanillafall {

// Parses TOML text; a syntax error becomes a problem and an empty table.
toml::table ParseToml(std::string_view text,
                      const std::string& file,
                      std::vector<Problem>* problems);

// Reads the keys of one table, notes every problem, and at the end names the
// keys that nobody asked for. Internal to module config.
class TomlReader {
 public:
  // The path names the table in problems, such as "limits"; empty at the root.
  TomlReader(const toml::table& table,
             std::string path,
             const std::string& file,
             std::vector<Problem>* problems);
  TomlReader(const TomlReader&) = delete;
  TomlReader& operator=(const TomlReader&) = delete;

  // Whether the key must be there.
  enum class Need { kRequired, kOptional };

  std::string GetString(std::string_view key, Need need);
  // "host:port" with an IPv4 host.
  std::string GetAddress(std::string_view key, Need need);
  std::int64_t GetInteger(std::string_view key,
                          std::int64_t fallback,
                          std::int64_t min,
                          std::int64_t max);
  std::int64_t GetRequiredInteger(std::string_view key,
                                  std::int64_t min,
                                  std::int64_t max);
  // Text such as "250ms", "5s" or "15m".
  std::chrono::milliseconds GetDuration(std::string_view key,
                                        std::chrono::milliseconds fallback,
                                        std::chrono::milliseconds min,
                                        std::chrono::milliseconds max);
  // Index of the text among the choices; 0 when the key is absent.
  std::size_t GetChoice(std::string_view key,
                        std::initializer_list<std::string_view> choices);
  std::vector<std::string> GetStrings(std::string_view key, Need need);
  std::vector<std::string> GetAddresses(std::string_view key);
  // A sub-table, or an empty one.
  const toml::table& GetTable(std::string_view key);
  std::vector<const toml::table*> GetTables(std::string_view key, Need need);

  void AddProblem(std::string_view key,
                  const toml::node* node,
                  std::string found,
                  std::string allowed);
  // Notes each key that was never read. Call once, last.
  void ReportUnknownKeys();

 private:
  const toml::node* Find(std::string_view key);
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
