#include "transport/wake_fd.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <system_error>

namespace vanillafall {
namespace {

int MakeEventFd() {
  const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (fd < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  return fd;
}

}  // namespace

WakeFd::WakeFd() : fd_(MakeEventFd()) {}

WakeFd::~WakeFd() {
  close(fd_);
}

void WakeFd::Wake() {
  const std::uint64_t one = 1;
  // The write fails only when the counter is full, and then a wake is pending.
  static_cast<void>(!write(fd_, &one, sizeof(one)));
}

void WakeFd::Clear() {
  std::uint64_t count = 0;
  static_cast<void>(!read(fd_, &count, sizeof(count)));
}

}  // namespace vanillafall
