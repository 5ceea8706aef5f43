// The second front's own file, deploy/quic.json. It is off unless the file enables it.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/options.h"
#include "quic/connection_id.h"

namespace marblehub::quic {

struct QuicSettings {
  bool enabled = false;
  std::string listen;
  std::string request_class;
  lemonspread::Time deadline = 0, idle = 0;
  std::size_t calls = 0, paths = 0;  // the most of each; one path needs one descriptor
  std::vector<IdConfig> ids;
  // Workers whose server id or address differs from the rule (SHA-256 of the name; the registry's address).
  struct Worker {
    std::string server_id, address;
  };
  std::map<std::string, Worker> workers;
};

QuicSettings quic_settings_from(const config::Options& options);

}  // namespace marblehub::quic
