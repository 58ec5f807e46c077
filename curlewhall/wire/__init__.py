"""HTTP/1.1 (RFC 9112) on plain sockets: `loop.sock_recv_into` and `loop.sock_sendall`, parsed by httptools.

`timers` keeps all timeouts of a process in one heap, `http` parses and serialises messages without I/O,
`server` answers pipelined requests in order, `client` sends requests and reports whether the other side may
have processed them, `transport` is a non-blocking connection, `forms` holds the JSON messages.
"""
