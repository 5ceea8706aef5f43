// The libFuzzer target, built by clang++ with MARBLEHUB_FUZZ on; see docs/fleet-checks.md.
#include "fleet_readers.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  marblehub::fleet::fuzzing::try_all_decoders(
      bytes.substr(size > 0));  // the first byte is for deliver_to_node
  marblehub::fleet::fuzzing::deliver_to_node(bytes);
  return 0;
}
