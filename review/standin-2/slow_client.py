"""A client that reads a stream slowly at first, with segments and windows of the size that they have on a network.

Arguments: address, port, identifier, bytes a second, for how many seconds, seconds that it waits for an answer.
After that time it reads 1,000,000 bytes a second. Prints the statuses of a short and of a long stream on one channel,
whether the end of the second one came, the bytes of its complete events, and the milliseconds that it took.
"""
import socket
import sys
import time

FAST = 1_000_000
END = b"0\r\n\r\n"

address, port, identifier = sys.argv[1], int(sys.argv[2]), sys.argv[3]
per_second, slow_seconds, budget = int(sys.argv[4]), float(sys.argv[5]), int(sys.argv[6])

client = socket.socket()
client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
client.settimeout(budget)
client.connect((address, port))


def body_of(chunks):
    """Returns the bytes in chunks, of which the last may be incomplete."""
    body = b""
    while chunks:
        size, found, chunks = chunks.partition(b"\r\n")
        if not found or int(size, 16) == 0:
            break
        body += chunks[:int(size, 16)]
        chunks = chunks[int(size, 16) + 2:]
    return body


def call(target, name, rate):
    """Sends a request and reads its stream; returns the status, whether it ended, and the bytes of whole events."""
    client.sendall(("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Request-Timeout-Ms: %d\r\n"
                    "X-Credential: key-1\r\nX-Model: m\r\nX-Token-Count: 5200,130\r\n"
                    "X-Prompt-Prefix: aa:200,%s:5000\r\nContent-Length: 2\r\n\r\nok"
                    % (target, name, budget * 1000, name.encode().hex())).encode())
    text = b""
    started = time.monotonic()
    slow_bytes = rate * slow_seconds
    while not text.endswith(END):
        try:
            part = client.recv(750)
        except OSError:
            part = b""
        if not part:
            break
        text += part
        due = min(len(text), slow_bytes) / rate + max(0.0, len(text) - slow_bytes) / FAST
        time.sleep(max(0.0, started + due - time.monotonic()))
    if not text:
        return 0, 0, 0
    head, _, chunks = text.partition(b"\r\n\r\n")
    body = body_of(chunks)
    return int(head.split()[1]), int(text.endswith(END)), body.rfind(b"\n\n") + 2


first = call("/summary/short", identifier + "a", FAST)
begun = time.monotonic()
second = call("/summary/long", identifier + "b", per_second)
print(first[0], *second, int((time.monotonic() - begun) * 1000))
