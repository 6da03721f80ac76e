"""Bad clients: each connection sends commands at full speed, many at once, and reads whatever it is sent.

    flood.py ADDRESS CONNECTIONS SECONDS

Prints how many commands were sent and how many bytes were read."""

import selectors
import socket
import sys
import time

COMMAND = b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"
AT_ONCE = 900


def main():
    host, port = sys.argv[1].split(":")
    connections, until = int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
    data = COMMAND * AT_ONCE
    selector = selectors.DefaultSelector()
    sent = read = 0

    def open_one():
        client = socket.socket()
        client.connect((host, int(port)))
        client.setblocking(False)
        selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE, [0])

    for _ in range(connections):
        open_one()
    while time.monotonic() < until:
        for key, events in selector.select(0.1):
            client = key.fileobj
            try:
                if events & selectors.EVENT_READ:
                    answers = client.recv(1 << 18)
                    read += len(answers)
                    if not answers:
                        raise ConnectionResetError
                if events & selectors.EVENT_WRITE:
                    at = key.data[0]
                    length = client.send(data[at:])
                    sent += length
                    key.data[0] = (at + length) % len(data)
            except BlockingIOError:
                pass
            except OSError:
                # Turned away: the same again.
                selector.unregister(client)
                client.close()
                try:
                    open_one()
                except OSError:
                    pass
    print(f"commands={sent // len(COMMAND)} bytes_read={read}")


if __name__ == "__main__":
    main()
