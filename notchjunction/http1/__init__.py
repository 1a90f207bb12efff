"""HTTP/1.1 as typed values: bytes in, values out, and back. It knows no sockets."""
