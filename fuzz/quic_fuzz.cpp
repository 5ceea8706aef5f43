// The libFuzzer entry point for the QUIC parsers, built with clang++ if MARBLEHUB_FUZZ is on; see
// docs/quic.md.
#include "quic_parsers.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  marblehub::quic::parse_all({reinterpret_cast<const char*>(data), size});
  return 0;
}
