"""Tests of crowwinch.app."""
