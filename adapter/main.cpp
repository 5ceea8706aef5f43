// Serves the line protocol of the simulator on standard input and output.
#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    marblehub::policy::adapter::Adapter().serve(std::cin, std::cout);
  } catch (const std::exception& error) {
    std::cerr << "marblehub-adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
