"""Tests of crowwinch.fleet."""
