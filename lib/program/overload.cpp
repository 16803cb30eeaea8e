#include "program/overload.hpp"

#include <glog/logging.h>

#include <utility>

namespace dykestage::program {

auto addMemory(op::StatusPage& page, const MemoryAccount& memory, const caller::Face& face,
               const caller::PendingAnswers& pending) -> void {
  auto number = [&](const char* key, uint64_t value) { page.number(key, static_cast<double>(value)); };
  number("memoryBytes", memory.totalBytes());
  number("memoryUsed", memory.usedBytes());
  number("memoryConnections", memory.usedBytes(MemoryUse::kConnections));
  number("memoryRequests", memory.usedBytes(MemoryUse::kRequests));
  number("memoryAnswers", memory.usedBytes(MemoryUse::kAnswers));
  number("memoryPeers", memory.usedBytes(MemoryUse::kPeers));
  auto f = face.figures();
  number("connections", face.streams());
  number("overloaded", f.overloaded);
  number("shedRequests", f.shed);
  number("shedReaders", pending.shed());
  number("idleClosed", f.idleClosed);
  number("closedAtOnce", f.closedAtOnce);
}

auto OverloadLog::tell(const caller::Face::Figures& now, uint64_t shedReaders) -> void {
  auto refused = now.overloaded - last_.overloaded, shed = now.shed - last_.shed;
  auto idle = now.idleClosed - last_.idleClosed, atOnce = now.closedAtOnce - last_.closedAtOnce;
  auto readers = shedReaders - std::exchange(shedReaders_, shedReaders);
  if (refused + idle + atOnce + readers > 0)
    LOG(WARNING) << program_ << ": Short of memory or connections: " << refused << " requests refused, " << shed
                 << " of them since they came too slowly; " << readers << " slow readers ended; " << idle
                 << " idle connections ended early, " << atOnce << " closed at once.";
  last_ = now;
}

}  // namespace dykestage::program
