"""Tests of crowwinch.idempotency."""
