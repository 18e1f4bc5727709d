"""Messages between processes: protobuf, framing and TCP links."""
