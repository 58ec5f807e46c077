"""HTTP/1.1 (RFC 9112) on plain sockets: `loop.sock_recv_into` and `loop.sock_sendall`, parsed by httptools.

`timers` holds every time limit of a process in one heap, `http` turns bytes into messages and back without
I/O, `server` answers pipelined requests in order, `client` asks and tells how surely nothing ran.
"""
