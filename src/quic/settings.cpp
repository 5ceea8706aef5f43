#include "quic/settings.h"

#include "quic/packet.h"

namespace marblehub::quic {

QuicSettings quic_settings_from(const config::Options& options) {
  QuicSettings s;
  s.enabled = options.flag("enabled");
  s.listen = options.text("listen");
  s.request_class = options.text("class");
  s.deadline = options.number<lemonspread::Time>("deadline_ms", 1) * 1000;
  s.idle = options.number<lemonspread::Time>("idle_ms", 1000) * 1000;
  s.calls = options.number<std::size_t>("calls", 1);
  s.paths = options.number<std::size_t>("paths", 1);
  auto text_or = [&](const std::string& key) {
    const std::string* value = options.find(key);
    return value ? *value : std::string();
  };
  auto hex_at = [&](const std::string& key) {
    auto bytes = unhex(text_or(key));
    if (!bytes) options.refuse(key, "hexadecimal digits");
    return *bytes;
  };
  auto count = options.number<std::size_t>("ids.count", 1);
  for (std::size_t i = 0; i < count; ++i) {
    std::string path = "ids." + std::to_string(i) + ".";
    IdConfig config;
    config.rotation = options.number<unsigned>(path + "rotation", 0);
    config.server_id_length = options.number<std::size_t>(path + "server_id_length", 1);
    config.nonce_length = options.number<std::size_t>(path + "nonce_length", 1);
    config.key = hex_at(path + "key");
    if (std::string error = config_error(config); !error.empty())
      options.refuse(path + error.substr(0, error.find(':')), error.substr(error.find(':') + 2));
    for (const IdConfig& other : s.ids)
      if (other.rotation == config.rotation)
        options.refuse(path + "rotation", "one that no other config has");
    s.ids.push_back(std::move(config));
  }
  count = options.number_or<std::size_t>("workers.count", 0, 0);
  for (std::size_t i = 0; i < count; ++i) {
    std::string path = "workers." + std::to_string(i) + ".";
    s.workers[options.text(path + "name")] = {hex_at(path + "server_id"), text_or(path + "address")};
  }
  return s;
}

}  // namespace marblehub::quic
