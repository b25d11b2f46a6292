#include "config/proxy_settings_file.h"

#include <sys/stat.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace vanillafall {

ProxySettingsFile::ProxySettingsFile(std::string path)
    : path_(std::move(path)), last_read_stamp_(ReadStamp()) {}

bool ProxySettingsFile::HasChanged() const {
  return ReadStamp() != last_read_stamp_;
}

std::optional<ProxySettings> ProxySettingsFile::Read() {
  // Taken before the file is read, so that HasChanged() reports a change made
  // during the read.
  last_read_stamp_ = ReadStamp();
  std::ifstream in(path_);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  Parsed<ProxySettings> settings = ParseProxySettings(text.str(), path_);
  if (!settings.ok()) {
    return std::nullopt;
  }
  return std::move(settings.value);
}

ProxySettingsFile::Stamp ProxySettingsFile::ReadStamp() const {
  struct stat state {};
  if (stat(path_.c_str(), &state) != 0) {
    return {};
  }
  return {state.st_ino, state.st_size, state.st_mtim.tv_sec,
          state.st_mtim.tv_nsec};
}

}  // namespace vanillafall
