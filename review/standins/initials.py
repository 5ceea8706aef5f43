"""Protected Initial packets of QUIC version 1 (RFC 9000, 17.2.2; RFC 9001, 5): the one kind of packet that the router
opens. AES-128 and GCM are written out here, since the standard library has neither; a packet takes some
milliseconds."""

import hashlib
import hmac
import os

SALT = bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a")
VERSION = b"\x00\x00\x00\x01"


def _make_sbox():
    box, p, q = [0] * 256, 1, 1
    while True:
        p = p ^ (p << 1) & 0xFF ^ (0x1B if p & 0x80 else 0)
        q ^= q << 1
        q ^= q << 2
        q ^= q << 4
        q &= 0xFF
        if q & 0x80:
            q ^= 0x09
        x = q
        for shift in (1, 2, 3, 4):
            x ^= (q << shift | q >> 8 - shift) & 0xFF
        box[p] = x ^ 0x63
        if p == 1:
            break
    box[0] = 0x63
    return box


SBOX = _make_sbox()
DOUBLE = [(x << 1) & 0xFF ^ (0x1B if x & 0x80 else 0) for x in range(256)]


def _round_keys(key):
    words = [list(key[i:i + 4]) for i in range(0, 16, 4)]
    rcon = 1
    for i in range(4, 44):
        word = list(words[i - 1])
        if i % 4 == 0:
            word = [SBOX[b] for b in word[1:] + word[:1]]
            word[0] ^= rcon
            rcon = DOUBLE[rcon]
        words.append([a ^ b for a, b in zip(words[i - 4], word)])
    return [sum(words[i:i + 4], []) for i in range(0, 44, 4)]


class Aes:
    """AES-128, encryption of single blocks."""

    def __init__(self, key):
        self.keys = _round_keys(key)

    def block(self, data):
        state = [a ^ b for a, b in zip(data, self.keys[0])]
        for number in range(1, 11):
            state = [SBOX[state[(i + 4 * (i % 4)) % 16]] for i in range(16)]
            if number < 10:
                mixed = []
                for c in range(0, 16, 4):
                    column = state[c:c + 4]
                    total = column[0] ^ column[1] ^ column[2] ^ column[3]
                    for i in range(4):
                        mixed.append(column[i] ^ total ^ DOUBLE[column[i] ^ column[(i + 1) % 4]])
                state = mixed
            state = [a ^ b for a, b in zip(state, self.keys[number])]
        return bytes(state)


def _multiply(x, y):
    product = 0
    for i in range(127, -1, -1):
        if x >> i & 1:
            product ^= y
        y = y >> 1 ^ (0xE1 << 120 if y & 1 else 0)
    return product


class Gcm:
    """AES-128-GCM."""

    def __init__(self, key):
        self.aes = Aes(key)
        self.h = int.from_bytes(self.aes.block(bytes(16)), "big")

    def _crypt(self, nonce, data):
        out = bytearray()
        for i in range(0, len(data), 16):
            stream = self.aes.block(nonce + (2 + i // 16).to_bytes(4, "big"))
            out += bytes(a ^ b for a, b in zip(data[i:i + 16], stream))
        return bytes(out)

    def _tag(self, nonce, aad, sealed):
        y = 0
        for part in (aad, sealed):
            for i in range(0, len(part), 16):
                y = _multiply(y ^ int.from_bytes(part[i:i + 16].ljust(16, b"\0"), "big"), self.h)
        y = _multiply(y ^ (len(aad) * 8 << 64 | len(sealed) * 8), self.h)
        mask = self.aes.block(nonce + b"\0\0\0\1")
        return bytes(a ^ b for a, b in zip(y.to_bytes(16, "big"), mask))

    def seal(self, nonce, plain, aad):
        sealed = self._crypt(nonce, plain)
        return sealed + self._tag(nonce, aad, sealed)

    def open(self, nonce, sealed, aad):
        body, tag = sealed[:-16], sealed[-16:]
        return self._crypt(nonce, body) if hmac.compare_digest(tag, self._tag(nonce, aad, body)) else None


def _expand_label(secret, label, length):
    full = b"tls13 " + label
    info = length.to_bytes(2, "big") + bytes([len(full)]) + full + b"\0"
    return hmac.new(secret, info + b"\1", hashlib.sha256).digest()[:length]


class Keys:
    """The keys of one side's Initials, which follow from the first destination id."""

    def __init__(self, first_destination, server):
        initial = hmac.new(SALT, first_destination, hashlib.sha256).digest()
        secret = _expand_label(initial, b"server in" if server else b"client in", 32)
        self.gcm = Gcm(_expand_label(secret, b"quic key", 16))
        self.iv = _expand_label(secret, b"quic iv", 12)
        self.hp = Aes(_expand_label(secret, b"quic hp", 16))

    def nonce(self, number):
        return bytes(a ^ b for a, b in zip(self.iv, number.to_bytes(12, "big")))


def varint(value):
    if value < 0x40:
        return bytes([value])
    return (value | 0x4000).to_bytes(2, "big") if value < 0x4000 else (value | 0x80000000).to_bytes(4, "big")


def take_varint(data, at):
    size = 1 << (data[at] >> 6)
    return int.from_bytes(data[at:at + size], "big") & (1 << 8 * size - 2) - 1, at + size


def long_header(data):
    """(destination id, source id, offset behind them) of a long header."""
    at = 6 + data[5]
    end = at + 1 + data[at]
    return data[6:at], data[at + 1:end], end


def seal(keys, destination, source, number, frames, least=0):
    """An Initial; PADDING fills the datagram up to `least` octets."""
    head = VERSION + bytes([len(destination)]) + destination + bytes([len(source)]) + source + b"\0"
    frames += bytes(max(0, least - (1 + len(head) + 2 + 4 + len(frames) + 16)))
    head = b"\xc3" + head + varint(4 + len(frames) + 16)
    at = len(head)
    packet = bytearray(head + number.to_bytes(4, "big"))
    packet += keys.gcm.seal(keys.nonce(number), frames, bytes(packet))
    mask = keys.hp.block(bytes(packet[at + 4:at + 20]))
    packet[0] ^= mask[0] & 0x0F
    for i in range(4):
        packet[at + i] ^= mask[1 + i]
    return bytes(packet)


def open_initial(keys, data):
    """The frames of an Initial; None if it does not open under these keys."""
    _, _, at = long_header(data)
    token, at = take_varint(data, at)
    length, at = take_varint(data, at + token)
    packet = bytearray(data[:at + length])
    mask = keys.hp.block(bytes(packet[at + 4:at + 20]))
    packet[0] ^= mask[0] & 0x0F
    size = (packet[0] & 3) + 1
    for i in range(size):
        packet[at + i] ^= mask[1 + i]
    number = int.from_bytes(packet[at:at + size], "big")
    return keys.gcm.open(keys.nonce(number), bytes(packet[at + size:]), bytes(packet[:at + size]))


def crypto_frame(content):
    return b"\x06\x00" + varint(len(content)) + content


def client_initial(destination, source, number=0, content=None):
    """A client's Initial: a datagram of 1,200 octets (RFC 9000, 14.1)."""
    return seal(Keys(destination, False), destination, source, number,
                crypto_frame(content or os.urandom(120)), 1200)


def server_initial(first_destination, destination, source, number=0):
    """A server's reply: ACK of packet 0 and a CRYPTO frame, 1,200 octets."""
    return seal(Keys(first_destination, True), destination, source, number,
                b"\x02\x00\x00\x00\x00" + crypto_frame(os.urandom(90)), 1200)
