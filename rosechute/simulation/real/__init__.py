"""The lab's scenarios against real processes: sidecars as they ship, the model's servers behind real sockets."""
