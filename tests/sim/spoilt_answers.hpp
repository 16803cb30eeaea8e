// Sim: answers that an upstream in trouble sends: sound ones of which some bytes are spoilt.
#pragma once
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dykestage::sim {

/// An answer with one fault.
struct SpoiltAnswer {
  std::string name;   // of the fault
  std::string bytes;  // as they are sent
};

/// A whole answer of status 200 with a length. `fields` are lines of its head, each with its end.
/// Example: `countedAnswer("Seal: s\r\n", "body")`
auto countedAnswer(const std::string& fields, const std::string& body) -> std::string;
/// The same in chunks of 100 bytes.
auto chunkedAnswer(const std::string& fields, const std::string& body) -> std::string;

/// Answers whose head is not sound, one for each way in which a head can be broken.
auto spoiltHeads(const std::string& fields, const std::string& body) -> std::vector<SpoiltAnswer>;
/// Answers whose body is not framed soundly: chunks, last chunks and trailers.
auto spoiltBodies(const std::string& fields, const std::string& body) -> std::vector<SpoiltAnswer>;

/// Changes one to three bytes of an answer's head, and nothing behind it.
auto spoilHead(std::string answer, std::mt19937_64& random) -> std::string;

/// One of all these, drawn, which no strict reader takes for a whole answer.
auto brokenAnswer(const std::string& fields, const std::string& body, std::mt19937_64& random) -> std::string;

/// What an answer's bytes mean to a strict reader that asked by GET, written apart from the product's own; nothing
/// where they are not a whole sound answer. Example: `meaningOf("HTTP/1.1 200 OK\r\nContent-Length:
/// 0\r\n\r\n")->status`
struct Meaning {
  int status = 0;
  std::string body;
};
auto meaningOf(const std::string& bytes) -> std::optional<Meaning>;

}  // namespace dykestage::sim
