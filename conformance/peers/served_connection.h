/// The worker's endpoint of a connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/connection.h"
#include "peers/worker.h"

namespace marblehub::peers {

/// A connection that a Worker has accepted; owned by it.
class ServedConnection final : public Connection {
 public:
  /// `original`: the destination id of the client's first Initial; `retry`: the source id of the Retry, if
  /// any.
  ServedConnection(Worker& worker, const ngtcp2_pkt_hd& hd, const Endpoint& client,
                   const std::string& original, const std::optional<std::string>& retry);

  void handle_datagram(const Endpoint& client, std::string_view bytes);
  void step();
  /// Sets the router that the latest datagram came through. On a change, the previous router gets LEFT.
  void update_router(const Endpoint& router);
  /// Closes the connection with kMoveCloseCode and sends END to the router.
  void move();
  /// Whether `id` is the original id or one of the issued ids.
  bool has_id(std::string_view id) const;
  const Endpoint& client() const { return client_; }

  std::vector<std::string> ids;

 private:
  // A LOCK request, which is answered at `at`.
  struct Lock {
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
  const std::string first_;  // the destination id of the client's first Initial
  Endpoint client_, router_;
  std::vector<Lock> locks_;
  std::vector<std::string> unlinked_;  // issued ids that the router has not been sent yet
};

}  // namespace marblehub::peers
