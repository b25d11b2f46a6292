#ifndef CONFIG_PROXY_SETTINGS_FILE_H_
#define CONFIG_PROXY_SETTINGS_FILE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "config/proxy_settings.h"

namespace vanillafall {

// Where a daemon reads its settings again while it runs.
class ProxySettingsSource {
 public:
  virtual ~ProxySettingsSource() = default;
  // Whether they may differ from those that were read last.
  virtual bool HasChanged() const = 0;
  // Empty when they can't be read or are wrong.
  virtual std::optional<ProxySettings> Read() = 0;
};

// A settings file. It may be written anew or replaced by another file at any
// time.
class ProxySettingsFile final : public ProxySettingsSource {
 public:
  // Counts the file as it is now as read.
  explicit ProxySettingsFile(std::string path);

  bool HasChanged() const override;
  std::optional<ProxySettings> Read() override;

 private:
  // What tells one state of the file from another; all 0 without a file.
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
