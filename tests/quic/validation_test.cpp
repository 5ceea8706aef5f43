// Address validation with Retry tokens, and stateless resets.
#include <catch2/catch.hpp>

#include "application.h"
#include "quic/parts.h"

namespace marblehub::test {

// ---- Address validation ----------------------------------------------------------------------------

TEST_CASE("a Retry token is accepted once, in time, from its own address and with its own id") {
  AddressValidation validation({.mode = RetryMode::always});
  using Verdict = AddressValidation::Verdict;
  Endpoint address = at("127.0.0.1:4000"), other_address = at("127.0.0.1:4001");
  Header first = initial_of("original id");
  CHECK(validation.validate(first, address, kStart).verdict == Verdict::send_retry);
  ParsedRetry retry_reply(validation, first, address, kStart);
  CHECK(retry_is_authentic(retry_reply.packet, "original id"));
  CHECK(unroutable(retry_reply.id));
  Header second = initial_of(retry_reply.id, retry_reply.token);

  SECTION("accepted, then replayed") {
    auto decision = validation.validate(second, address, kStart + kSecond);
    CHECK(decision.verdict == Verdict::accept);
    REQUIRE(decision.token.has_value());
    CHECK(decision.token->original_id == "original id");
    CHECK(decision.token->retry_id == retry_reply.id);
    CHECK(validation.validate(second, address, kStart + 2 * kSecond).verdict == Verdict::reject);
  }
  SECTION("late") {
    CHECK(validation.validate(second, address, kStart + 11 * kSecond).verdict == Verdict::reject);
  }
  SECTION("another address") {
    CHECK(validation.validate(second, other_address, kStart + kSecond).verdict == Verdict::reject);
  }
  SECTION("another id") {
    CHECK(
        validation.validate(initial_of("another id", retry_reply.token), address, kStart + kSecond).verdict ==
        Verdict::reject);
  }
  SECTION("changed at any byte") {
    for (std::size_t i = 4; i < retry_reply.token.size(); ++i) {
      std::string changed = retry_reply.token;
      changed[i] = static_cast<char>(changed[i] ^ 0x20);
      INFO(i);
      CHECK(validation.validate(initial_of(retry_reply.id, changed), address, kStart + kSecond).verdict ==
            Verdict::reject);
    }
  }
  SECTION("a worker's NEW_TOKEN token is treated as absent") {
    CHECK(validation.validate(initial_of("original id", "a token of a worker's"), address, kStart).verdict ==
          Verdict::send_retry);
  }
}

TEST_CASE("tokens stay valid over one change of their key and at every balancer with the same secret") {
  ValidationSettings settings{.mode = RetryMode::always,
                              .token_lifetime = 10 * kSecond,
                              .key_lifetime = 20 * kSecond,
                              .secret = std::string(16, 's')};
  AddressValidation issuer(settings), other_balancer(settings);
  settings.secret = std::string(16, 't');
  AddressValidation other_secret(settings);
  Endpoint address = at("[::1]:4000");
  std::int64_t before_key_change =
      (kStart / (20 * kSecond) + 1) * 20 * kSecond - kSecond;  // one second before the key changes
  ParsedRetry retry_reply(issuer, initial_of("original id"), address, before_key_change);
  Header second = initial_of(retry_reply.id, retry_reply.token);
  using Verdict = AddressValidation::Verdict;
  CHECK(other_secret.validate(second, address, before_key_change).verdict == Verdict::reject);
  CHECK(other_balancer.validate(second, address, before_key_change + 2 * kSecond).verdict == Verdict::accept);
  TokenSealer sealer(std::string(16, 's'), 20 * kSecond);
  CHECK(sealer.open(retry_reply.token, address, before_key_change + 2 * kSecond).has_value());
  CHECK_FALSE(sealer.open(retry_reply.token, address, before_key_change + 25 * kSecond)
                  .has_value());  // two keys later
}

TEST_CASE("Retry is required above a rate of unvalidated Initials until the rate falls to half of it") {
  AddressValidation validation({.mode = RetryMode::from_rate, .from_rate = 100});
  Endpoint address = at("127.0.0.1:4000");
  auto retries_in_second = [&](int second, int initials) {
    int retry_count = 0;
    for (int i = 0; i < initials; ++i)
      retry_count += validation
                         .validate(initial_of("original id"), address,
                                   kStart + second * kSecond + i * kSecond / initials)
                         .verdict == AddressValidation::Verdict::send_retry;
    return retry_count;
  };
  CHECK(retries_in_second(0, 80) == 0);
  CHECK(retries_in_second(1, 90) == 0);
  CHECK(retries_in_second(2, 400) > 250);
  CHECK(validation.requires_retry());
  CHECK(retries_in_second(3, 70) == 70);  // over half: it stays on
  retries_in_second(4, 20);
  CHECK(retries_in_second(5, 20) == 0);
  CHECK_FALSE(validation.requires_retry());
  // In the mode never no rate makes Retry required.
  AddressValidation never_validation({.mode = RetryMode::never});
  for (int i = 0; i < 5000; ++i)
    CHECK(never_validation.validate(initial_of("original id"), address, kStart).verdict ==
          AddressValidation::Verdict::accept);
}

// ---- Stateless resets ------------------------------------------------------------------------------

TEST_CASE("a stateless reset is shorter than the received packet, ends with the token and is rate-limited") {
  std::string key(16, 'r');
  StatelessReset reset(key, 5);
  for (std::size_t received : {22u, 30u, 44u, 1200u}) {
    auto packet = reset.answer("connection", received, kStart);
    REQUIRE(packet.has_value());
    CHECK(packet->size() >= 21);
    CHECK(packet->size() < received);
    CHECK((static_cast<unsigned char>((*packet)[0]) & 0xc0) == 0x40);
    CHECK(packet->substr(packet->size() - 16) == stateless_reset_token(key, "connection"));
  }
  CHECK_FALSE(reset.answer("connection", 21, kStart).has_value());
  CHECK(reset.answer("connection", 100, kStart).has_value());
  CHECK_FALSE(reset.answer("connection", 100, kStart).has_value());  // the rate of five a second is used up
  CHECK(reset.answer("connection", 100, kStart + kSecond / 4).has_value());
  CHECK_FALSE(StatelessReset("", 5).answer("connection", 100, kStart).has_value());
  CHECK(stateless_reset_token(key, "a") != stateless_reset_token(key, "b"));
}

}  // namespace marblehub::test
