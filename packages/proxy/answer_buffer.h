#ifndef PROXY_ANSWER_BUFFER_H_
#define PROXY_ANSWER_BUFFER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace vanillafall {

// A read buffer for the HTTP library that also watches the head of an answer
// for lines that begin with a blank. The library takes such a line for the rest
// of the field before it, so that a field with a blank in its name would change
// another one, or be missed where it states the length of the body.
class AnswerBuffer : public boost::beast::flat_buffer {
 public:
  using basic_flat_buffer::basic_flat_buffer;

  // The next bytes to be consumed begin the head of an answer.
  void BeginHead();
  // Hides that of the base class. The library calls it with all that the parser
  // has taken.
  void consume(std::size_t bytes);
  // Whether a line of the head, as far as it was consumed, begins with a blank.
  bool has_folded_line() const { return has_folded_line_; }

 private:
  bool is_in_head_ = false;
  bool is_at_line_start_ = false;
  bool has_folded_line_ = false;
};

}  // namespace vanillafall

#endif  // PROXY_ANSWER_BUFFER_H_
