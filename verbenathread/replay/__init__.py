"""Replay of recorded traces over the real decision parts."""
