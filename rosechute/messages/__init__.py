"""The internal protocol between processes: protobuf messages, frames, and the TCP links that carry them.

`framing` encodes and decodes frames. `link_connection` is one open connection; `link_server` accepts connections;
`link_pool` holds one `client_link` per address, which connects, and reconnects under `backoff`.
"""
