#ifndef TRANSPORT_WAKE_FD_H_
#define TRANSPORT_WAKE_FD_H_

namespace vanillafall {

// A file descriptor that becomes readable when any thread calls Wake. The
// waiting thread calls Clear before it looks at its work.
class WakeFd {
 public:
  WakeFd();
  ~WakeFd();
  WakeFd(const WakeFd&) = delete;
  WakeFd& operator=(const WakeFd&) = delete;

  void Wake();
  void Clear();
  int fd() const { return fd_; }

 private:
  const int fd_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_WAKE_FD_H_
