/// A worker's end of a connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/connection.h"
#include "peers/worker.h"

namespace marblehub::peers {

class ServedConnection final : public Connection {
 public:
  /// `original`: the id that the client's very first Initial went to; `retry`: the one that a Retry gave it.
  ServedConnection(Worker& worker, const ngtcp2_pkt_hd& hd, const Endpoint& client,
                   const std::string& original, const std::optional<std::string>& retry);

  void handle_datagram(const Endpoint& client, std::string_view bytes);
  void step();
  /// Through another router than before: the one before is told that the connection has left it.
  void update_router(const Endpoint& router);
  /// Closes it with the code for "come again".
  void move();
  bool has_id(std::string_view id) const;
  const Endpoint& client() const { return client_; }

  std::vector<std::string> ids;

 private:
  struct Lock {  // a command that is answered only after a while
    std::int64_t at;
    std::int64_t stream;
    std::string text;
  };

  void transmit(const ngtcp2_path& path, std::string_view bytes) override;
  void generate_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) override;
  void on_handshake_completed() override;
  void on_message(std::int64_t stream, const std::string& text) override;
  ngtcp2_transport_params transport_params(const std::optional<std::string>& retry) const;

  Worker& worker_;
  const std::string first_;  // the id that the client's very first Initial went to
  Endpoint client_, router_;
  std::vector<Lock> locks_;
  std::vector<std::string> unlinked_;
};

}  // namespace marblehub::peers
