// Caller: the header names that callers and upstreams use beside those of HTTP itself. An empty name is not used.
#pragma once
#include <string>

namespace dykestage::caller {

/// The product's own names; a deployment may set others. Example: `header(answer.headers, names.load)`
struct HeaderNames {
  std::string tryId;                            // names one try of a caller; an answer has the same value
  std::string timeLeft;                         // ms that the caller, or this system, will wait
  std::string instance = "Dykestage-Instance";  // the upstream instance that is meant; any other answers 421
  std::string service = "Dykestage-Service";    // the service that is meant
  std::string extra = "Dykestage-Extra";        // marks extra tries
  std::string load = "Dykestage-Load";          // an upstream's load: a share of 1, or running,waiting,slots
  std::string labels = "Dykestage-Labels";      // of an object, for purges; parted by commas or spaces
  std::string notRun;                           // an upstream says that it did not run the request
  std::string seal;                             // an upstream's whole answer carries it
};

}  // namespace dykestage::caller
