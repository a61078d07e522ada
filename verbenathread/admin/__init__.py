"""The operator's side of control."""
