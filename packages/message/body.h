#ifndef MESSAGE_BODY_H_
#define MESSAGE_BODY_H_

#include <concepts>
#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace vanillafall {

// The body of an HTTP message. Copies share the bytes, so that a body of many
// megabytes is in memory once, however many messages of a process hold it.
class Body {
 public:
  Body() = default;
  // Implicit, because a body is text to those who make messages.
  Body(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(text.empty() ? nullptr
                           : std::make_shared<std::string>(std::move(text))) {}
  Body(const char* text)  // NOLINT(google-explicit-constructor)
      : Body(std::string(text)) {}
  // Shares text whose owner also accounts for its memory. The text must not
  // change any more.
  explicit Body(std::shared_ptr<std::string> text) : text_(std::move(text)) {}

  const std::string& text() const {
    static const std::string empty;
    return text_ ? *text_ : empty;
  }
  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return text();
  }
  const char* data() const { return text().data(); }
  std::size_t size() const { return text_ ? text_->size() : 0; }
  bool empty() const { return size() == 0; }

  // The changing functions copy the bytes first when they are shared.
  void append(const char* data, std::size_t size) {
    if (!text_ || text_.use_count() > 1) {
      text_ = std::make_shared<std::string>(text());
    }
    text_->append(data, size);
  }

  friend bool operator==(const Body& a, const Body& b) {
    return a.text_ == b.text_ || a.text() == b.text();
  }
  template <std::convertible_to<std::string_view> Text>
  friend bool operator==(const Body& a, const Text& b) {
    return a.text() == std::string_view(b);
  }
  friend std::ostream& operator<<(std::ostream& out, const Body& body) {
    return out << body.text();
  }

 private:
  // Null for an empty body.
  std::shared_ptr<std::string> text_;
};

}  // namespace vanillafall

#endif  // MESSAGE_BODY_H_
