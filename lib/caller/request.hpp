// Caller: a client's request, and how its head is read.
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "caller/headers.hpp"
#include "caller/stream.hpp"

namespace dykestage::caller {

/// A client's request, whole.
struct Request {
  std::string method, target;
  Headers headers;
  Body body;
  bool keep = true;
  std::shared_ptr<Stream> stream;
  std::string token = {};  // of the door that it came through; goes with its answer
};

/// Reads a head, its empty last line included; false for lines that readers could understand differently (folds, space
/// before the colon, no colon, control bytes). `isOld` tells HTTP/1.0.
/// Example: `if (!readHead(bytes, request, isOld)) refuse(kBadRequest);`
auto readHead(std::string_view head, Request& request, bool& isOld) -> bool;

/// About what a request takes in memory besides its body: its head, in every form that is kept until its answer has
/// come. A field of a few bytes costs far more than it measures. Example: `grant.grow(costOf(head))`
auto costOf(std::string_view head) -> size_t;

}  // namespace dykestage::caller
