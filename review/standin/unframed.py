"""A model server in a process of its own, whose streams have neither a length nor chunks.

It sends the head of its answer at once and the first event once the prompt is read, and closes the connection after
the last event.
"""

import socket
import sys
import threading
import time

NAME, PORT, EVENTS, PREFILL_S, PAUSE_S = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), 0.4, 0.025


def serve(connection):
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                return
            data += more
        head, _, data = data.partition(b"\r\n\r\n")
        headers = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(data) < length:
            more = connection.recv(65536)
            if not more:
                return
            data += more
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", NAME) != NAME:
            connection.sendall(f"HTTP/1.1 421 X\r\nInstance-Id: {NAME}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        print("run", attempt, "from", headers.get("last-event-id", "the start"), flush=True)
        connection.sendall((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {NAME}.{attempt}\r\n"
                            "Connection: close\r\n\r\n").encode())
        time.sleep(PREFILL_S)
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            connection.sendall(f"id: {number}\ndata: {attempt} {number}\n\n".encode())
            time.sleep(PAUSE_S)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    listener = socket.create_server(("127.0.0.1", PORT), backlog=128)
    print("ready", flush=True)
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
