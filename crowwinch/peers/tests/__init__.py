"""Tests of crowwinch.peers."""
