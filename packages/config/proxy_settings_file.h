#ifndef CONFIG_PROXY_SETTINGS_FILE_H_
#define CONFIG_PROXY_SETTINGS_FILE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "config/proxy_settings.h"

namespace vanillafall {

// Source from which a running daemon reloads its settings.
class ProxySettingsSource {
 public:
  virtual ~ProxySettingsSource() = default;
  // True when the settings may have changed since the last Read().
  virtual bool HasChanged() const = 0;
  // Returns nullopt when the settings cannot be read or have problems.
  virtual std::optional<ProxySettings> Read() = 0;
};

// Reads settings from a file, which may be rewritten or replaced by another
// file at any time.
class ProxySettingsFile final : public ProxySettingsSource {
 public:
  // Treats the current state of the file as already read.
  explicit ProxySettingsFile(std::string path);

  bool HasChanged() const override;
  std::optional<ProxySettings> Read() override;

 private:
  // Identifies one state of the file: its inode, size and modification time.
  // All fields are 0 when the file does not exist.
  struct Stamp {
    std::uint64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;

    friend bool operator==(const Stamp&, const Stamp&) = default;
  };

  Stamp ReadStamp() const;

  const std::string path_;
  Stamp last_read_stamp_;
};

}  // namespace vanillafall

#endif  // CONFIG_PROXY_SETTINGS_FILE_H_
