/// TLS for the peers: one self-signed certificate and one ticket key for all workers of a run.
#pragma once

#include <gnutls/gnutls.h>

#include <cstddef>

namespace marblehub::peers {

/// The credentials of all peers. All workers share the ticket key, so that a ticket is valid at any of them.
struct TlsCredentials {
  TlsCredentials();
  gnutls_certificate_credentials_t server, client;
  gnutls_datum_t tickets;
  gnutls_anti_replay_t anti_replay;
};

/// The shared credentials, which exist until the process ends.
TlsCredentials& tls();

/// The GnuTLS priority string: TLS 1.3 with cipher suites that QUIC supports.
extern const char* const kTlsPriority;

/// Offers the application's ALPN protocol, and dummy ones that lengthen the ClientHello by about `padding`
/// bytes.
void set_alpn(gnutls_session_t session, std::size_t padding);

}  // namespace marblehub::peers
