#ifndef TRANSPORT_WAKE_FD_H_
#define TRANSPORT_WAKE_FD_H_

namespace vanillafall {

// A file descriptor that becomes readable when any thread calls Wake. The
// waiting thread must call Clear before it checks for work, or it could miss
// work that arrives in between.
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
