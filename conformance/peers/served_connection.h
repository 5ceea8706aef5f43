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
  /// `hd`: the header of the Initial that opens the connection; `original`: the destination id of the
  /// client's first Initial; `retry`: the source id of the Retry, if any.
  ServedConnection(Worker& worker, const ngtcp2_pkt_hd& hd, const Endpoint& client,
                   const std::string& original, const std::optional<std::string>& retry);

  /// Processes a datagram from the client and sends what is due.
  void handle_datagram(const Endpoint& client, std::string_view bytes);
  /// Answers LOCK requests that are due, handles timers, and sends what is due, LINK messages included.
  void step();
  /// Sets the router that the latest datagram came through. On a change, the previous router gets LEFT.
  void update_router(const Endpoint& router);
  /// Closes the connection with kMoveCloseCode and sends END to the router.
  void move();
  /// Whether `id` is the original id or one of the issued ids.
  bool has_id(std::string_view id) const;
  const Endpoint& client() const { return client_; }

  std::vector<std::string> ids;  // the connection ids issued by this endpoint, in order

 private:
  // A LOCK request that has not been answered yet.
  struct Lock {
    std::int64_t at;  // when it is answered, as now_us()
    std::int64_t stream;
    std::string text;
  };

  void transmit(const ngtcp2_path& path, std::string_view bytes) override;
  void generate_id(ngtcp2_cid& id, std::uint8_t* token, std::size_t size) override;
  void on_handshake_completed() override;
  void on_message(std::int64_t stream, const std::string& text) override;
  ngtcp2_transport_params transport_params(const std::optional<std::string>& retry) const;

  Worker& worker_;
  const std::string original_id_;  // the destination id of the client's first Initial
  // The client's address on the path used last, and the router that the latest datagram came through, which
  // is known only if the worker gets PROXY headers.
  Endpoint client_, router_;
  std::vector<Lock> locks_;
  std::vector<std::string> unlinked_;  // issued ids for which no LINK has been sent to the router
};

}  // namespace marblehub::peers
