#include "peers/tls.h"

#include <fmt/format.h>
#include <gnutls/crypto.h>
#include <gnutls/x509.h>

#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

#include "peers/ngtcp2_support.h"

namespace marblehub::peers {

const char* const kTlsPriority =
    "%DISABLE_TLS13_COMPAT_MODE:NORMAL:-VERS-ALL:+VERS-TLS1.3:-CIPHER-ALL:+AES-128-GCM:+CHACHA20-POLY1305:"
    "-GROUP-ALL:+GROUP-X25519";

TlsCredentials::TlsCredentials() {
  gnutls_x509_privkey_t key;
  gnutls_x509_crt_t certificate;
  gnutls_x509_privkey_init(&key);
  gnutls_x509_crt_init(&certificate);
  require(gnutls_x509_privkey_generate(key, GNUTLS_PK_ECDSA, GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1),
                                       0) == 0,
          "cannot generate a private key");
  gnutls_x509_crt_set_version(certificate, 3);
  gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0, "worker", 6);
  gnutls_x509_crt_set_key(certificate, key);
  gnutls_x509_crt_set_serial(certificate, "\1", 1);
  gnutls_x509_crt_set_activation_time(certificate, ::time(nullptr) - 3600);
  gnutls_x509_crt_set_expiration_time(certificate, ::time(nullptr) + 86400);
  require(gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256, 0) == 0,
          "cannot sign the certificate");
  gnutls_certificate_allocate_credentials(&server);
  gnutls_certificate_allocate_credentials(&client);  // accepts any certificate
  gnutls_certificate_set_x509_key(server, &certificate, 1, key);
  gnutls_x509_crt_deinit(certificate);
  gnutls_x509_privkey_deinit(key);
  gnutls_session_ticket_key_generate(&tickets);
  gnutls_anti_replay_init(&anti_replay);
  gnutls_anti_replay_set_add_function(
      anti_replay, [](void*, time_t, const gnutls_datum_t*, const gnutls_datum_t*) { return 0; });
}

TlsCredentials& tls() {
  static TlsCredentials all;
  return all;
}

void set_alpn(gnutls_session_t session, std::size_t padding) {
  std::vector<std::string> names{"scooter"};
  for (std::size_t left = padding, i = 0; left > 0; ++i) {
    std::size_t size = std::min<std::size_t>(left, 200);
    names.push_back(fmt::format("{:06}", i) + std::string(size, 'x'));
    left -= size;
  }
  std::vector<gnutls_datum_t> protocols;
  protocols.reserve(names.size());
  for (std::string& name : names)
    protocols.push_back({reinterpret_cast<unsigned char*>(name.data()), static_cast<unsigned>(name.size())});
  gnutls_alpn_set_protocols(session, protocols.data(), static_cast<unsigned>(protocols.size()), 0);
}

}  // namespace marblehub::peers
