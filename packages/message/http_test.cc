#include "message/http.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

TEST_CASE("a header name is a token", "[http]") {
  CHECK(IsHeaderName("X-Request-Id"));
  CHECK(IsHeaderName("!#$%&'*+-.^_`|~09azAZ"));
  CHECK_FALSE(IsHeaderName(""));
  for (int byte = 0; byte < 256; ++byte) {
    CAPTURE(byte);
    const std::string name = std::string("X") + static_cast<char>(byte) + "Y";
    const bool is_graphic = byte > ' ' && byte < 0x7f;
    const bool is_separator =
        is_graphic &&
        std::string_view("\"(),/:;<=>?@[\\]{}").find(static_cast<char>(byte)) !=
            std::string_view::npos;
    CHECK(IsHeaderName(name) == (is_graphic && !is_separator));
  }
}

TEST_CASE("a status is a number from 100 to 599", "[http]") {
  for (const int status : {-1, 0, 99, 600, 999}) {
    CHECK_FALSE(IsStatus(status));
  }
  for (const int status : {100, 200, 299, 599}) {
    CHECK(IsStatus(status));
  }
}

TEST_CASE("a line of a head is a status line, a field or empty", "[http]") {
  for (const char* line :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 599\r\n", "HTTP/1.1 100 Continue\n",
        "X-Mark: a b\r\n", "X-Mark:\r\n", "\r\n", "\n", ""}) {
    CAPTURE(line);
    CHECK(IsHeadLineValid(line));
  }
  for (const char* line :
       {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099\r\n", "HTTP/1.1 600 X\r\n",
        "HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 -20 OK\r\n",
        "HTTP/1.1\r\n", "X Mark: a\r\n", " X-Mark: a\r\n", "X-Mark : a\r\n",
        "X-\x01Mark: a\r\n", "\tfolded\r\n", ": a\r\n", "no field\r\n"}) {
    CAPTURE(line);
    CHECK_FALSE(IsHeadLineValid(line));
  }
}

TEST_CASE("an answer with a status or a name that is none is not final",
          "[http]") {
  CHECK(IsFinalAnswer({200, {{"X-Mark", "m"}}, ""}));
  CHECK_FALSE(IsFinalAnswer({0, {}, ""}));
  CHECK_FALSE(IsFinalAnswer({102, {}, ""}));
  CHECK_FALSE(IsFinalAnswer({200, {{"X Mark", "m"}}, ""}));
}

}  // namespace
}  // namespace vanillafall
