#include "proxy/answer_buffer.h"

#include <algorithm>
#include <string_view>

namespace vanillafall {

void AnswerBuffer::BeginHead() {
  is_in_head_ = true;
  is_at_line_start_ = true;
  has_folded_line_ = false;
}

void AnswerBuffer::consume(std::size_t bytes) {
  const std::string_view taken(static_cast<const char*>(data().data()),
                               std::min(bytes, size()));
  for (const char c : taken) {
    if (!is_in_head_) {
      break;
    }
    if (is_at_line_start_) {
      has_folded_line_ = has_folded_line_ || c == ' ' || c == '\t';
      // An empty line ends the head.
      is_in_head_ = c != '\r';
    }
    is_at_line_start_ = c == '\n';
  }
  boost::beast::flat_buffer::consume(bytes);
}

}  // namespace vanillafall
