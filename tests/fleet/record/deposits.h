/// Commands that tests of the record propose.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/record/command.h"

namespace marblehub::fleet {

/// A deposit to the wallet "w" with the given id.
inline Body deposit(int id, std::int64_t amount = 1) {
  Deposit body;
  body.wallet = "w";
  body.deposit = std::to_string(id);
  body.amount = amount;
  return body;
}

}  // namespace marblehub::fleet
