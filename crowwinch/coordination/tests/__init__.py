"""Tests of crowwinch.coordination."""
