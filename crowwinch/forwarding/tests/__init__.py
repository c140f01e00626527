"""Tests of crowwinch.forwarding."""
