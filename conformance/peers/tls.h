/// TLS for the peers: one self-signed certificate and one ticket key for all workers of a run.
#pragma once

#include <gnutls/gnutls.h>

#include <cstddef>

namespace marblehub::peers {

/// What a client was given by one worker any other takes up, as it would where they share their keys.
struct TlsCredentials {
  TlsCredentials();
  gnutls_certificate_credentials_t server, client;
  gnutls_datum_t tickets;
  gnutls_anti_replay_t anti_replay;
};

/// Lives as long as the process.
TlsCredentials& tls();

/// TLS 1.3 with the ciphers that QUIC has.
extern const char* const kTlsPriority;

/// Offers the application's protocol, and others that make the ClientHello longer by about `padding` octets.
void set_alpn(gnutls_session_t session, std::size_t padding);

}  // namespace marblehub::peers
