// Program: what a process tells of its clients' memory and connections, on its status page and in its log.
#pragma once
#include <cstdint>
#include <string>

#include "base/memory_account.hpp"
#include "caller/face.hpp"
#include "caller/pending_answers.hpp"
#include "operator/configuration.hpp"

namespace dykestage::program {

/// Adds the account by use, and what clients were refused or shed for. Example: `addMemory(page, *memory, *face,
/// writing);`
auto addMemory(op::StatusPage& page, const MemoryAccount& memory, const caller::Face& face,
               const caller::PendingAnswers& pending) -> void;

/// Tells in the log what was done about clients since it told last, if anything was.
/// Example: `overloadLog.tell(face->figures(), writing.shed());`
class OverloadLog {
 public:
  /// `program` stands before each line.
  explicit OverloadLog(std::string program) : program_(std::move(program)) {}
  auto tell(const caller::Face::Figures& now, uint64_t shedReaders) -> void;

 private:
  std::string program_;
  caller::Face::Figures last_;
  uint64_t shedReaders_ = 0;
};

}  // namespace dykestage::program
