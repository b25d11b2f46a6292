#include "proxy/answer_buffer.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace vanillafall {
namespace {

// Whether the head of this text has a folded line, when it is consumed in parts
// of this size.
bool HasFoldedLine(const std::string& text, std::size_t part) {
  AnswerBuffer buffer;
  buffer.BeginHead();
  buffer.commit(boost::asio::buffer_copy(buffer.prepare(text.size()),
                                         boost::asio::buffer(text)));
  while (buffer.size() > 0) {
    buffer.consume(part);
  }
  return buffer.has_folded_line();
}

TEST_CASE("a line of a head that begins with a blank is noticed", "[buffer]") {
  const std::size_t part = GENERATE(1, 2, 1000);
  CHECK(HasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", part));
  CHECK(HasFoldedLine("HTTP/1.1 200 OK\r\n\tA: b\r\n\r\n", part));
}

TEST_CASE("blanks elsewhere are no folded line", "[buffer]") {
  const std::size_t part = GENERATE(1, 2, 1000);
  CHECK_FALSE(
      HasFoldedLine("HTTP/1.1 200 OK\r\nA: b c \r\nD:  e\r\n\r\n", part));
  // The body may have any lines.
  CHECK_FALSE(HasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n\r\nx\r\n y", part));
}

TEST_CASE("each head is watched anew", "[buffer]") {
  const std::string folded = "HTTP/1.1 102 P\r\nA: b\r\n C: d\r\n\r\n";
  AnswerBuffer buffer;
  buffer.BeginHead();
  buffer.commit(boost::asio::buffer_copy(buffer.prepare(folded.size()),
                                         boost::asio::buffer(folded)));
  buffer.consume(folded.size());
  CHECK(buffer.has_folded_line());
  buffer.BeginHead();
  CHECK_FALSE(buffer.has_folded_line());
}

}  // namespace
}  // namespace vanillafall
